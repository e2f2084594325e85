"""Definitions of all settings: section, key, converter, meaning and default."""

from dataclasses import dataclass
from typing import Generic, TypeVar

from balsamtide.settings.converters import (
    Converter,
    endpoint,
    http_url,
    integer,
    listener,
    member_of,
    name,
    one_of,
    path,
    seconds,
)
from balsamtide.settings.model import Role

__all__ = [
    "ADMIN",
    "AGENT_CERTIFICATE",
    "AGENT_PRIVATE_KEY",
    "AGENT_SERVICE",
    "AGENT_TARGET",
    "CONNECTION_ID_CURRENT",
    "CONNECTION_ID_FILES",
    "CryptoKeyFiles",
    "DRAIN_TIMEOUT",
    "FIELDS",
    "Field",
    "INNER",
    "INSTANCE",
    "LISTEN",
    "LOG_FORMAT",
    "LOG_LEVEL",
    "MAC_CURRENT",
    "MAC_FILES",
    "PLATFORM",
    "REGION",
    "ROLE",
    "RPC",
    "RPC_AUTHORITY",
    "RPC_CERTIFICATE",
    "RPC_PRIVATE_KEY",
    "ZONE",
]

Value = TypeVar("Value")

MAX_DRAIN_TIMEOUT_S = 604_800.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Field(Generic[Value]):
    """Definition of one setting.

    Parameters
    ----------
    section, key : str
        Section and key in the INI file.
    converter : Converter
        Validates the text and returns the value.
    meaning : str
        One sentence of description for the reference.
    default : str or None
        Text used when the key is missing; None if the key is required, empty if it
        is optional without a default.
    """

    section: str
    key: str
    converter: Converter[Value]
    meaning: str
    default: str | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class CryptoKeyFiles:
    """Definition of the numbered settings ``PREFIX_N_file``, paths of key files.

    Parameters
    ----------
    prefix : str
        First part of the names of the settings, ``mac`` or ``id``.
    max_number : int
        Highest number N in the name of a setting.
    min_bytes, max_bytes : int
        Bounds of the length of a cryptographic key, in bytes, inclusive.
    meaning : str
        One sentence of description for the reference.
    """

    prefix: str
    max_number: int
    min_bytes: int
    max_bytes: int
    meaning: str


ROLE = Field(
    section="balsamtide",
    key="role",
    converter=member_of(Role),
    meaning="Role: a balancer forwards datagrams, an agent serves one target.",
)
INSTANCE = Field(
    section="balsamtide",
    key="instance",
    converter=name(),
    meaning="Instance identifier, unique among all instances.",
)
REGION = Field(
    section="balsamtide",
    key="region",
    converter=name(),
    meaning="Region in which the instance runs.",
)
ZONE = Field(
    section="balsamtide",
    key="zone",
    converter=name(),
    meaning="Availability zone in which the instance runs.",
)
INNER = Field(
    section="balsamtide",
    key="inner",
    converter=endpoint(),
    meaning="UDP endpoint for inner datagrams, which instances exchange.",
)
RPC = Field(
    section="balsamtide",
    key="rpc",
    converter=endpoint(),
    meaning="TCP endpoint for calls between instances.",
)
ADMIN = Field(
    section="balsamtide",
    key="admin",
    converter=listener(),
    meaning="TCP endpoint of the HTTP listener for status, metrics and events.",
)
PLATFORM = Field(
    section="balsamtide",
    key="platform",
    converter=http_url(),
    meaning="Base URL of the platform, whose HTTP service lists services and targets.",
)
DRAIN_TIMEOUT = Field(
    section="balsamtide",
    key="drain_timeout",
    converter=seconds(MAX_DRAIN_TIMEOUT_S),
    meaning="Longest wait of a stopping agent for open flows and requests.",
    default="3600",
)
LOG_FORMAT = Field(
    section="balsamtide",
    key="log_format",
    converter=one_of("json", "text"),
    meaning="Format of log lines.",
    default="json",
)
LOG_LEVEL = Field(
    section="balsamtide",
    key="log_level",
    converter=one_of("DEBUG", "INFO", "WARNING", "ERROR"),
    meaning="Minimum level of logged messages.",
    default="INFO",
)
MAC_CURRENT = Field(
    section="keys",
    key="mac_current",
    converter=integer(0, 255),
    meaning="Number of the MAC key that authenticates sent inner datagrams.",
)
CONNECTION_ID_CURRENT = Field(
    section="keys",
    key="id_current",
    converter=integer(0, 3),
    meaning="Number of the key that encrypts new QUIC connection IDs.",
)
RPC_CERTIFICATE = Field(
    section="rpc_tls",
    key="certificate",
    converter=path(),
    meaning="File with the certificate chain presented to other instances.",
)
RPC_PRIVATE_KEY = Field(
    section="rpc_tls",
    key="private_key",
    converter=path(),
    meaning="File with the private key of the certificate.",
)
RPC_AUTHORITY = Field(
    section="rpc_tls",
    key="authority",
    converter=path(),
    meaning="File with the CA certificates that verify other instances.",
)
AGENT_SERVICE = Field(
    section="agent",
    key="service",
    converter=name(),
    meaning="Name of the service to which the target belongs.",
)
AGENT_TARGET = Field(
    section="agent",
    key="target",
    converter=name(),
    meaning="Name of the target that the agent serves.",
)
AGENT_CERTIFICATE = Field(
    section="agent",
    key="certificate",
    converter=path(),
    meaning="File with the certificate chain presented to clients of the service.",
)
AGENT_PRIVATE_KEY = Field(
    section="agent",
    key="private_key",
    converter=path(),
    meaning="File with the private key of the certificate.",
)
LISTEN = Field(
    section="balancer",
    key="listen.SERVICE.ADDRESS",
    converter=listener(),
    meaning=(
        "UDP endpoint to listen on for ADDRESS of SERVICE, instead of the one in the "
        "platform's configuration."
    ),
    default="",
)
MAC_FILES = CryptoKeyFiles(
    prefix="mac",
    max_number=255,
    min_bytes=16,
    max_bytes=64,
    meaning="File with a message authentication (MAC) key for inner datagrams.",
)
CONNECTION_ID_FILES = CryptoKeyFiles(
    prefix="id",
    max_number=3,
    min_bytes=16,
    max_bytes=16,
    meaning="File with an AES-128 key for QUIC connection IDs.",
)
FIELDS: tuple[Field, ...] = (
    ROLE,
    INSTANCE,
    REGION,
    ZONE,
    INNER,
    RPC,
    ADMIN,
    PLATFORM,
    DRAIN_TIMEOUT,
    LOG_FORMAT,
    LOG_LEVEL,
    MAC_CURRENT,
    CONNECTION_ID_CURRENT,
    RPC_CERTIFICATE,
    RPC_PRIVATE_KEY,
    RPC_AUTHORITY,
    LISTEN,
    AGENT_SERVICE,
    AGENT_TARGET,
    AGENT_CERTIFICATE,
    AGENT_PRIVATE_KEY,
)

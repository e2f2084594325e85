"""The settings that exist, with what each allows and means."""

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
    "DRAIN_TIMEOUT",
    "FIELDS",
    "Field",
    "ID_CURRENT",
    "ID_FILES",
    "INNER",
    "INSTANCE",
    "KeyFiles",
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

MAX_DRAIN_S = 604_800.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Field(Generic[Value]):
    """One setting.

    Parameters
    ----------
    section, key : str
        Where it stands.
    converter : Converter
        What it allows.
    meaning : str
        One sentence for the reference.
    default : str or None
        Text that stands for a missing key; None if the key must be there.
    """

    section: str
    key: str
    converter: Converter[Value]
    meaning: str
    default: str | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyFiles:
    """Settings that name key files by number, as ``PREFIX_NUMBER_file``.

    Parameters
    ----------
    prefix : str
        Start of the keys.
    max_number : int
        Highest key number.
    low, high : int
        Shortest and longest key, in octets.
    meaning : str
        One sentence for the reference.
    """

    prefix: str
    max_number: int
    low: int
    high: int
    meaning: str


ROLE = Field(
    section="balsamtide",
    key="role",
    converter=member_of(Role),
    meaning="What the daemon does.",
)
INSTANCE = Field(
    section="balsamtide",
    key="instance",
    converter=name(),
    meaning="Instance identifier, unique in the fleet.",
)
REGION = Field(section="balsamtide", key="region", converter=name(), meaning="Region.")
ZONE = Field(
    section="balsamtide", key="zone", converter=name(), meaning="Availability zone."
)
INNER = Field(
    section="balsamtide",
    key="inner",
    converter=endpoint(),
    meaning="UDP endpoint for inner datagrams.",
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
    meaning="TCP endpoint of the admin listener.",
)
PLATFORM = Field(
    section="balsamtide",
    key="platform",
    converter=http_url(),
    meaning="Base URL of the platform's configuration service.",
)
DRAIN_TIMEOUT = Field(
    section="balsamtide",
    key="drain_timeout",
    converter=seconds(MAX_DRAIN_S),
    meaning="Longest time that a planned stop may take.",
    default="3600",
)
LOG_FORMAT = Field(
    section="balsamtide",
    key="log_format",
    converter=one_of("json", "text"),
    meaning="Form of log lines.",
    default="json",
)
LOG_LEVEL = Field(
    section="balsamtide",
    key="log_level",
    converter=one_of("DEBUG", "INFO", "WARNING", "ERROR"),
    meaning="Lowest level that is logged.",
    default="INFO",
)
MAC_CURRENT = Field(
    section="keys",
    key="mac_current",
    converter=integer(0, 255),
    meaning="Number of the key that seals inner datagrams.",
)
ID_CURRENT = Field(
    section="keys",
    key="id_current",
    converter=integer(0, 3),
    meaning="Number of the key that encrypts new connection IDs.",
)
RPC_CERTIFICATE = Field(
    section="rpc_tls",
    key="certificate",
    converter=path(),
    meaning="File with the certificate chain shown to other instances.",
)
RPC_PRIVATE_KEY = Field(
    section="rpc_tls",
    key="private_key",
    converter=path(),
    meaning="File with its private key.",
)
RPC_AUTHORITY = Field(
    section="rpc_tls",
    key="authority",
    converter=path(),
    meaning="File with the certificates of the authorities that others must have.",
)
AGENT_SERVICE = Field(
    section="agent",
    key="service",
    converter=name(),
    meaning="Name of the service of the target.",
)
AGENT_TARGET = Field(
    section="agent", key="target", converter=name(), meaning="Name of the target."
)
AGENT_CERTIFICATE = Field(
    section="agent",
    key="certificate",
    converter=path(),
    meaning="File with the certificate chain shown to callers.",
)
AGENT_PRIVATE_KEY = Field(
    section="agent",
    key="private_key",
    converter=path(),
    meaning="File with its private key.",
)
LISTEN = Field(
    section="balancer",
    key="listen.SERVICE.ADDRESS",
    converter=listener(),
    meaning="Local UDP endpoint of an address, where it is not the published one.",
    default="",
)
MAC_FILES = KeyFiles(
    prefix="mac",
    max_number=255,
    low=16,
    high=64,
    meaning="File with a key of inner datagrams.",
)
ID_FILES = KeyFiles(
    prefix="id",
    max_number=3,
    low=16,
    high=16,
    meaning="File with an AES-128 key of connection IDs.",
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
    ID_CURRENT,
    RPC_CERTIFICATE,
    RPC_PRIVATE_KEY,
    RPC_AUTHORITY,
    LISTEN,
    AGENT_SERVICE,
    AGENT_TARGET,
    AGENT_CERTIFICATE,
    AGENT_PRIVATE_KEY,
)

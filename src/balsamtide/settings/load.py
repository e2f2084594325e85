"""Loads the settings of a daemon and reports all problems at once."""

from collections.abc import Iterator
from ipaddress import ip_address
from pathlib import Path

from balsamtide.protocol.connection_id import IdKeys
from balsamtide.protocol.datagram import MacKeys
from balsamtide.protocol.messages import Endpoint
from balsamtide.settings.converters import NAME
from balsamtide.settings.fields import (
    ADMIN,
    AGENT_CERTIFICATE,
    AGENT_PRIVATE_KEY,
    AGENT_SERVICE,
    AGENT_TARGET,
    DRAIN_TIMEOUT,
    ID_CURRENT,
    ID_FILES,
    INNER,
    INSTANCE,
    LISTEN,
    LOG_FORMAT,
    LOG_LEVEL,
    MAC_CURRENT,
    MAC_FILES,
    PLATFORM,
    REGION,
    ROLE,
    RPC,
    RPC_AUTHORITY,
    RPC_CERTIFICATE,
    RPC_PRIVATE_KEY,
    ZONE,
    Field,
    KeyFiles,
)
from balsamtide.settings.files import (
    FileFault,
    check_certificates,
    check_pair,
    read_key,
)
from balsamtide.settings.model import (
    AgentSettings,
    BalancerSettings,
    Role,
    Settings,
    TlsFiles,
)
from balsamtide.settings.problem import SettingsError, shown
from balsamtide.settings.reader import Reader

__all__ = ["load_settings"]

KEYS = "keys"
RPC_TLS = "rpc_tls"
BALANCER = "balancer"
AGENT = "agent"
LISTEN_PREFIX = "listen."


def _key_number(key: str, files: KeyFiles) -> int | None:
    number = key.removeprefix(f"{files.prefix}_").removesuffix("_file")
    if key != f"{files.prefix}_{number}_file":
        return None
    is_valid = number.isascii() and number.isdecimal() and str(int(number)) == number
    return int(number) if is_valid and int(number) <= files.max_number else None


def _read_keys(reader: Reader, files: KeyFiles) -> Iterator[tuple[int, bytes]]:
    for key in reader.keys(KEYS):
        number = _key_number(key, files)
        if number is None:
            continue
        path = reader.path.parent / (reader.text(KEYS, key) or "")
        try:
            yield number, read_key(path, low=files.low, high=files.high)
        except FileFault as fault:
            reader.add_file(KEYS, key, fault)


def _take_keys(
    reader: Reader, current: Field[int], files: KeyFiles
) -> tuple[int, dict[int, bytes]]:
    reader.allow(KEYS, f"{files.prefix}_N_file")
    number = reader.take(current)
    keys = dict(_read_keys(reader, files))
    named = f"{files.prefix}_{number}_file"
    if number is not None and named not in reader.keys(KEYS):
        reader.add(
            KEYS, named, "nothing", f"the file of key {number}, which is current"
        )
    return number or 0, keys


def _take_pair(
    reader: Reader, certificate: Field[str], private_key: Field[str]
) -> tuple[Path | None, Path | None]:
    """Return the paths of a certificate and its private key, both checked."""
    certificate_path = reader.take_path(certificate)
    key_path = reader.take_path(private_key)
    if certificate_path is None or key_path is None:
        return certificate_path, key_path
    try:
        certified = check_certificates(certificate_path)
    except FileFault as fault:
        reader.add_file(certificate.section, certificate.key, fault)
        return certificate_path, key_path
    try:
        check_pair(certified, key_path)
    except FileFault as fault:
        reader.add_file(private_key.section, private_key.key, fault)
    return certificate_path, key_path


def _take_authority(reader: Reader) -> Path | None:
    path = reader.take_path(RPC_AUTHORITY)
    if path is None:
        return None
    try:
        check_certificates(path)
    except FileFault as fault:
        reader.add_file(RPC_AUTHORITY.section, RPC_AUTHORITY.key, fault)
    return path


def _take_rpc_tls(reader: Reader, rpc: Endpoint | None) -> TlsFiles | None:
    reader.allow(RPC_TLS, RPC_CERTIFICATE.key)
    if not reader.has(RPC_TLS):
        if rpc is not None and not ip_address(rpc.host).is_loopback:
            allowed = "the section, unless rpc is on a loopback address"
            reader.add(RPC_TLS, "", "nothing", allowed)
        return None
    certificate, private_key = _take_pair(reader, RPC_CERTIFICATE, RPC_PRIVATE_KEY)
    authority = _take_authority(reader)
    if certificate is None or private_key is None:
        return None
    return TlsFiles(
        certificate=certificate, private_key=private_key, authority=authority
    )


def _take_agent(reader: Reader) -> AgentSettings | None:
    service = reader.take(AGENT_SERVICE)
    target = reader.take(AGENT_TARGET)
    certificate, private_key = _take_pair(reader, AGENT_CERTIFICATE, AGENT_PRIVATE_KEY)
    if service is None or target is None or certificate is None or private_key is None:
        return None
    tls = TlsFiles(certificate=certificate, private_key=private_key)
    return AgentSettings(service=service, target=target, tls=tls)


def _listen_names(key: str) -> tuple[str, str] | None:
    """Return the names of service and address in a key of the balancer."""
    parts = key.removeprefix(LISTEN_PREFIX).split(".")
    is_listen = key.startswith(LISTEN_PREFIX) and len(parts) == 2
    if not is_listen or not all(NAME.match(part) for part in parts):
        return None
    return parts[0], parts[1]


def _take_balancer(reader: Reader) -> BalancerSettings:
    reader.allow(BALANCER, LISTEN.key)
    listen: dict[tuple[str, str], Endpoint] = {}
    for key in reader.keys(BALANCER):
        names = _listen_names(key)
        if names is None:
            continue
        endpoint = reader.take(LISTEN, key)
        if endpoint is None:
            continue
        if endpoint in listen.values():
            reader.add(
                BALANCER, key, shown(f"{endpoint.host}:{endpoint.port}"), "one use"
            )
        listen[names] = endpoint
    return BalancerSettings(listen=listen)


def _check_listeners(
    reader: Reader, rpc: Endpoint | None, admin: Endpoint | None
) -> None:
    if rpc is not None and rpc == admin:
        found = f"{admin.host}:{admin.port}"
        reader.add(ADMIN.section, ADMIN.key, found, "another endpoint than rpc")


def _take_all(reader: Reader) -> Settings | None:
    role = reader.take(ROLE)
    instance = reader.take(INSTANCE)
    region = reader.take(REGION)
    zone = reader.take(ZONE)
    inner = reader.take(INNER)
    rpc = reader.take(RPC)
    admin = reader.take(ADMIN)
    platform = reader.take(PLATFORM)
    drain_timeout_s = reader.take(DRAIN_TIMEOUT)
    log_format = reader.take(LOG_FORMAT)
    log_level = reader.take(LOG_LEVEL)
    mac_current, mac_keys = _take_keys(reader, MAC_CURRENT, MAC_FILES)
    id_current, id_keys = _take_keys(reader, ID_CURRENT, ID_FILES)
    rpc_tls = _take_rpc_tls(reader, rpc)
    balancer = _take_balancer(reader) if role is Role.BALANCER else None
    agent = _take_agent(reader) if role is Role.AGENT else None
    _check_listeners(reader, rpc, admin)
    if role is not None:
        reader.add_unused()
    if (
        role is None
        or instance is None
        or region is None
        or zone is None
        or inner is None
        or rpc is None
        or admin is None
        or platform is None
        or drain_timeout_s is None
        or log_format is None
        or log_level is None
        or reader.problems
    ):
        return None
    return Settings(
        role=role,
        instance=instance,
        region=region,
        zone=zone,
        inner=inner,
        rpc=rpc,
        admin=admin,
        platform=platform,
        mac_keys=MacKeys(current=mac_current, keys=mac_keys),
        id_keys=IdKeys(current=id_current, keys=id_keys),
        rpc_tls=rpc_tls,
        drain_timeout_s=drain_timeout_s,
        log_format=log_format,
        log_level=log_level,
        balancer=balancer,
        agent=agent,
    )


def load_settings(path: Path | str) -> Settings:
    """Return the settings in an INI file.

    Relative paths in it start at its own directory.

    Raises
    ------
    SettingsError
        If anything is wrong; it holds all problems.
    """
    reader = Reader(Path(path))
    settings = _take_all(reader) if reader.is_parsed else None
    if settings is None:
        raise SettingsError(reader.problems)
    return settings

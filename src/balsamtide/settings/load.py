"""Loading of a daemon's settings; all problems are reported at once."""

from collections.abc import Iterator
from ipaddress import ip_address
from pathlib import Path

from balsamtide.protocol.connection_id import IdKeys
from balsamtide.protocol.datagram import MacKeys
from balsamtide.protocol.messages import Endpoint
from balsamtide.settings.converters import NAME_PATTERN
from balsamtide.settings.fields import (
    ADMIN,
    AGENT_CERTIFICATE,
    AGENT_PRIVATE_KEY,
    AGENT_SERVICE,
    AGENT_TARGET,
    CONNECTION_ID_CURRENT,
    CONNECTION_ID_FILES,
    DRAIN_TIMEOUT,
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
    CryptoKeyFiles,
    Field,
)
from balsamtide.settings.files import (
    InvalidFileError,
    check_key_pair,
    read_key,
    read_public_key,
)
from balsamtide.settings.model import (
    AgentSettings,
    BalancerSettings,
    Role,
    Settings,
    TlsFiles,
)
from balsamtide.settings.problem import SettingsError, quote_unless_secret
from balsamtide.settings.reader import SettingsReader

__all__ = ["load_settings"]

KEYS = "keys"
RPC_TLS = "rpc_tls"
BALANCER = "balancer"
AGENT = "agent"
LISTEN_PREFIX = "listen."


def _parse_key_number(setting: str, files: CryptoKeyFiles) -> int | None:
    """Return N of ``PREFIX_N_file``, or None if the setting has another name."""
    number = setting.removeprefix(f"{files.prefix}_").removesuffix("_file")
    if setting != f"{files.prefix}_{number}_file":
        return None
    is_valid = number.isascii() and number.isdecimal() and str(int(number)) == number
    return int(number) if is_valid and int(number) <= files.max_number else None


def _iter_crypto_keys(
    reader: SettingsReader, files: CryptoKeyFiles
) -> Iterator[tuple[int, bytes]]:
    for setting in reader.keys(KEYS):
        number = _parse_key_number(setting, files)
        if number is None:
            continue
        path = reader.path.parent / (reader.get_text(KEYS, setting) or "")
        try:
            yield (
                number,
                read_key(path, min_bytes=files.min_bytes, max_bytes=files.max_bytes),
            )
        except InvalidFileError as error:
            reader.add_file_problem(KEYS, setting, error)


def _read_crypto_keys(
    reader: SettingsReader, current: Field[int], files: CryptoKeyFiles
) -> tuple[int, dict[int, bytes]]:
    """Return the number of the current cryptographic key, and all keys by number."""
    reader.list_key(KEYS, f"{files.prefix}_N_file")
    number = reader.read(current)
    keys = dict(_iter_crypto_keys(reader, files))
    current_setting = f"{files.prefix}_{number}_file"
    if number is not None and current_setting not in reader.keys(KEYS):
        reader.add_problem(
            KEYS,
            current_setting,
            "nothing",
            f"the file of the current key, number {number}",
        )
    # Without a number a problem was added, and nobody uses this 0.
    return number or 0, keys


def _read_key_pair_paths(
    reader: SettingsReader, certificate: Field[str], private_key: Field[str]
) -> tuple[Path | None, Path | None]:
    """Return the paths of a certificate and its private key; check that they match."""
    certificate_path = reader.read_path(certificate)
    key_path = reader.read_path(private_key)
    if certificate_path is None or key_path is None:
        return certificate_path, key_path
    try:
        public_key = read_public_key(certificate_path)
    except InvalidFileError as error:
        reader.add_file_problem(certificate.section, certificate.key, error)
        return certificate_path, key_path
    try:
        check_key_pair(public_key, key_path)
    except InvalidFileError as error:
        reader.add_file_problem(private_key.section, private_key.key, error)
    return certificate_path, key_path


def _read_authority(reader: SettingsReader) -> Path | None:
    path = reader.read_path(RPC_AUTHORITY)
    if path is None:
        return None
    try:
        read_public_key(path)
    except InvalidFileError as error:
        reader.add_file_problem(RPC_AUTHORITY.section, RPC_AUTHORITY.key, error)
    return path


def _read_rpc_tls(reader: SettingsReader, rpc: Endpoint | None) -> TlsFiles | None:
    # Messages on unknown sections list this one, even if its keys are not read.
    reader.list_key(RPC_TLS, RPC_CERTIFICATE.key)
    if not reader.has_section(RPC_TLS):
        if rpc is not None and not ip_address(rpc.host).is_loopback:
            allowed = "the section, because rpc is not on a loopback address"
            reader.add_problem(RPC_TLS, "", "nothing", allowed)
        return None
    certificate, private_key = _read_key_pair_paths(
        reader, RPC_CERTIFICATE, RPC_PRIVATE_KEY
    )
    authority = _read_authority(reader)
    if certificate is None or private_key is None:
        return None
    return TlsFiles(
        certificate=certificate, private_key=private_key, authority=authority
    )


def _read_agent(reader: SettingsReader) -> AgentSettings | None:
    service = reader.read(AGENT_SERVICE)
    target = reader.read(AGENT_TARGET)
    certificate, private_key = _read_key_pair_paths(
        reader, AGENT_CERTIFICATE, AGENT_PRIVATE_KEY
    )
    if service is None or target is None or certificate is None or private_key is None:
        return None
    tls = TlsFiles(certificate=certificate, private_key=private_key)
    return AgentSettings(service=service, target=target, tls=tls)


def _parse_listen_key(key: str) -> tuple[str, str] | None:
    """Return the names of service and address in ``listen.SERVICE.ADDRESS``.

    The dot separates the names, so names that contain a dot are not supported here.
    """
    parts = key.removeprefix(LISTEN_PREFIX).split(".")
    is_listen = key.startswith(LISTEN_PREFIX) and len(parts) == 2
    if not is_listen or not all(NAME_PATTERN.match(part) for part in parts):
        return None
    return parts[0], parts[1]


def _read_balancer(reader: SettingsReader) -> BalancerSettings:
    reader.list_key(BALANCER, LISTEN.key)
    listen: dict[tuple[str, str], Endpoint] = {}
    for key in reader.keys(BALANCER):
        names = _parse_listen_key(key)
        if names is None:
            continue
        endpoint = reader.read(LISTEN, key)
        if endpoint is None:
            continue
        if endpoint in listen.values():
            reader.add_problem(
                BALANCER,
                key,
                quote_unless_secret(f"{endpoint.host}:{endpoint.port}"),
                "each endpoint at most once",
            )
        listen[names] = endpoint
    return BalancerSettings(listen=listen)


def _check_admin_differs_from_rpc(
    reader: SettingsReader, rpc: Endpoint | None, admin: Endpoint | None
) -> None:
    if rpc is not None and rpc == admin:
        found = f"{admin.host}:{admin.port}"
        reader.add_problem(
            ADMIN.section, ADMIN.key, found, "an endpoint other than that of rpc"
        )


def _read_settings(reader: SettingsReader) -> Settings | None:
    role = reader.read(ROLE)
    instance = reader.read(INSTANCE)
    region = reader.read(REGION)
    zone = reader.read(ZONE)
    inner = reader.read(INNER)
    rpc = reader.read(RPC)
    admin = reader.read(ADMIN)
    platform = reader.read(PLATFORM)
    drain_timeout_s = reader.read(DRAIN_TIMEOUT)
    log_format = reader.read(LOG_FORMAT)
    log_level = reader.read(LOG_LEVEL)
    mac_current, mac_keys = _read_crypto_keys(reader, MAC_CURRENT, MAC_FILES)
    id_current, id_keys = _read_crypto_keys(
        reader, CONNECTION_ID_CURRENT, CONNECTION_ID_FILES
    )
    rpc_tls = _read_rpc_tls(reader, rpc)
    balancer = _read_balancer(reader) if role is Role.BALANCER else None
    agent = _read_agent(reader) if role is Role.AGENT else None
    _check_admin_differs_from_rpc(reader, rpc, admin)
    # Without a role neither [agent] nor [balancer] is read; both would be unknown.
    if role is not None:
        reader.add_unknown_keys()
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

    Relative paths are resolved against the directory of the file.

    Raises
    ------
    SettingsError
        If the file is invalid; contains all problems.
    """
    reader = SettingsReader(Path(path))
    settings = _read_settings(reader) if reader.is_parsed else None
    if settings is None:
        raise SettingsError(reader.problems)
    return settings

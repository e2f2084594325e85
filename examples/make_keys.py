"""Write keys and certificates for development.

``python examples/make_keys.py [DIRECTORY]`` writes an authority, a certificate for
calls between instances, one for callers, and the keys of inner datagrams and of
connection IDs.  Existing files are replaced.
"""

import sys
from argparse import ArgumentParser
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from ipaddress import ip_address
from os import O_CREAT, O_TRUNC, O_WRONLY, fchmod, fdopen
from os import open as open_file
from pathlib import Path
from secrets import token_hex

from cryptography.hazmat.primitives.asymmetric.ec import (
    SECP256R1,
    EllipticCurvePrivateKey,
    generate_private_key,
)
from cryptography.hazmat.primitives.hashes import SHA256
from cryptography.hazmat.primitives.serialization import (
    Encoding,
    NoEncryption,
    PrivateFormat,
)
from cryptography.x509 import (
    BasicConstraints,
    Certificate,
    CertificateBuilder,
    DNSName,
    IPAddress,
    Name,
    NameAttribute,
    SubjectAlternativeName,
    random_serial_number,
)
from cryptography.x509.oid import NameOID

__all__ = ["main", "write_keys"]

MAC_KEY_BYTES = 32
ID_KEY_BYTES = 16
PRIVATE_MODE = 0o600
PUBLIC_MODE = 0o644
VALID_DAYS = 30


@dataclass(frozen=True, slots=True)
class Identity:
    """A certificate with its private key."""

    certificate: Certificate
    private_key: EllipticCurvePrivateKey


def _write(path: Path, content: bytes, mode: int) -> None:
    with fdopen(open_file(path, O_WRONLY | O_CREAT | O_TRUNC, mode), "wb") as file:
        fchmod(file.fileno(), mode)
        file.write(content)


def _builder(subject: Name, issuer: Name) -> CertificateBuilder:
    now = datetime.now(UTC)
    return (
        CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .serial_number(random_serial_number())
        .not_valid_before(now - timedelta(minutes=5))
        .not_valid_after(now + timedelta(days=VALID_DAYS))
    )


def _name(common_name: str) -> Name:
    return Name([NameAttribute(NameOID.COMMON_NAME, common_name)])


def _make_authority() -> Identity:
    key = generate_private_key(SECP256R1())
    name = _name("balsamtide development authority")
    constraints = BasicConstraints(ca=True, path_length=0)
    certificate = (
        _builder(name, name)
        .public_key(key.public_key())
        .add_extension(constraints, critical=True)
        .sign(key, SHA256())
    )
    return Identity(certificate, key)


def _issue(authority: Identity, host: str) -> Identity:
    key = generate_private_key(SECP256R1())
    names = [DNSName("localhost"), IPAddress(ip_address("127.0.0.1")), DNSName(host)]
    certificate = (
        _builder(_name(host), authority.certificate.subject)
        .public_key(key.public_key())
        .add_extension(SubjectAlternativeName(names), critical=False)
        .sign(authority.private_key, SHA256())
    )
    return Identity(certificate, key)


def _write_identity(directory: Path, name: str, identity: Identity) -> None:
    certificate = identity.certificate.public_bytes(Encoding.PEM)
    private_key = identity.private_key.private_bytes(
        Encoding.PEM, PrivateFormat.PKCS8, NoEncryption()
    )
    _write(directory / f"{name}.pem", certificate, PUBLIC_MODE)
    _write(directory / f"{name}.key", private_key, PRIVATE_MODE)


def write_keys(directory: Path) -> None:
    """Write all keys and certificates into ``directory``."""
    directory.mkdir(parents=True, exist_ok=True)
    _write(directory / "mac-1.hex", token_hex(MAC_KEY_BYTES).encode(), PRIVATE_MODE)
    _write(directory / "id-0.hex", token_hex(ID_KEY_BYTES).encode(), PRIVATE_MODE)
    authority = _make_authority()
    _write_identity(directory, "authority", authority)
    _write_identity(directory, "rpc", _issue(authority, "rpc.balsamtide.test"))
    _write_identity(directory, "caller", _issue(authority, "caller.balsamtide.test"))


def main() -> int:
    """Write the files that the command line asks for."""
    parser = ArgumentParser(description=__doc__)
    default = Path(__file__).parent / "keys"
    parser.add_argument("directory", nargs="?", type=Path, default=default)
    directory = parser.parse_args().directory
    write_keys(directory)
    print(f"wrote keys and certificates into {directory}")
    return 0


if __name__ == "__main__":
    sys.exit(main())

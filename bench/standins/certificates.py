"""Certificates and keys for stand-in deployments."""

from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from ipaddress import ip_address
from pathlib import Path

from cryptography.hazmat.primitives.asymmetric.ec import SECP256R1, generate_private_key
from cryptography.hazmat.primitives.hashes import SHA256
from cryptography.hazmat.primitives.serialization import (
    Encoding,
    NoEncryption,
    PrivateFormat,
)
from cryptography.x509 import (
    BasicConstraints,
    CertificateBuilder,
    DNSName,
    IPAddress,
    Name,
    NameAttribute,
    SubjectAlternativeName,
    random_serial_number,
)
from cryptography.x509.oid import NameOID

__all__ = ["Certificates", "write_certificates"]

LIFETIME = timedelta(days=1)


@dataclass(frozen=True, slots=True)
class Certificates:
    """Paths of PEM files: a self-signed certificate that is its own authority."""

    certificate: Path
    private_key: Path


def write_certificates(folder: Path, *, server_name: str) -> Certificates:
    """Write a certificate for ``server_name`` and 127.0.0.1 into ``folder``."""
    key = generate_private_key(SECP256R1())
    name = Name([NameAttribute(NameOID.COMMON_NAME, server_name)])
    now = datetime.now(UTC)
    names = [DNSName(server_name), IPAddress(ip_address("127.0.0.1"))]
    certificate = (
        CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(random_serial_number())
        .not_valid_before(now - LIFETIME)
        .not_valid_after(now + LIFETIME)
        .add_extension(SubjectAlternativeName(names), critical=False)
        .add_extension(BasicConstraints(ca=True, path_length=None), critical=True)
        .sign(key, SHA256())
    )
    paths = Certificates(folder / "certificate.pem", folder / "private_key.pem")
    paths.certificate.write_bytes(certificate.public_bytes(Encoding.PEM))
    paths.private_key.write_bytes(
        key.private_bytes(Encoding.PEM, PrivateFormat.PKCS8, NoEncryption())
    )
    paths.private_key.chmod(0o600)
    return paths

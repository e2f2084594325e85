"""Keys and certificates in the files that settings name."""

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from stat import S_IRWXO, S_ISREG

from cryptography.hazmat.primitives.asymmetric.types import PublicKeyTypes
from cryptography.hazmat.primitives.serialization import load_pem_private_key
from cryptography.x509 import load_pem_x509_certificates

from balsamtide.settings.problem import shown

__all__ = ["FileFault", "check_certificates", "check_pair", "read_key"]

MAX_FILE_BYTES = 1_000_000


@dataclass(frozen=True, slots=True)
class FileFault(Exception):
    """A file that cannot be used.

    Parameters
    ----------
    found : str
        What was found, without any content of the file.
    allowed : str
        What is allowed.
    """

    found: str
    allowed: str


def _read(path: Path, *, is_secret: bool) -> bytes:
    allowed = "a readable file"
    place = shown(str(path))
    try:
        status = path.stat()
        if not S_ISREG(status.st_mode):
            raise FileFault(f"{place}, which is not a file", allowed)
        if is_secret and status.st_mode & S_IRWXO:
            mode = f"{status.st_mode & 0o777:04o}"
            detail = f"{place} with mode {mode}"
            raise FileFault(detail, "a file that others cannot access, as mode 0600")
        if status.st_size > MAX_FILE_BYTES:
            raise FileFault(f"{place} with {status.st_size} octets", "a small file")
        return path.read_bytes()
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or "not a path"
        raise FileFault(f"{place}: {reason}", allowed) from error


def read_key(path: Path, *, low: int, high: int) -> bytes:
    """Return the key in a file of hexadecimal digits.

    Parameters
    ----------
    path : Path
        The file.
    low, high : int
        Shortest and longest key, in octets.

    Raises
    ------
    FileFault
        If the file cannot be used.
    """
    lengths = f"{low}" if low == high else f"{low} to {high}"
    allowed = f"hexadecimal digits for {lengths} octets"
    try:
        key = bytes.fromhex(_read(path, is_secret=True).decode("ascii"))
    except ValueError:
        raise FileFault(f"{shown(str(path))} with other content", allowed) from None
    if not low <= len(key) <= high:
        raise FileFault(f"{shown(str(path))} with {len(key)} octets", allowed)
    return key


def _public_key(
    path: Path, load: Callable[[bytes], PublicKeyTypes], *, is_secret: bool, kind: str
) -> PublicKeyTypes:
    content = _read(path, is_secret=is_secret)
    try:
        return load(content)
    except (ValueError, TypeError, IndexError):
        found = f"{shown(str(path))} with other content"
        raise FileFault(found, kind) from None


def _certified_key(content: bytes) -> PublicKeyTypes:
    return load_pem_x509_certificates(content)[0].public_key()


def _private_key(content: bytes) -> PublicKeyTypes:
    return load_pem_private_key(content, password=None).public_key()


def check_certificates(path: Path) -> PublicKeyTypes:
    """Check a file of PEM certificates and return the first one's public key.

    Raises
    ------
    FileFault
        If the file cannot be used.
    """
    return _public_key(path, _certified_key, is_secret=False, kind="PEM certificates")


def check_pair(certified: PublicKeyTypes, private_key: Path) -> None:
    """Check that a file holds the private key of a certified public key.

    Raises
    ------
    FileFault
        If the file cannot be used or holds another key.
    """
    public = _public_key(
        private_key,
        _private_key,
        is_secret=True,
        kind="a PEM private key without password",
    )
    if public != certified:
        found = f"{shown(str(private_key))} with another key"
        raise FileFault(found, "the private key of the certificate")

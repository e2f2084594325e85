"""Loading and validation of the key and certificate files named in the settings."""

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from stat import S_IRWXO, S_ISREG

from cryptography.hazmat.primitives.asymmetric.types import PublicKeyTypes
from cryptography.hazmat.primitives.serialization import load_pem_private_key
from cryptography.x509 import load_pem_x509_certificates

from balsamtide.settings.problem import quote_unless_secret

__all__ = ["InvalidFileError", "check_key_pair", "read_key", "read_public_key"]

MAX_FILE_BYTES = 1_000_000


@dataclass(frozen=True, slots=True)
class InvalidFileError(Exception):
    """A key or certificate file is missing, inaccessible or invalid.

    Parameters
    ----------
    found : str
        Description of the fault, with the path but without content of the file.
    allowed : str
        Description of what is allowed.
    """

    found: str
    allowed: str


def _read_file(path: Path, *, is_secret: bool) -> bytes:
    allowed = "a readable file"
    # A long path may be replaced by a placeholder, so messages name the fault first.
    path_text = quote_unless_secret(str(path))
    try:
        status = path.stat()
        if not S_ISREG(status.st_mode):
            raise InvalidFileError(f"not a regular file: {path_text}", allowed)
        if is_secret and status.st_mode & S_IRWXO:
            mode = f"{status.st_mode & 0o777:04o}"
            detail = f"a file with mode {mode}: {path_text}"
            raise InvalidFileError(
                detail, "no permissions for the class others, such as mode 0600 or 0640"
            )
        if status.st_size > MAX_FILE_BYTES:
            raise InvalidFileError(
                f"a file of {status.st_size} bytes: {path_text}",
                f"at most {MAX_FILE_BYTES} bytes",
            )
        return path.read_bytes()
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or "invalid path"
        raise InvalidFileError(f"{reason}: {path_text}", allowed) from error


def read_key(path: Path, *, min_bytes: int, max_bytes: int) -> bytes:
    """Return the cryptographic key in a file of hexadecimal digits.

    Parameters
    ----------
    path : Path
        Path of the key file; its mode must grant no permissions to the class others.
    min_bytes, max_bytes : int
        Bounds of the length of the key, in bytes, inclusive.

    Raises
    ------
    InvalidFileError
        If the file is missing, inaccessible or invalid.
    """
    lengths = (
        f"{min_bytes}" if min_bytes == max_bytes else f"{min_bytes} to {max_bytes}"
    )
    allowed = f"hexadecimal digits for {lengths} bytes"
    try:
        key = bytes.fromhex(_read_file(path, is_secret=True).decode("ascii"))
    except ValueError:
        raise InvalidFileError(
            f"a file with invalid content: {quote_unless_secret(str(path))}", allowed
        ) from None
    if not min_bytes <= len(key) <= max_bytes:
        raise InvalidFileError(
            f"a key of {len(key)} bytes in {quote_unless_secret(str(path))}", allowed
        )
    return key


def _load_public_key(
    path: Path,
    decode: Callable[[bytes], PublicKeyTypes],
    *,
    is_secret: bool,
    allowed: str,
) -> PublicKeyTypes:
    """Return the public key that ``decode`` extracts from the content of a file."""
    content = _read_file(path, is_secret=is_secret)
    try:
        return decode(content)
    except (ValueError, TypeError, IndexError):
        found = f"a file with invalid content: {quote_unless_secret(str(path))}"
        raise InvalidFileError(found, allowed) from None


def _public_key_of_certificates(content: bytes) -> PublicKeyTypes:
    return load_pem_x509_certificates(content)[0].public_key()


def _public_key_of_private_key(content: bytes) -> PublicKeyTypes:
    return load_pem_private_key(content, password=None).public_key()


def read_public_key(path: Path) -> PublicKeyTypes:
    """Return the public key of the first certificate in a PEM file.

    Only the syntax is checked, not the chain or the period of validity.

    Raises
    ------
    InvalidFileError
        If the file is missing, inaccessible or invalid.
    """
    return _load_public_key(
        path, _public_key_of_certificates, is_secret=False, allowed="PEM certificates"
    )


def check_key_pair(public_key: PublicKeyTypes, key_path: Path) -> None:
    """Check that a PEM file holds the private key that matches a public key.

    Raises
    ------
    InvalidFileError
        If the file is unusable or its key does not match ``public_key``.
    """
    derived_key = _load_public_key(
        key_path,
        _public_key_of_private_key,
        is_secret=True,
        allowed="a PEM private key without password",
    )
    if derived_key != public_key:
        found = f"a key that does not match, in {quote_unless_secret(str(key_path))}"
        raise InvalidFileError(
            found,
            "the private key of the first certificate in the file of `certificate`",
        )

"""The daemon ``balsamtided``."""

__all__ = ["main"]


def main() -> int:
    """Run the daemon and return its exit code."""
    raise NotImplementedError

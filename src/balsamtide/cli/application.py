"""The command-line application."""

__all__ = ["main"]


def main() -> int:
    """Run the command-line tool and return its exit code."""
    raise NotImplementedError

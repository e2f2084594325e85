"""Durations as people read them."""

__all__ = ["format_duration"]


def format_duration(seconds: float) -> str:
    """Return ``seconds`` with a unit that suits its size."""
    if seconds >= 1:
        return f"{seconds:.2f} s"
    if seconds >= 0.001:
        return f"{seconds * 1e3:.1f} ms"
    return f"{seconds * 1e6:.0f} us"

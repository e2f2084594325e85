"""The daemon for raw packets: ``python -m balsamtide.flow_daemon``.

Its role and addresses come from the platform's settings file.  Signals are taken before
anything else loads: a weak instance loads for most of a second, and until a handler is
set each of them would end the process.
"""

import sys
from signal import SIGHUP, SIGTERM, signal

__all__ = ["StopRequest", "main"]


class StopRequest:
    """Remembers that a signal asked for a planned stop."""

    def __init__(self) -> None:
        self.is_set = False

    def receive(self, *_: object) -> None:
        """Take the signal."""
        self.is_set = True


def _ignore(*_: object) -> None:
    """Leave changed settings to the node, which looks at their file itself."""


def main() -> int:
    """Run the daemon and return its exit code.

    Returns
    -------
    int
        0 after a planned stop, 2 if the settings are not valid.
    """
    stop = StopRequest()
    signal(SIGTERM, stop.receive)
    signal(SIGHUP, _ignore)
    from balsamtide.flow_node.daemon import run_daemon

    return run_daemon(lambda: stop.is_set)


if __name__ == "__main__":
    sys.exit(main())

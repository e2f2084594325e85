"""Daemon for raw packets: ``python -m balsamtide.flow_daemon``.

Raw packets are the packets of TCP-like flows, in the format of
`balsamtide.platform.packets`; `balsamtide.daemon` forwards QUIC datagrams instead.
Role and addresses come from the JSON file at ``$BALSAMTIDE_SETTINGS``, by default
``/etc/balsamtide/node.yaml``.  Signal handlers are installed before all imports but
those of the standard library's clock: imports can take most of a second, during which
the default action of a signal would terminate the process.
"""

import sys
from math import inf
from signal import SIGHUP, SIGTERM, signal

from balsamtide.clock import boot_time

__all__ = ["StopRequest", "main"]


class StopRequest:
    """Records when a signal first requested a planned stop."""

    def __init__(self) -> None:
        self.requested_at = inf

    def receive(self, *_: object) -> None:
        """Handle the signal."""
        self.requested_at = min(self.requested_at, boot_time())


def _ignore(*_: object) -> None:
    """Ignore the signal: the node polls the settings file for changes."""


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

    return run_daemon(lambda: stop.requested_at)


if __name__ == "__main__":
    sys.exit(main())

"""Change detection for the settings file."""

from collections.abc import Callable
from os import stat

from balsamtide.flow_node.settings import FlowSettings

__all__ = ["SettingsSource"]


class SettingsSource:
    """The settings file and the function that reads it.

    Parameters
    ----------
    path : str
        Path of the file.
    read : callable
        Reads and decodes the file at a path.
    """

    def __init__(self, path: str, read: Callable[[str], FlowSettings]) -> None:
        self.path = path
        self.read = read
        self.last_stamp = self._file_stamp()

    def _file_stamp(self) -> tuple[int, int, int]:
        try:
            status = stat(self.path)
        except OSError:
            # The file may be missing while it is replaced; the next poll finds it.
            return 0, 0, 0
        return status.st_mtime_ns, status.st_size, status.st_ino

    def has_changed(self) -> bool:
        """Whether the file changed since the last call."""
        previous, self.last_stamp = self.last_stamp, self._file_stamp()
        return previous != self.last_stamp

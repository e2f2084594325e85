"""Change detection for the settings file."""

from collections.abc import Callable
from os import stat

from balsamtide.flow_node.settings import FlowSettings

__all__ = ["SettingsSource"]


class SettingsSource:
    """The settings file: detects changes, and has the function that reads the file.

    Parameters
    ----------
    path : str
        Path of the file.
    read : callable
        Reads and decodes the file at a path; callers pass ``path``.
    """

    def __init__(self, path: str, read: Callable[[str], FlowSettings]) -> None:
        self.path = path
        self.read = read
        self.last_file_state = self._file_state()

    def _file_state(self) -> tuple[int, int, int]:
        try:
            status = stat(self.path)
        except OSError:
            # The file may be missing while it is replaced; the next poll finds it.
            return 0, 0, 0
        return status.st_mtime_ns, status.st_size, status.st_ino

    def has_changed(self) -> bool:
        """Whether the file changed since the last call."""
        previous, self.last_file_state = self.last_file_state, self._file_state()
        return previous != self.last_file_state

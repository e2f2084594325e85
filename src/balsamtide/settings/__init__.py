"""Settings of the daemons, read from INI files and validated."""

from balsamtide.settings.load import load_settings
from balsamtide.settings.model import Role, Settings
from balsamtide.settings.problem import Problem, SettingsError

__all__ = ["Problem", "Role", "Settings", "SettingsError", "load_settings"]

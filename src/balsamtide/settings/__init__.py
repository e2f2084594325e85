"""Loading and validation of the daemons' settings from INI files."""

from balsamtide.settings.load import load_settings
from balsamtide.settings.model import Role, Settings
from balsamtide.settings.problem import Problem, SettingsError

__all__ = ["Problem", "Role", "Settings", "SettingsError", "load_settings"]

"""Settings of a process, read from TOML and checked whole."""

from cowslipvane.settings._load import SettingsFault, load
from cowslipvane.settings._settings import Listen, Settings, Timing

__all__ = ["Listen", "Settings", "SettingsFault", "Timing", "load"]

"""Settings of a process, read from TOML and checked whole."""

from cowslipvane.settings._load import SettingsFault, load
from cowslipvane.settings._settings import Limits, Listen, Settings, Timing

__all__ = ["Limits", "Listen", "Settings", "SettingsFault", "Timing", "load"]

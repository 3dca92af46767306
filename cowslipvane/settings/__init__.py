"""Settings of a process, read from TOML and checked whole."""

from cowslipvane.settings._load import SettingsFault, load
from cowslipvane.settings._settings import (
    Allowed,
    Described,
    Limits,
    Listen,
    Security,
    Settings,
    Timing,
)
from cowslipvane.settings._token import AUTHORIZATION, Token, TokenFault, read_token

__all__ = [
    "AUTHORIZATION",
    "Allowed",
    "Described",
    "Limits",
    "Listen",
    "Security",
    "Settings",
    "SettingsFault",
    "Timing",
    "Token",
    "TokenFault",
    "load",
    "read_token",
]

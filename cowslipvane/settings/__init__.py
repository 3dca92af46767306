"""Settings of a process, read from TOML and validated as a whole."""

from cowslipvane.settings._changes import pending_settings
from cowslipvane.settings._load import SettingsFault, load, parse
from cowslipvane.settings._settings import (
    DEFAULT_QUOTAS,
    DEFAULT_RETRIES,
    DEFAULT_REVOCATION,
    Formation,
    Limits,
    Listen,
    NumberRange,
    Quotas,
    Retries,
    Revocation,
    Security,
    Settings,
    Timing,
    ValueDescription,
)
from cowslipvane.settings._token import AUTHORIZATION, Token, TokenFault, read_token

__all__ = [
    "AUTHORIZATION",
    "DEFAULT_QUOTAS",
    "DEFAULT_RETRIES",
    "DEFAULT_REVOCATION",
    "Formation",
    "Limits",
    "Listen",
    "NumberRange",
    "Quotas",
    "Retries",
    "Revocation",
    "Security",
    "Settings",
    "SettingsFault",
    "Timing",
    "Token",
    "TokenFault",
    "ValueDescription",
    "load",
    "parse",
    "pending_settings",
    "read_token",
]

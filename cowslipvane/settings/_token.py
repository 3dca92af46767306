"""The token that operators and peers present."""

from __future__ import annotations

import hmac
from pathlib import Path

AUTHORIZATION = "Authorization"
# Shorter tokens could be guessed.
MIN_TOKEN_CHARACTERS = 16
_SCHEME = "Bearer "


class TokenFault(Exception):
    """A token file that can't be used; the message says what to do and never contains the token."""


class Token:
    """A secret text; its value is never printed."""

    def __init__(self, *, value: str) -> None:
        self._value = value

    def __repr__(self) -> str:
        """Return a text that doesn't reveal the token."""
        return "Token(hidden)"

    @property
    def headers(self) -> dict[str, str]:
        """Return the header fields that present the token."""
        return {AUTHORIZATION: _SCHEME + self._value}

    def matches(self, field: str | None) -> bool:
        """Return whether an Authorization field presents the token; compare in constant time."""
        presented = (field or "").encode("utf-8", "surrogateescape")
        return hmac.compare_digest(presented, (_SCHEME + self._value).encode())


def read_token(path: Path) -> Token:
    """Return the token in a file; raise TokenFault when there is none."""
    try:
        value = path.read_text(encoding="ascii").strip()
    except OSError as error:
        raise TokenFault(f"token file {path}: can't be read: {error.strerror}") from error
    except UnicodeDecodeError:
        raise TokenFault(f"token file {path}: allowed are ASCII characters") from None
    if len(value) < MIN_TOKEN_CHARACTERS or not value.isprintable() or " " in value:
        allowed = f"one line of at least {MIN_TOKEN_CHARACTERS} characters without spaces"
        raise TokenFault(f"token file {path}: allowed is {allowed}")
    return Token(value=value)

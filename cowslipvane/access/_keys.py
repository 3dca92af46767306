"""Keys as callers present them; only their digests are kept or sent to other processes."""

from __future__ import annotations

import hashlib
import re
from collections.abc import Sequence
from dataclasses import dataclass

from cowslipvane.types import KeyDigest

MAX_KEY_CHARACTERS = 1024
_DIGEST_BYTES = 16
# Keeps these digests apart from others of the same text.
_DIGEST_PURPOSE = b"team-key"
# Blanks around a field's value aren't part of it (RFC 9110, section 5.5).
_FIELD_BLANKS = " \t"
# RFC 6750 gives the form; schemes are compared without regard to case (RFC 9110, section 11.1).
_BEARER = re.compile(r"bearer +([\x21-\x7e]+)", re.IGNORECASE | re.ASCII)
_KEY = re.compile(r"[\x21-\x7e]+")


@dataclass(frozen=True, slots=True, kw_only=True)
class NoKey:
    """The request has no field for a key."""


@dataclass(frozen=True, slots=True, kw_only=True)
class OddKey:
    """The field for a key can't be read as exactly one bearer key."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ShownKey:
    """The request shows the key with this digest."""

    digest: KeyDigest


PresentedKey = NoKey | OddKey | ShownKey


def is_key(text: str) -> bool:
    """Return whether a request can show a text as its key."""
    return len(text) <= MAX_KEY_CHARACTERS and _KEY.fullmatch(text) is not None


def key_digest(key: str) -> KeyDigest:
    """Return the digest of a key.

    Keys are long and random, so a fast digest doesn't help to guess one.
    """
    digest = hashlib.blake2b(key.encode(), digest_size=_DIGEST_BYTES, person=_DIGEST_PURPOSE)
    return KeyDigest(digest.hexdigest())


def read_key(values: Sequence[str]) -> PresentedKey:
    """Return the key in the values of the Authorization fields of a request."""
    if not values:
        return NoKey()
    found = _BEARER.fullmatch(values[0].strip(_FIELD_BLANKS))
    if len(values) > 1 or found is None or len(found[1]) > MAX_KEY_CHARACTERS:
        return OddKey()
    return ShownKey(digest=key_digest(found[1]))

"""Commands on teams."""

from __future__ import annotations

from collections.abc import Iterable

from cowslipvane.access import MAX_KEY_CHARACTERS, is_key, key_digest
from cowslipvane.commands._errors import CommandFailed
from cowslipvane.types import KeyDigest


def digest_keys(lines: Iterable[str]) -> list[KeyDigest]:
    """Return the digest of the key on each line; raise CommandFailed if a line is no key."""
    keys = [line.rstrip("\n") for line in lines]
    odd_lines = [str(number) for number, key in enumerate(keys, start=1) if not is_key(key)]
    if odd_lines or not keys:
        # What is on a line isn't shown: it may be a key with a character too many.
        place = f"no key on line {', '.join(odd_lines)}" if odd_lines else "no key"
        limit = f"1 to {MAX_KEY_CHARACTERS} visible ASCII characters"
        raise CommandFailed(f"{place}; give one key a line, each of {limit}")
    return [key_digest(key) for key in keys]

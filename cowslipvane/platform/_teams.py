"""Decoding of the teams in the platform's configuration, and of the keys that routes need."""

from __future__ import annotations

import re
from typing import Any

from cowslipvane.access import MAX_KEY_CHARACTERS, KeyUse, key_digest
from cowslipvane.catalogue import Key, Team
from cowslipvane.types import KeyDigest

# What an Authorization field can hold as a bearer key.
_KEY = re.compile(rf"[\x21-\x7e]{{1,{MAX_KEY_CHARACTERS}}}")


def decode_teams(form: dict[str, Any]) -> dict[Key, Team]:
    """Return the teams of a configuration; raise ValueError, which names no key, for odd ones."""
    teams: dict[Key, Team] = {}
    for at, tenant in enumerate(_list(form.get("tenants", []), "tenants")):
        place = f"tenants[{at}]"
        name = tenant["name"]
        if not isinstance(name, str):
            raise ValueError(f"{place}.name is no text")
        key = Key("team", name)
        if key in teams:
            raise ValueError(f"{place} has the name of an earlier one, {name!r:.80}")
        teams[key] = Team(key_digests=_digests(tenant["api_keys"], f"{place}.api_keys"))
    return teams


def decode_key_use(form: dict[str, Any], rule: dict[str, Any]) -> KeyUse:
    """Return whether requests of a route need a key; without teams, no key is read."""
    is_public = rule.get("public", False)
    if not isinstance(is_public, bool):
        raise ValueError(f"found public {is_public!r:.80}; allowed are true and false")
    if "tenants" not in form:
        return "ignored"
    return "optional" if is_public else "required"


def _digests(keys: Any, place: str) -> tuple[KeyDigest, ...]:
    """Return the digests of a team's keys, each once."""
    for at, key in enumerate(_list(keys, place)):
        if not isinstance(key, str) or not _KEY.fullmatch(key):
            limit = f"1 to {MAX_KEY_CHARACTERS} visible ASCII characters"
            raise ValueError(f"{place}[{at}] can't be sent as a bearer key; allowed are {limit}")
    return tuple(sorted({key_digest(key) for key in keys}))


def _list(value: Any, place: str) -> list[Any]:
    """Return a list unchanged; raise ValueError for any other type."""
    if not isinstance(value, list):
        raise ValueError(f"{place} is no list")
    return value

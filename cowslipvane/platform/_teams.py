"""Decoding of the teams in the platform's configuration, and of the keys that routes need."""

from __future__ import annotations

import re
from typing import Any

from cowslipvane.access import MAX_KEY_CHARACTERS, KeyUse, is_key, key_digest
from cowslipvane.catalogue import MAX_QUOTA, Key, Team
from cowslipvane.types import KeyDigest

_MAX_NAME_CHARACTERS = 256
# What a header field can hold as its whole value.
_NAME = re.compile(r"[\x21-\x7e](?:[\x20-\x7e]*[\x21-\x7e])?")


def decode_teams(form: dict[str, Any]) -> dict[Key, Team]:
    """Return the teams of a configuration, none if it has no list of them.

    Raise ValueError for odd ones, with a place. Neither keys nor names are in its message, since a
    key may have been put in the place of a name.
    """
    teams: dict[Key, Team] = {}
    places: dict[Key, str] = {}
    for at, tenant in enumerate(_list(form.get("tenants", []), "tenants")):
        place = f"tenants[{at}]"
        if not isinstance(tenant, dict):
            raise ValueError(f"{place} is no object")
        key = Key("team", _name(tenant.get("name"), f"{place}.name"))
        if key in teams:
            raise ValueError(f"{place} has the name of {places[key]}")
        places[key] = place
        teams[key] = Team(
            key_digests=_digests(tenant.get("api_keys"), f"{place}.api_keys"),
            rate=_amount(tenant, "rate_per_s", place),
            burst=_amount(tenant, "burst", place),
        )
    return teams


def decode_key_use(form: dict[str, Any], rule: dict[str, Any]) -> KeyUse:
    """Return whether requests of a route need a key; without a list of teams, no key is read."""
    is_public = rule.get("public", False)
    if not isinstance(is_public, bool):
        raise ValueError("found an odd value of public; allowed are true and false")
    if "tenants" not in form:
        return "ignored"
    return "optional" if is_public else "required"


def _amount(tenant: dict[str, Any], field: str, place: str) -> float:
    """Return a number of a team's quota, 0 if it is left out; raise ValueError for an odd one."""
    value = tenant.get(field, 0)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{place}.{field} is no number")
    if not 0 <= value <= MAX_QUOTA:
        raise ValueError(f"{place}.{field} is out of range; allowed is 0 to {MAX_QUOTA:g}")
    return float(value)


def _name(value: Any, place: str) -> str:
    """Return the name of a team; raise ValueError if no header field can hold it."""
    if not isinstance(value, str) or not _NAME.fullmatch(value[: _MAX_NAME_CHARACTERS + 1]):
        raise ValueError(f"{place} can't be sent as a header; allowed is visible ASCII")
    if len(value) > _MAX_NAME_CHARACTERS:
        raise ValueError(f"{place} is too long; allowed are {_MAX_NAME_CHARACTERS} characters")
    return value


def _digests(keys: Any, place: str) -> tuple[KeyDigest, ...]:
    """Return the digests of a team's keys, each once."""
    for at, key in enumerate(_list(keys, place)):
        if not isinstance(key, str) or not is_key(key):
            limit = f"1 to {MAX_KEY_CHARACTERS} visible ASCII characters"
            raise ValueError(f"{place}[{at}] can't be sent as a bearer key; allowed are {limit}")
    return tuple(sorted({key_digest(key) for key in keys}))


def _list(value: Any, place: str) -> list[Any]:
    """Return a list unchanged; raise ValueError for any other type."""
    if not isinstance(value, list):
        raise ValueError(f"{place} is no list")
    return value

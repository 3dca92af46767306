"""The keys of a soak's teams: how they change, which callers show, and what these allow."""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Iterable, Mapping

from cowslipvane.types import Quota
from tools.soak._records import CallRecord, Change

TEAMS = ("red", "blue", "green")
# The requests a second and at once that a team may send; callers send far more.
QUOTAS = {"red": Quota(30, 15), "green": Quota(8, 4)}
_NO_QUOTA = Quota(0, 0)
_PREFIX = "soak-key-"
# Each team holds one of these all the while; the others come, go and move from team to team.
_LASTING = {f"{_PREFIX}lasting-{team}": team for team in TEAMS}
_CHANGING = tuple(f"{_PREFIX}changing-{index}" for index in range(6))
_NEVER_HELD = f"{_PREFIX}never-held"
_MAX_CHANGED = 3
_LASTING_SHARE, _CHANGING_SHARE, _NEVER_HELD_SHARE = 0.65, 0.25, 0.05
# The answers to changes that may be in force; None if there was no clear one.
POSSIBLE_STATUSES = frozenset({200, None})


class Keyring:
    """The team that holds each key, as it changes from one version to the next."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = random.Random(rng.getrandbits(64))
        self._holders = dict(_LASTING)

    def draw(self) -> Mapping[str, str]:
        """Add, withdraw and move some keys, and return the team of each that is held."""
        for key in self._rng.sample(_CHANGING, self._rng.randint(0, _MAX_CHANGED)):
            team = self._rng.choice(("", *TEAMS))
            if team:
                self._holders[key] = team
            else:
                self._holders.pop(key, None)
        return dict(self._holders)


def team_forms(holders: Mapping[str, str]) -> list[dict[str, object]]:
    """Return the teams of a configuration."""
    keys = defaultdict(list)
    for key, team in holders.items():
        keys[team].append(key)
    return [_team_form(team, held, QUOTAS.get(team, _NO_QUOTA)) for team, held in keys.items()]


def _team_form(team: str, keys: list[str], quota: Quota) -> dict[str, object]:
    """Return one team of a configuration."""
    return {
        "name": team,
        "api_keys": keys,
        "priority": 1,
        "rate_per_s": quota.rate,
        "burst": quota.burst,
    }


def draw_key(rng: random.Random) -> str:
    """Return the key that a request shows, empty for none."""
    share = rng.random()
    for keys, limit in (
        (tuple(_LASTING), _LASTING_SHARE),
        (_CHANGING, _LASTING_SHARE + _CHANGING_SHARE),
        ((_NEVER_HELD,), _LASTING_SHARE + _CHANGING_SHARE + _NEVER_HELD_SHARE),
    ):
        if share < limit:
            return rng.choice(keys)
    return ""


def shows_key(fields: Mapping[str, str]) -> bool:
    """Return whether the fields of a request show a key."""
    return "authorization" in fields or any(_PREFIX in value for value in fields.values())


def allowed_teams(call: CallRecord, changes: Iterable[Change]) -> set[str | None]:
    """Return the teams that a request may run for by one of some changes.

    The team is empty for a request without one, and None stands for a refusal.
    """
    if not call.key and not call.needs_key:
        return {""}
    absent = None if call.needs_key else ""
    return {change.holders.get(call.key, absent) for change in changes}

"""The rule between teams: no two have a key in common."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping

from cowslipvane.access import shared_keys
from cowslipvane.catalogue._resources import Fault, Key, Resource, Team
from cowslipvane.types import TeamName

_TEAM_KIND = "team"


def shared_key_faults(resources: Mapping[Key, Resource], *, puts: Iterable[Key]) -> Iterator[Fault]:
    """Yield a fault for each team that has a key of another, after a change that wrote some."""
    if all(key.kind != _TEAM_KIND for key in puts):
        return
    teams = [
        (TeamName(key.name), resource.spec.key_digests)
        for key, resource in sorted(resources.items())
        if isinstance(resource.spec, Team)
    ]
    for team, other in shared_keys(teams):
        # The key itself isn't named: faults are shown to more people than keys are.
        message = f"has a key of {_TEAM_KIND}/{other}; a key belongs to one team"
        yield Fault(str(Key(_TEAM_KIND, team)), message)

"""The keys of all teams in one version of the configuration."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping

from cowslipvane.types import KeyDigest, TeamName

DigestsByTeam = Mapping[TeamName, tuple[KeyDigest, ...]]


class TeamKeys:
    """The holder of each key; immutable."""

    def __init__(self, *, digests: DigestsByTeam, previous: TeamKeys | None = None) -> None:
        """Build the index, or take it over from a previous version with the same keys."""
        self._digests = dict(digests)
        self._holders: dict[KeyDigest, TeamName]
        if previous is not None and previous._digests == self._digests:
            self._holders = previous._holders
        else:
            self._holders = {
                digest: team for team, held in self._digests.items() for digest in held
            }

    def holder(self, digest: KeyDigest) -> TeamName | None:
        """Return the team that holds a key, None if none does."""
        return self._holders.get(digest)


def shared_keys(
    teams: Iterable[tuple[TeamName, Iterable[KeyDigest]]],
) -> Iterator[tuple[TeamName, TeamName]]:
    """Yield each team that has a key of an earlier one, with that one."""
    holders: dict[KeyDigest, TeamName] = {}
    for team, digests in teams:
        others = {holders.setdefault(digest, team) for digest in digests} - {team}
        yield from ((team, other) for other in sorted(others))

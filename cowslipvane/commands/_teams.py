"""Commands on teams."""

from __future__ import annotations

from collections.abc import Iterable
from http import HTTPStatus
from typing import Any, NamedTuple

from cowslipvane.access import MAX_KEY_CHARACTERS, is_key, key_digest
from cowslipvane.commands._errors import CommandFailed, open_client
from cowslipvane.types import KeyDigest

# How the answer of a process ends that is no replica.
_NO_REPLICA = str(HTTPStatus.NOT_FOUND.value)


class TeamTotal(NamedTuple):
    """What all replicas that answered have counted of a team, and its quota."""

    team: str
    rate: float
    burst: float
    tokens: float
    granted: int
    stood_in: int
    refused: int


class QuotaReport(NamedTuple):
    """The share of each replica as text, why others didn't answer, and the teams' totals."""

    shares: dict[str, str]
    errors: dict[str, str]
    teams: list[TeamTotal]


async def show_quotas(servers: tuple[str, ...]) -> QuotaReport:
    """Return what the replicas have counted of each team, those with most refusals first."""
    async with open_client(servers) as client:
        answers = await client.request_all("/v1/quotas")
    totals: dict[str, TeamTotal] = {}
    for form in answers.responses.values():
        for use in form["teams"]:
            total = totals.get(use["team"])
            totals[use["team"]] = TeamTotal(**use) if total is None else _added(total, use)
    shares = {
        host: f"1 of {form['parts']}" if form["parts"] else "none"
        for host, form in sorted(answers.responses.items())
    }
    errors = {host: why for host, why in answers.errors.items() if not why.endswith(_NO_REPLICA)}
    ordered = sorted(totals.values(), key=lambda total: (-total.refused, total.team))
    return QuotaReport(shares, errors, ordered)


def _added(total: TeamTotal, use: dict[str, Any]) -> TeamTotal:
    """Return a team's total with what one more replica has counted."""
    return total._replace(
        tokens=total.tokens + use["tokens"],
        granted=total.granted + use["granted"],
        stood_in=total.stood_in + use["stood_in"],
        refused=total.refused + use["refused"],
    )


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

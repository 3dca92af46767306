"""The division of all quotas among the replicas, and the next step towards the one that is due."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import NamedTuple

from cowslipvane.catalogue import QuotaDivision, QuotaHolder
from cowslipvane.types import NO_VERSION, HostName, Seconds, Version

# A holder that hasn't renewed its share for this part of the lease gives it up to the others.
SILENT_SHARE = 0.5
# A share that nobody has confirmed counts as spendable for this many leases, which allows for
# clocks that run at different rates.
LEASES_TO_WAIT = 1.1


class Renewal(NamedTuple):
    """When a holder renewed its share last, and which division it acted on then."""

    at: float = -math.inf
    confirmed: Version = NO_VERSION


_NEVER = Renewal()


class DivisionView(NamedTuple):
    """What a leader knows when it decides about the division.

    since is when it first knew of the division in force as the leader of its term. All times are in
    seconds of the leader's lease_now().
    """

    now: float
    since: float
    lease: Seconds
    version: Version
    division: QuotaDivision | None
    voters: tuple[QuotaHolder, ...]
    renewals: Mapping[HostName, Renewal]

    def renewal(self, host: HostName) -> Renewal:
        """Return the newest renewal of a host."""
        return self.renewals.get(host, _NEVER)


def next_division(view: DivisionView) -> QuotaDivision | None:
    """Return the division to put in force next, None while the one in force stays.

    Parts are taken away first; they are given to others once their holders are known to act on
    that, or once their leases have ended.
    """
    current = view.division
    if current is None:
        return QuotaDivision(holders=view.voters, parts=len(view.voters))
    target = _target(view)
    if not target or (current.holders == target and current.parts == len(target)):
        return None
    if not _is_settled(view, current):
        return None
    hosts = {holder.host for holder in target}
    kept = tuple(holder for holder in current.holders if holder.host in hosts)
    parts = max(current.parts, len(target))
    former = tuple(holder.host for holder in current.holders)
    if (kept, parts) != (current.holders, current.parts):
        return QuotaDivision(holders=kept, parts=parts, former=former)
    return QuotaDivision(holders=target, parts=len(target), former=former)


def _target(view: DivisionView) -> tuple[QuotaHolder, ...]:
    """Return the voters that are to hold shares: those that haven't been silent for long."""
    current = () if view.division is None else view.division.holders
    held = {holder.host for holder in current}
    silent_since = view.now - view.lease * SILENT_SHARE
    return tuple(
        voter
        for voter in view.voters
        # A newcomer has to have asked for a share.
        if max(view.renewal(voter.host).at, view.since if voter.host in held else -math.inf)
        > silent_since
    )


def _is_settled(view: DivisionView, current: QuotaDivision) -> bool:
    """Return whether no process may act on an earlier division any more."""
    if view.now >= view.since + view.lease * LEASES_TO_WAIT:
        return True
    hosts = {*current.former, *(holder.host for holder in current.holders)}
    return all(view.renewal(host).confirmed >= view.version for host in hosts)

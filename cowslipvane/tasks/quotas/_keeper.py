"""The replica's side of quotas: tasks that hold its share, and as leader divide all of them."""

from __future__ import annotations

import asyncio
import hashlib

from cowslipvane.catalogue import Change, Key, QuotaDivision, QuotaHolder, Resource, Team
from cowslipvane.clock import STARTED_AT, lease_now
from cowslipvane.events import EventLog
from cowslipvane.quotas import (
    DivisionView,
    HeldShare,
    NoQuota,
    QuotaLedger,
    QuotaOfTeam,
    Renewal,
    RenewShare,
    ShareRenewed,
    ShareUnknown,
    TakeTokens,
    TeamUse,
    TokensTaken,
    UnknownTeam,
    next_division,
)
from cowslipvane.settings import Quotas
from cowslipvane.tasks.replication import Replication
from cowslipvane.types import (
    NO_VERSION,
    Address,
    HostName,
    OperationId,
    Quota,
    Seconds,
    TeamName,
    Version,
)
from cowslipvane.wire import Link, LinkClosed, Malformed, connect, register

register(TakeTokens, TokensTaken, RenewShare, ShareRenewed, ShareUnknown)

QUOTA_PATH = "/quota"
DIVISION_KEY = Key("quota-division", "current")
# How often a leader checks whether another division is due.
DIVISION_INTERVAL: Seconds = 0.25
# How often a share is renewed, and how often while this replica doesn't act on the newest division.
RENEWAL_INTERVAL: Seconds = 1.0
PENDING_RENEWAL_INTERVAL: Seconds = 0.1
# Several renewals in a row may be lost before a share ends.
RENEWALS_PER_LEASE = 10
LEADER_RESPONSE_TIMEOUT: Seconds = 1.0


class QuotaKeeper:
    """Grants the requests of teams that this replica's share of their quotas covers."""

    def __init__(self, *, replication: Replication, settings: Quotas, events: EventLog) -> None:
        self._replication = replication
        self._settings = settings
        self._events = events
        self._ledger = QuotaLedger(settings=settings, quota_of=self._quota_of)
        self._share = HeldShare(lease=settings.lease, started_at=STARTED_AT)
        self._recorded = (NO_VERSION, 0)
        # What this leader knows of other holders, and since when it has known of the division.
        self._renewals: dict[HostName, Renewal] = {}
        self._known = (0, NO_VERSION)
        self._known_since = 0.0
        # Whether any team has a quota, in some version.
        self._counts_teams = (NO_VERSION, False)

    @property
    def share(self) -> HeldShare:
        """Return the share that this replica holds."""
        return self._share

    @property
    def uses(self) -> list[TeamUse]:
        """Return what was counted here of each team."""
        return list(self._ledger.uses(lease_now()))

    async def serve(self, link: Link) -> None:
        """Answer a proxy that asks for tokens, or a replica that renews its share."""
        while True:
            match await link.receive():
                case TakeTokens() as request:
                    await link.send(self._take(request))
                case RenewShare() as question:
                    await link.send(self._answer(question))
                case _:
                    raise Malformed("another message came on a link for quotas")

    async def run(self) -> None:
        """Keep the share of this replica, and the division while it leads, until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._keep_share())
            tasks.create_task(self._keep_divided())

    def _take(self, request: TakeTokens) -> TokensTaken:
        """Grant tokens of the share that is held now."""
        now = lease_now()
        self._ledger.set_part(self._share.part(now), now, since=self._share.since)
        return self._ledger.take(request, now)

    def _quota_of(self, team: TeamName) -> QuotaOfTeam:
        """Return the quota of a team in the newest version that is known here."""
        resource = self._replication.replica.catalogue.resources.get(Key("team", team))
        match resource and resource.spec:
            case Team(rate=rate, burst=burst) if rate > 0:
                return Quota(rate, burst)
            case Team():
                return NoQuota()
            case _:
                return UnknownTeam()

    def _answer(self, question: RenewShare) -> ShareRenewed | ShareUnknown:
        """Answer a replica that asks for its share, if this is the leader."""
        resource = self._division_resource
        # With its lease, this leader knows of each division that is in force.
        if resource is None or not self._replication.holds_lease:
            return ShareUnknown()
        assert isinstance(resource.spec, QuotaDivision)
        division = resource.spec
        self._renewals[question.host] = Renewal(lease_now(), question.confirms)
        holds = any(holder.host == question.host for holder in division.holders)
        return ShareRenewed(
            asked_at=question.asked_at,
            version=resource.version,
            parts=division.parts if holds else 0,
            was_held=not division.former or question.host in division.former,
        )

    async def _keep_share(self) -> None:
        """Renew the share at the leader, until cancelled."""
        while True:
            leader = self._replication.leader_address
            if self._division_resource is None:
                await asyncio.sleep(DIVISION_INTERVAL)
            elif self._replication.holds_lease:
                self._renew(self._answer(self._question()))
                await asyncio.sleep(self._renewal_interval)
            elif leader is None:
                await self._replication.changed.wait(PENDING_RENEWAL_INTERVAL)
            else:
                await self._try_to_renew(leader)

    async def _try_to_renew(self, leader: Address) -> None:
        """Renew the share at a leader for as long as it answers."""
        try:
            async with connect(leader, QUOTA_PATH) as link:
                while self._replication.leader_address == leader:
                    await link.send(self._question())
                    self._renew(await link.receive(timeout=LEADER_RESPONSE_TIMEOUT))
                    await asyncio.sleep(self._renewal_interval)
        except (LinkClosed, Malformed, TimeoutError):
            await asyncio.sleep(PENDING_RENEWAL_INTERVAL)

    def _question(self) -> RenewShare:
        """Return the question for this replica's share."""
        return RenewShare(
            host=self._replication.replica.host,
            asked_at=lease_now(),
            confirms=self._share.version,
        )

    def _renew(self, answer: object) -> None:
        """Take in the answer of a leader, and record a share that has changed."""
        match answer:
            case ShareRenewed() as renewed:
                self._share.take(renewed, lease_now())
            case ShareUnknown():
                return
            case _:
                raise Malformed("the leader answered a question for a share with another message")
        now = lease_now()
        self._ledger.set_part(self._share.part(now), now, since=self._share.since)
        if self._recorded != (self._share.version, self._share.parts):
            self._recorded = (self._share.version, self._share.parts)
            parts = str(self._share.parts)
            self._events.record("quota-share", version=self._share.version, parts=parts)

    @property
    def _renewal_interval(self) -> Seconds:
        """Return the time until the next renewal."""
        resource = self._division_resource
        if resource is not None and resource.version != self._share.version:
            return PENDING_RENEWAL_INTERVAL
        return min(RENEWAL_INTERVAL, self._settings.lease / RENEWALS_PER_LEASE)

    async def _keep_divided(self) -> None:
        """Write the next step of the division whenever one is due, while this replica leads."""
        while True:
            await asyncio.sleep(DIVISION_INTERVAL)
            if not self._replication.holds_lease or not self._is_counting:
                continue
            division = next_division(self._view())
            if division is not None:
                await self._write(division)

    def _view(self) -> DivisionView:
        """Return what this leader knows of the division."""
        replica = self._replication.replica
        resource = self._division_resource
        now = lease_now()
        known = (replica.term, NO_VERSION if resource is None else resource.version)
        if known != self._known:
            self._known, self._known_since = known, now
        return DivisionView(
            now=now,
            since=self._known_since,
            lease=self._settings.lease,
            version=known[1],
            division=_division(resource),
            voters=tuple(
                QuotaHolder(voter.host, str(voter.address)) for voter in replica.group.voters
            ),
            renewals=self._renewals,
        )

    async def _write(self, division: QuotaDivision) -> None:
        """Replicate a division; if that fails, it is decided about again."""
        version = self._replication.replica.catalogue.version
        change = Change(_operation_id(division, version), version, ((DIVISION_KEY, division),))
        outcome = await self._replication.write(change)
        self._events.record(
            "quota-division",
            version=self._replication.replica.catalogue.version,
            outcome=type(outcome).__name__.lower(),
            holders=" ".join(holder.host for holder in division.holders),
            parts=str(division.parts),
        )

    @property
    def _division_resource(self) -> Resource | None:
        """Return the division that this replica knows to be accepted."""
        return self._replication.replica.catalogue.resources.get(DIVISION_KEY)

    @property
    def _is_counting(self) -> bool:
        """Return whether any team has a quota, which only a new version changes."""
        catalogue = self._replication.replica.catalogue
        if self._counts_teams[0] != catalogue.version:
            counts = any(
                isinstance(resource.spec, Team) and resource.spec.rate > 0
                for resource in catalogue.resources.values()
            )
            self._counts_teams = (catalogue.version, counts)
        return self._counts_teams[1]


def _division(resource: Resource | None) -> QuotaDivision | None:
    """Return the division of a resource."""
    match resource and resource.spec:
        case QuotaDivision() as division:
            return division
        case _:
            return None


def _operation_id(division: QuotaDivision, version: Version) -> OperationId:
    """Return the operation id of a division on top of a version."""
    digest = hashlib.blake2b(repr((division, version)).encode(), digest_size=16)
    return OperationId(f"quota-division-{digest.hexdigest()}")

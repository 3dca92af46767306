"""Automatic joining: a replica with an empty disk enters the group without a command."""

from __future__ import annotations

import asyncio
import random
import uuid
from collections.abc import Callable
from dataclasses import dataclass

from cowslipvane.clock import lease_now
from cowslipvane.events import EventLog
from cowslipvane.replica import Add, GroupChangeRefused, Leader, Replace, Voter
from cowslipvane.settings import Settings
from cowslipvane.storage import Identity
from cowslipvane.tasks.replication._messages import GroupChanged, NotLeader, Unknown
from cowslipvane.tasks.replication._replication import Replication
from cowslipvane.types import Address, HostName, ReplicaId, Seconds
from cowslipvane.wire import Link, LinkClosed, Malformed, connect, register

# Name of the group that replicas form automatically.
GROUP_NAME = "cowslipvane"
# Mean time between two attempts to join; also the interval of the checks for a leader.
RETRY_INTERVAL: Seconds = 0.3
RESPONSE_TIMEOUT: Seconds = 2.0
# A member without contact with a leader for this long asks to join again: it may have been removed.
REJOIN_TIMEOUT: Seconds = 3.0


@dataclass(frozen=True, slots=True, kw_only=True)
class AskToJoin:
    """Requests to join as a learner, replacing any other replica id on the same host."""

    group: str
    replica: Voter
    is_founder: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class TakenIn:
    """The replica is in the group, or will be once a majority has the change."""


@dataclass(frozen=True, slots=True, kw_only=True)
class NotTakenIn:
    """The replica isn't known to be in the group; leader is the address to try next, if known."""

    reason: str
    leader: Address | None


register(AskToJoin, TakenIn, NotTakenIn)


def new_identity(settings: Settings, *, may_found: bool = True) -> Identity:
    """Return an identity for an empty data folder, either a founder's or a joining replica's.

    At the first start all replicas have the same seeds, which are the founders of the group.
    """
    seeds = settings.seeds
    is_founder = may_found and settings.formation.first_start and settings.listen.peers in seeds
    founders = tuple(Voter(HostName(seed.ip), seed) for seed in sorted(seeds))
    replica_id = ReplicaId(uuid.uuid4().hex)
    return Identity(GROUP_NAME, settings.host, replica_id, founders if is_founder else ())


class GroupJoiner:
    """Requests to join the group for this replica, and handles the join requests of others."""

    def __init__(
        self,
        *,
        replication: Replication,
        group_name: str,
        own_address: Address,
        peer_addresses: Callable[[], tuple[Address, ...]],
        events: EventLog,
        rng: random.Random,
    ) -> None:
        self._replication = replication
        self._group_name = group_name
        self._own_address = own_address
        self._peer_addresses = peer_addresses
        self._events = events
        self._rng = rng

    async def run(self) -> None:
        """Request to join whenever this replica may not be in the group."""
        while True:
            if not self._is_member():
                await self._join()
                await asyncio.sleep(RETRY_INTERVAL * self._rng.uniform(0.5, 1.5))
                continue
            if await self._wait_for_isolation():
                # It may have been removed while it was isolated, which its log can't show.
                await self._join()

    async def _join(self) -> None:
        """Send a join request to one member after another until one accepts it."""
        for address in self._shuffled_addresses():
            if await self._join_through(address):
                return

    async def _wait_for_isolation(self) -> bool:
        """Return False on contact with a leader, or True after REJOIN_TIMEOUT without contact."""
        deadline = lease_now() + REJOIN_TIMEOUT
        while lease_now() < deadline:
            await asyncio.sleep(RETRY_INTERVAL)
            if self._replication.is_current:
                return False
        return True

    async def serve(self, link: Link) -> None:
        """Handle one join request."""
        match await link.receive(timeout=RESPONSE_TIMEOUT):
            case AskToJoin(group=group) as request if group == self._group_name:
                await link.send(await self._handle_join(request))
            case _:
                return

    async def _handle_join(self, request: AskToJoin) -> TakenIn | NotTakenIn:
        """As leader, add a joining replica to the group, or replace the member on its host."""
        replica, joining = self._replication.replica, request.replica
        group = replica.group
        if isinstance(replica.role, Leader) and replica.has_taken_in(
            joining, is_founder=request.is_founder
        ):
            return TakenIn()
        change = (
            Add(learner=joining) if group.member(joining.host) is None else Replace(learner=joining)
        )
        match await self._replication.change_group(change):
            case GroupChanged():
                self._events.record(
                    "regrouped", host=joining.host, change=type(change).__name__.lower()
                )
                return TakenIn()
            case GroupChangeRefused(reason=reason):
                return NotTakenIn(reason=reason, leader=None)
            case NotLeader(leader=leader):
                member = group.member(leader) if leader else None
                return NotTakenIn(reason="another leads", leader=member and member.address)
            case Unknown():
                return NotTakenIn(reason="the outcome isn't known yet", leader=None)

    async def _join_through(self, address: Address) -> bool:
        """Send a join request to a member, and return whether it is accepted.

        If the member names a leader, the request is sent to the leader too.
        """
        response = await self._request_join(address)
        if isinstance(response, NotTakenIn) and response.leader is not None:
            response = await self._request_join(response.leader)
        if isinstance(response, NotTakenIn):
            self._events.record("not-joined", asked=str(address), reason=response.reason)
        return isinstance(response, TakenIn)

    async def _request_join(self, address: Address) -> TakenIn | NotTakenIn | None:
        """Return the response of one process to a join request, None if there is none."""
        replica = self._replication.replica
        own = Voter(replica.host, self._own_address, replica.replica_id)
        try:
            async with connect(address, "/join") as link:
                await link.send(
                    AskToJoin(group=self._group_name, replica=own, is_founder=replica.is_founder)
                )
                match await link.receive(timeout=RESPONSE_TIMEOUT):
                    case TakenIn() | NotTakenIn() as response:
                        return response
        except (LinkClosed, Malformed, TimeoutError) as error:
            self._events.record("not-joined", asked=str(address), reason=str(error))
        return None

    def _is_member(self) -> bool:
        """Return whether the log has this replica id, or a founder without an id on this host."""
        replica = self._replication.replica
        member = replica.group.member(replica.host)
        return member is not None and replica.matches_identity(member.replica_id)

    def _shuffled_addresses(self) -> list[Address]:
        """Return the addresses of other possible members in random order."""
        addresses = [address for address in self._peer_addresses() if address != self._own_address]
        self._rng.shuffle(addresses)
        return addresses

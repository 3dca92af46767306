"""How a replica whose disk is empty comes into the group without a command."""

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
from cowslipvane.tasks._replication import GroupChanged, NotLeader, Replication, Unknown
from cowslipvane.types import Address, HostName, ReplicaId, Seconds
from cowslipvane.wire import Link, LinkClosed, Malformed, connect, register

# The group that replicas form by themselves.
GROUP_NAME = "cowslipvane"
# Time between two attempts to be taken in.
RETRY: Seconds = 0.3
ANSWER_TIMEOUT: Seconds = 2.0
# A member that has heard no leader for this long asks whether it still is one.
LEFT_OUT_AFTER: Seconds = 3.0


@dataclass(frozen=True, slots=True, kw_only=True)
class AskToJoin:
    """Asks to be taken in as a learner, in place of any other identity on the host."""

    group: str
    replica: Voter


@dataclass(frozen=True, slots=True, kw_only=True)
class TakenIn:
    """The group has the replica, or will have it once a majority knows."""


@dataclass(frozen=True, slots=True, kw_only=True)
class NotTakenIn:
    """The group was not changed here; leader says who may do it."""

    reason: str
    leader: Address | None


register(AskToJoin, TakenIn, NotTakenIn)


def new_identity(settings: Settings) -> Identity:
    """Return an identity for an empty data folder: a founder's, or that of one that joins.

    The seeds are the same for all at the first start, and found the group together.
    """
    seeds = settings.seeds
    is_founder = settings.formation.first_start and settings.listen.peers in seeds
    founders = tuple(Voter(HostName(seed.ip), seed) for seed in sorted(seeds))
    replica_id = ReplicaId(uuid.uuid4().hex)
    return Identity(GROUP_NAME, settings.host, replica_id, founders if is_founder else ())


class GroupJoiner:
    """Asks the members for this replica to be one of them, and answers others that ask."""

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
        self._others = peer_addresses
        self._events = events
        self._rng = rng

    async def run(self) -> None:
        """Ask one member after another whenever this replica may not be in the group."""
        while True:
            if not self._is_member():
                await self._ask_all()
                await asyncio.sleep(RETRY * self._rng.uniform(0.5, 1.5))
                continue
            if await self._is_left_out():
                # One that was cut off for long may have been taken out, which its log can't tell.
                await self._ask_all()

    async def _ask_all(self) -> None:
        """Ask one member after another until one takes this replica in."""
        for address in self._shuffled():
            if await self._ask(address):
                return

    async def _is_left_out(self) -> bool:
        """Watch for a while, and return whether no leader was heard in all that time."""
        give_up = lease_now() + LEFT_OUT_AFTER
        while lease_now() < give_up:
            await asyncio.sleep(RETRY)
            if self._replication.is_current:
                return False
        return True

    async def serve(self, link: Link) -> None:
        """Answer one replica that asks."""
        match await link.receive(timeout=ANSWER_TIMEOUT):
            case AskToJoin(group=group, replica=voter) if group == self._group_name:
                await link.send(await self._take_in(voter))
            case _:
                return

    async def _take_in(self, voter: Voter) -> TakenIn | NotTakenIn:
        """Change the group, if this replica leads and the other one isn't a member yet."""
        replica = self._replication.replica
        group = replica.group
        if isinstance(replica.role, Leader) and replica.check_identity(
            voter.host, voter.replica_id
        ):
            return TakenIn()
        change = Add(learner=voter) if group.member(voter.host) is None else Replace(learner=voter)
        match await self._replication.change_group(change):
            case GroupChanged():
                self._events.record(
                    "regrouped", host=voter.host, change=type(change).__name__.lower()
                )
                return TakenIn()
            case GroupChangeRefused(reason=reason):
                return NotTakenIn(reason=reason, leader=None)
            case NotLeader(leader=leader):
                member = group.member(leader) if leader else None
                return NotTakenIn(reason="another leads", leader=member and member.address)
            case Unknown():
                return NotTakenIn(reason="the outcome isn't known yet", leader=None)

    async def _ask(self, address: Address) -> bool:
        """Ask a member, and the leader that it names; return whether this replica is taken in."""
        answer = await self._answer_of(address)
        if isinstance(answer, NotTakenIn) and answer.leader is not None:
            answer = await self._answer_of(answer.leader)
        if isinstance(answer, NotTakenIn):
            self._events.record("not-joined", asked=str(address), reason=answer.reason)
        return isinstance(answer, TakenIn)

    async def _answer_of(self, address: Address) -> TakenIn | NotTakenIn | None:
        """Return what one process answers, None when it doesn't."""
        replica = self._replication.replica
        own = Voter(replica.host, self._own_address, replica.replica_id)
        try:
            async with connect(address, "/join") as link:
                await link.send(AskToJoin(group=self._group_name, replica=own))
                match await link.receive(timeout=ANSWER_TIMEOUT):
                    case TakenIn() | NotTakenIn() as answer:
                        return answer
        except (LinkClosed, Malformed, TimeoutError) as error:
            self._events.record("not-joined", asked=str(address), reason=str(error))
        return None

    def _is_member(self) -> bool:
        """Return whether the log here names this replica as a member, founders included."""
        replica = self._replication.replica
        member = replica.group.member(replica.host)
        return member is not None and member.replica_id in ("", replica.replica_id)

    def _shuffled(self) -> list[Address]:
        """Return the other processes that may be members, in random order."""
        others = [address for address in self._others() if address != self._own_address]
        self._rng.shuffle(others)
        return others

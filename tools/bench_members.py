"""Measure the cost and the speed of membership, with many members in one process."""

from __future__ import annotations

import argparse
import random
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

from cowslipvane.membership import (
    Compare,
    Exchange,
    ExchangeReply,
    Feed,
    Hello,
    Member,
    Membership,
    Worker,
)
from cowslipvane.tasks._gossip import (
    BATCH_DELAY,
    INFREQUENT_HEARTBEAT_FACTOR,
    MAX_SEED_EXCHANGES,
    REPLY_TIMEOUT_HEARTBEATS,
    SEED_INTERVAL_FACTOR,
)
from cowslipvane.types import Address, DataCentre, HostName, Seconds, ServiceName
from cowslipvane.wire import encode

INTERVAL: Seconds = 0.5
SERVICES = 10
HEADING = (
    "members   settled  idle B/s mean/most  msg/s  churn B/s  leave known  herd settled  full B/s"
)
_FRAME_BYTES = 6
_BASELINE_SEEDS = 3


class Connection:
    """A connection between two members: what each side has told the other."""

    def __init__(self, *, opener: Feed, server: Feed, beat: Seconds) -> None:
        self.opener = opener
        self.server = server
        self.beat = beat
        self.due = 0.0
        self.gathering = False
        self.overdue = False
        self.closed = False


class MembershipSimulation:
    """Members whose messages are handed over at once, in rounds of the gathering time."""

    def __init__(
        self, *, names: Mapping[str, Sequence[str]], seeds: Iterable[str], seed: int
    ) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.is_partitioned: Callable[[Member, Member], bool] = lambda one, other: False
        self.running: dict[HostName, Membership] = {}
        self.silent: set[HostName] = set()
        self.bytes_of: Counter[HostName] = Counter()
        self.messages_of: Counter[HostName] = Counter()
        self.counts_bytes = False
        centres = {host: centre for centre, hosts in names.items() for host in hosts}
        self._addresses = {host: Address("10.0.0.1", at) for at, host in enumerate(centres, 1)}
        self._centres = centres
        self._seeds = [HostName(host) for host in seeds]
        self._connections: dict[HostName, dict[HostName, Connection]] = {}
        self._arranged: dict[HostName, int] = {}
        self._seed_due: dict[HostName, float] = {}
        self._lives = 0
        for host in centres:
            self.start(host)

    def start(self, host: str, incarnation: int | None = None) -> Membership:
        """Start a member, as a new life of its host."""
        self._lives += 1
        name = HostName(host)
        address = self._addresses[host]
        worker = Worker(ServiceName(f"service-{address.port % SERVICES}"), address, 6, 110)
        life = self._lives if incarnation is None else incarnation
        own = Member(
            name,
            DataCentre(self._centres[host]),
            life,
            0,
            address,
            address,
            address,
            "up",
            worker,
        )
        seeds = [self._addresses[seed] for seed in self._seeds]
        self.running[name] = Membership(own=own, now=self.now, seeds=seeds)
        self._seed_due[name] = self.now + self.rng.uniform(0, INTERVAL)
        self._drop_connections(name)
        return self.running[name]

    def kill(self, *hosts: str) -> None:
        """End members without a word."""
        for host in hosts:
            del self.running[HostName(host)]
            self._drop_connections(HostName(host))

    def run(self, time: Seconds) -> None:
        """Let some time pass."""
        end = self.now + time
        while self.now < end:
            self.now += BATCH_DELAY
            for host in list(self.running):
                if host not in self.silent:
                    self._step(host)

    def until(self, holds: Callable[[], bool], limit: Seconds = 60.0) -> Seconds:
        """Let time pass until something holds, and return how long that took."""
        begun = self.now
        while not holds():
            if self.now > begun + limit:
                raise TimeoutError(f"didn't hold within {limit} s")
            self.run(BATCH_DELAY)
        return self.now - begun

    def all_agree(self) -> bool:
        """Return whether all members of each data centre hold the same records."""
        digests: dict[DataCentre, set[int]] = {}
        for member in self.running.values():
            digests.setdefault(member.own.data_centre, set()).add(member.digest)
        return all(len(found) == 1 for found in digests.values())

    def all_know(self, host: str, state: str) -> bool:
        """Return whether all members of a host's data centre hold a state of it."""
        centre = self._centres[host]
        held = [
            membership.member(HostName(host))
            for membership in self.running.values()
            if membership.own.data_centre == centre
        ]
        return all(record is not None and record.state == state for record in held)

    def _step(self, host: HostName) -> None:
        """Let one member do what is due."""
        membership = self.running[host]
        membership.expire(self.now)
        if self._arranged.get(host) != membership.revision:
            self._arrange(host, membership)
        for other, connection in list(self._connections[host].items()):
            # News is gathered for one round before it is passed on.
            if self.now >= connection.due or connection.gathering:
                connection.gathering = False
                self._talk(host, other, connection)
            else:
                connection.gathering = connection.opener.has_updates
        if self._seeds and self.now >= self._seed_due[host]:
            self._ask_seed(host, membership)

    def _arrange(self, host: HostName, membership: Membership) -> None:
        """Open and close connections, so that they are those to the neighbours."""
        self._arranged[host] = membership.revision
        wanted = {
            neighbour.host: neighbour.frequent_heartbeats for neighbour in membership.neighbours()
        }
        before = self._connections.get(host, {})
        self._connections[host] = {
            other: before.get(other) or self._open(host, other, near)
            for other, near in wanted.items()
        }

    def _open(self, host: HostName, other: HostName, near: bool, guest: bool = False) -> Connection:
        """Return a new connection, and count its greeting."""
        own = self.running[host].own
        self._count(host, Hello(sender=host, data_centre=own.data_centre, guest=guest))
        theirs = self.running.get(other)
        centre = DataCentre(self._centres[other])
        server = Feed(
            membership=theirs or self.running[host], data_centre=own.data_centre, guest=guest
        )
        opener = Feed(membership=self.running[host], data_centre=centre)
        beat = INTERVAL * (1 if near else INFREQUENT_HEARTBEAT_FACTOR)
        connection = Connection(opener=opener, server=server, beat=beat)
        connection.due = self.now + self.rng.uniform(0, INTERVAL)
        return connection

    def _talk(self, host: HostName, other: HostName, connection: Connection) -> None:
        """Exchange once, or suspect the other side."""
        connection.due = self.now + connection.beat
        if self._reaches(host, other):
            if connection.closed:
                connection = self._open(host, other, connection.beat == INTERVAL)
                self._connections[host][other] = connection
            self._exchange(host, other, connection)
            connection.due = self.now + connection.opener.next_exchange_delay(connection.beat)
            return
        if other in self.silent:
            # A silent process is noticed only once its reply is overdue.
            connection.due = self.now + INTERVAL * REPLY_TIMEOUT_HEARTBEATS
            if not connection.overdue:
                connection.overdue = True
                return
        connection.closed = True
        self.running[host].suspect(other, self.now)

    def _ask_seed(self, host: HostName, membership: Membership) -> None:
        """Exchange records with a seed drawn at random, if the member needs one."""
        pause = 1 if membership.is_alone() else SEED_INTERVAL_FACTOR
        self._seed_due[host] = self.now + INTERVAL * pause * self.rng.uniform(0.5, 1.5)
        others = [seed for seed in self._seeds if seed != host]
        if not others or not membership.needs_seed():
            return
        seed = self.rng.choice(others)
        if not self._reaches(host, seed):
            return
        connection = self._open(host, seed, True, guest=True)
        for _ in range(MAX_SEED_EXCHANGES):
            self._exchange(host, seed, connection)
            if connection.opener.is_synchronized:
                return

    def _exchange(self, host: HostName, other: HostName, connection: Connection) -> None:
        """Hand a message over and its reply back."""
        message = connection.opener.next_message(self.now)
        reply, _ = connection.server.handle_message(message, self.now)
        connection.opener.handle_reply(message, reply, self.now)
        self._count(host, message)
        self._count(other, reply)

    def _reaches(self, host: HostName, other: HostName) -> bool:
        """Return whether a message from one member reaches another."""
        theirs = self.running.get(other)
        if theirs is None or other in self.silent:
            return False
        return not self.is_partitioned(self.running[host].own, theirs.own)

    def _count(self, sender: HostName, message: Exchange | Compare | ExchangeReply | Hello) -> None:
        """Count a message for its sender."""
        self.messages_of[sender] += 1
        if self.counts_bytes:
            self.bytes_of[sender] += len(encode(message)) + _FRAME_BYTES

    def _drop_connections(self, host: HostName) -> None:
        """Forget the connections of a process that has ended."""
        self._connections.pop(host, None)
        self._arranged.pop(host, None)
        for others in self._connections.values():
            connection = others.get(host)
            if connection is not None:
                connection.due = self.now
                connection.closed = True


class Cost(NamedTuple):
    """What a member sent, in bytes and messages a second: the mean and the most."""

    mean_bytes: float
    most_bytes: float
    mean_messages: float


def cost(
    rounds: MembershipSimulation, time: Seconds, act: Callable[[], None] = lambda: None
) -> Cost:
    """Return what the members send while some time passes."""
    rounds.bytes_of.clear()
    rounds.messages_of.clear()
    rounds.counts_bytes = True
    act()
    rounds.run(time)
    rounds.counts_bytes = False
    count = len(rounds.running)
    return Cost(
        sum(rounds.bytes_of.values()) / count / time,
        max(rounds.bytes_of.values()) / time,
        sum(rounds.messages_of.values()) / count / time,
    )


def full_tables(rounds: MembershipSimulation) -> Cost:
    """Return the cost if each member sent all records to three seeds at each interval."""
    records = next(iter(rounds.running.values())).members
    size = len(encode(ExchangeReply(digest=0, members=records))) + _FRAME_BYTES
    rate = _BASELINE_SEEDS / INTERVAL
    count = len(records)
    return Cost(size * rate, size * count / INTERVAL, rate)


def main() -> None:
    """Print cost and speed for growing numbers of members."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("sizes", nargs="*", type=int, default=[20, 50, 100, 200, 400])
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    print(HEADING)
    for size in options.sizes:
        print(line(size, options.seed))


def line(size: int, seed: int) -> str:
    """Return the figures of one size as a line."""
    hosts = [HostName(f"host-{at:04}") for at in range(size)]
    rounds = MembershipSimulation(names={"one": hosts}, seeds=hosts[:3], seed=seed)
    settled = rounds.until(
        lambda: len(rounds.running[hosts[0]].members) == size and rounds.all_agree()
    )
    rounds.run(5.0)
    idle = cost(rounds, 20.0)
    churn = cost(rounds, 10.0, lambda: restart(rounds, hosts[-1:]))
    rounds.running[hosts[size // 2]].leave("leaving", rounds.now)
    leave = rounds.until(lambda: rounds.all_know(hosts[size // 2], "leaving"))
    herd = hosts[size // 2 :]
    rounds.kill(*herd)
    rounds.run(10.0)
    for host in herd:
        rounds.start(host)
    again = rounds.until(
        lambda: len(rounds.running[hosts[0]].members) == size and rounds.all_agree(), 120.0
    )
    full = full_tables(rounds)
    return (
        f"{size:7}  {settled:6.2f} s  {idle.mean_bytes:8.0f} /{idle.most_bytes:7.0f}  "
        f"{idle.mean_messages:5.1f}  {churn.mean_bytes:9.0f}  {leave:9.2f} s  {again:10.2f} s  "
        f"{full.mean_bytes:8.0f}"
    )


def restart(rounds: MembershipSimulation, hosts: list[HostName]) -> None:
    """Kill members and start them again at once."""
    rounds.kill(*hosts)
    for host in hosts:
        rounds.start(host)


if __name__ == "__main__":
    main()

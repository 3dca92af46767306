"""Simulate many members in one process, and measure the cost and speed of membership."""

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
from cowslipvane.tasks.peers._gossip import (
    BATCH_DELAY,
    INFREQUENT_HEARTBEAT_FACTOR,
    MAX_SEED_EXCHANGES,
    REPLY_TIMEOUT_HEARTBEATS,
    SEED_INTERVAL_FACTOR,
)
from cowslipvane.types import Address, DataCentre, HostName, Seconds, ServiceName
from cowslipvane.wire import encode

HEARTBEAT_INTERVAL: Seconds = 0.5
SERVICES = 10
HEADING = (
    "members converged  idle B/s mean/max  msg/s  churn B/s  leave known  mass restart  full B/s"
)
_MEAN_FRAME_HEADER_BYTES = 6  # 8 bytes from a client, 4 bytes from a server
_FULL_TABLE_SEEDS = 3


class Connection:
    """A connection between two members, with the feed of each side."""

    def __init__(self, *, opener: Feed, server: Feed, heartbeat_interval: Seconds) -> None:
        self.opener = opener
        self.server = server
        self.heartbeat_interval = heartbeat_interval
        self.due_at = 0.0
        self.is_batching = False
        self.is_reply_overdue = False
        self.is_closed = False


class MembershipSimulation:
    """Simulates members in steps of the batch delay, with messages delivered at once.

    `seeds` are the hosts that serve as seeds; `seed` initializes the random number generator.
    """

    def __init__(
        self, *, hosts_by_data_centre: Mapping[str, Sequence[str]], seeds: Iterable[str], seed: int
    ) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.is_partitioned: Callable[[Member, Member], bool] = lambda one, other: False
        self.running: dict[HostName, Membership] = {}
        # Members that run but respond to nothing.
        self.unresponsive: set[HostName] = set()
        self.sent_bytes: Counter[HostName] = Counter()
        self.sent_messages: Counter[HostName] = Counter()
        self.counts_bytes = False
        data_centres = {
            host: data_centre
            for data_centre, hosts in hosts_by_data_centre.items()
            for host in hosts
        }
        self._addresses = {
            host: Address("10.0.0.1", port) for port, host in enumerate(data_centres, 1)
        }
        self._data_centres = data_centres
        self._seeds = [HostName(host) for host in seeds]
        self._connections: dict[HostName, dict[HostName, Connection]] = {}
        # The revision of each membership when its connections were last updated.
        self._revisions_at_update: dict[HostName, int] = {}
        self._seed_due_at: dict[HostName, float] = {}
        self._starts = 0
        for host in data_centres:
            self.start(host)

    def start(self, host: str, incarnation: int | None = None) -> Membership:
        """Start a member, by default as a new incarnation of its host."""
        self._starts += 1
        name = HostName(host)
        address = self._addresses[host]
        worker = Worker(ServiceName(f"service-{address.port % SERVICES}"), address, 6, 110)
        own_incarnation = self._starts if incarnation is None else incarnation
        own = Member(
            name,
            DataCentre(self._data_centres[host]),
            own_incarnation,
            0,
            address,
            address,
            address,
            "up",
            worker,
        )
        seeds = [self._addresses[seed] for seed in self._seeds]
        self.running[name] = Membership(own=own, now=self.now, seeds=seeds)
        self._seed_due_at[name] = self.now + self.rng.uniform(0, HEARTBEAT_INTERVAL)
        self._drop_connections(name)
        return self.running[name]

    def kill(self, *hosts: str) -> None:
        """End members without an announcement."""
        for host in hosts:
            del self.running[HostName(host)]
            self._drop_connections(HostName(host))

    def run(self, duration: Seconds) -> None:
        """Advance the simulated time by a duration."""
        end = self.now + duration
        while self.now < end:
            self.now += BATCH_DELAY
            for host in list(self.running):
                if host not in self.unresponsive:
                    self._step(host)

    def until(self, condition: Callable[[], bool], timeout: Seconds = 60.0) -> Seconds:
        """Advance the time until a condition holds, and return the simulated duration."""
        started_at = self.now
        while not condition():
            if self.now > started_at + timeout:
                raise TimeoutError(f"condition not met within {timeout} s")
            self.run(BATCH_DELAY)
        return self.now - started_at

    def all_agree(self) -> bool:
        """Return whether the members of each data centre all hold the same records."""
        digests: dict[DataCentre, set[int]] = {}
        for member in self.running.values():
            digests.setdefault(member.own.data_centre, set()).add(member.digest)
        return all(len(distinct) == 1 for distinct in digests.values())

    def all_know(self, host: str, state: str) -> bool:
        """Return whether all members of a host's data centre record that state for it."""
        data_centre = self._data_centres[host]
        records = [
            membership.member(HostName(host))
            for membership in self.running.values()
            if membership.own.data_centre == data_centre
        ]
        return all(record is not None and record.state == state for record in records)

    def _step(self, host: HostName) -> None:
        """Run the due actions of one member."""
        membership = self.running[host]
        membership.expire(self.now)
        if self._revisions_at_update.get(host) != membership.revision:
            self._update_connections(host, membership)
        for other, connection in list(self._connections[host].items()):
            # Updates are batched for one step before they are sent.
            if self.now >= connection.due_at or connection.is_batching:
                connection.is_batching = False
                self._exchange_or_suspect(host, other, connection)
            else:
                connection.is_batching = connection.opener.has_updates
        if self._seeds and self.now >= self._seed_due_at[host]:
            self._exchange_with_seed(host, membership)

    def _update_connections(self, host: HostName, membership: Membership) -> None:
        """Open connections to new neighbours and close those to former ones."""
        self._revisions_at_update[host] = membership.revision
        neighbours = {
            neighbour.host: neighbour.frequent_heartbeats for neighbour in membership.neighbours()
        }
        before = self._connections.get(host, {})
        self._connections[host] = {
            other: before.get(other) or self._open(host, other, frequent_heartbeats)
            for other, frequent_heartbeats in neighbours.items()
        }

    def _open(
        self, host: HostName, other: HostName, frequent_heartbeats: bool, guest: bool = False
    ) -> Connection:
        """Open a connection, and count its handshake message."""
        own = self.running[host].own
        self._count(host, Hello(sender=host, data_centre=own.data_centre, guest=guest))
        remote = self.running.get(other)
        data_centre = DataCentre(self._data_centres[other])
        # A stopped member gets a placeholder membership; no message is delivered to it.
        server = Feed(
            membership=remote or self.running[host], data_centre=own.data_centre, guest=guest
        )
        opener = Feed(membership=self.running[host], data_centre=data_centre)
        interval = HEARTBEAT_INTERVAL * (1 if frequent_heartbeats else INFREQUENT_HEARTBEAT_FACTOR)
        connection = Connection(opener=opener, server=server, heartbeat_interval=interval)
        connection.due_at = self.now + self.rng.uniform(0, HEARTBEAT_INTERVAL)
        return connection

    def _exchange_or_suspect(self, host: HostName, other: HostName, connection: Connection) -> None:
        """Exchange messages once, or suspect the other member if it is unreachable."""
        connection.due_at = self.now + connection.heartbeat_interval
        if self._reaches(host, other):
            if connection.is_closed:
                connection = self._open(
                    host, other, connection.heartbeat_interval == HEARTBEAT_INTERVAL
                )
                self._connections[host][other] = connection
            self._exchange(host, other, connection)
            connection.due_at = self.now + connection.opener.next_exchange_delay(
                connection.heartbeat_interval
            )
            return
        if other in self.unresponsive:
            # An unresponsive process is suspected only once its reply is overdue.
            connection.due_at = self.now + HEARTBEAT_INTERVAL * REPLY_TIMEOUT_HEARTBEATS
            if not connection.is_reply_overdue:
                connection.is_reply_overdue = True
                return
        connection.is_closed = True
        self.running[host].suspect(other, self.now)

    def _exchange_with_seed(self, host: HostName, membership: Membership) -> None:
        """Exchange records with a random seed, if the member needs one."""
        factor = 1 if membership.is_alone() else SEED_INTERVAL_FACTOR
        self._seed_due_at[host] = self.now + HEARTBEAT_INTERVAL * factor * self.rng.uniform(
            0.5, 1.5
        )
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
        """Deliver a message and its reply."""
        message = connection.opener.next_message(self.now)
        reply, _ = connection.server.handle_message(message, self.now)
        connection.opener.handle_reply(message, reply, self.now)
        self._count(host, message)
        self._count(other, reply)

    def _reaches(self, host: HostName, other: HostName) -> bool:
        """Return whether a message from one member reaches another."""
        remote = self.running.get(other)
        if remote is None or other in self.unresponsive:
            return False
        return not self.is_partitioned(self.running[host].own, remote.own)

    def _count(self, sender: HostName, message: Exchange | Compare | ExchangeReply | Hello) -> None:
        """Count a message and its bytes for its sender."""
        self.sent_messages[sender] += 1
        if self.counts_bytes:
            self.sent_bytes[sender] += len(encode(message)) + _MEAN_FRAME_HEADER_BYTES

    def _drop_connections(self, host: HostName) -> None:
        """Drop the connections of a member that ends or restarts, and mark those to it closed."""
        self._connections.pop(host, None)
        self._revisions_at_update.pop(host, None)
        for others in self._connections.values():
            connection = others.get(host)
            if connection is not None:
                connection.due_at = self.now
                connection.is_closed = True


class Cost(NamedTuple):
    """Bytes and messages that a member sent per second: mean and maximum over the members."""

    mean_bytes_per_s: float
    max_bytes_per_s: float
    mean_messages_per_s: float


def cost(
    simulation: MembershipSimulation, duration: Seconds, act: Callable[[], None] = lambda: None
) -> Cost:
    """Perform an action, run for a duration, and return the rates at which the members send."""
    simulation.sent_bytes.clear()
    simulation.sent_messages.clear()
    simulation.counts_bytes = True
    act()
    simulation.run(duration)
    simulation.counts_bytes = False
    count = len(simulation.running)
    return Cost(
        sum(simulation.sent_bytes.values()) / count / duration,
        max(simulation.sent_bytes.values()) / duration,
        sum(simulation.sent_messages.values()) / count / duration,
    )


def full_tables(simulation: MembershipSimulation) -> Cost:
    """Return the cost if each member sent all records to three seeds at each interval.

    It is a baseline; the maximum is that of a seed that replies to every member.
    """
    records = next(iter(simulation.running.values())).members
    size = len(encode(ExchangeReply(digest=0, members=records))) + _MEAN_FRAME_HEADER_BYTES
    rate = _FULL_TABLE_SEEDS / HEARTBEAT_INTERVAL
    count = len(records)
    return Cost(size * rate, size * count / HEARTBEAT_INTERVAL, rate)


def main() -> None:
    """Print cost and speed for each number of members."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("sizes", nargs="*", type=int, default=[20, 50, 100, 200, 400])
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    print(HEADING)
    for size in arguments.sizes:
        print(table_row(size, arguments.seed))


def table_row(size: int, seed: int) -> str:
    """Return the table row for a number of members."""
    hosts = [HostName(f"host-{number:04}") for number in range(size)]
    simulation = MembershipSimulation(
        hosts_by_data_centre={"one": hosts}, seeds=hosts[:3], seed=seed
    )
    convergence_s = simulation.until(
        lambda: len(simulation.running[hosts[0]].members) == size and simulation.all_agree()
    )
    simulation.run(5.0)
    idle = cost(simulation, 20.0)
    churn = cost(simulation, 10.0, lambda: restart(simulation, hosts[-1:]))
    simulation.running[hosts[size // 2]].leave("leaving", simulation.now)
    leave_s = simulation.until(lambda: simulation.all_know(hosts[size // 2], "leaving"))
    restarted = hosts[size // 2 :]
    simulation.kill(*restarted)
    simulation.run(10.0)
    for host in restarted:
        simulation.start(host)
    rejoin_s = simulation.until(
        lambda: len(simulation.running[hosts[0]].members) == size and simulation.all_agree(), 120.0
    )
    full = full_tables(simulation)
    return (
        f"{size:7}  {convergence_s:6.2f} s  {idle.mean_bytes_per_s:8.0f} /"
        f"{idle.max_bytes_per_s:7.0f}  {idle.mean_messages_per_s:5.1f}  "
        f"{churn.mean_bytes_per_s:9.0f}  {leave_s:9.2f} s  {rejoin_s:10.2f} s  "
        f"{full.mean_bytes_per_s:8.0f}"
    )


def restart(simulation: MembershipSimulation, hosts: list[HostName]) -> None:
    """Kill members and restart them at once."""
    simulation.kill(*hosts)
    for host in hosts:
        simulation.start(host)


if __name__ == "__main__":
    main()

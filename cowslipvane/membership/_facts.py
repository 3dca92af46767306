"""Facts of workers, which bind whoever serves their host after the process that was told."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

from cowslipvane.membership._member import MAX_ORDER, is_name
from cowslipvane.sizes import message_size
from cowslipvane.types import HostName

# Departures of one host that the replicas keep; the oldest are forgotten above that.
MAX_HOST_DEPARTURES = 16
# A limit within this factor of the one that is kept needn't replace it.
LIMIT_FACTOR = 2.0
# Size in messages of the facts of all hosts; those of the hosts that recorded something longest ago
# are forgotten above that.
MAX_FACT_BYTES = 512 << 10


class Departure(NamedTuple):
    """The end of an instance: all its incarnations that started by then take no new work.

    started_at is as in an announcement.
    """

    instance: str
    started_at: int

    @property
    def is_sound(self) -> bool:
        """Return whether the departure names an instance."""
        return is_name(self.instance) and 0 <= self.started_at <= MAX_ORDER


class WorkerLimit(NamedTuple):
    """The requests a second that an incarnation takes, as its answers tell; 0 if it names none."""

    instance: str
    started_at: int
    requests_per_s: float

    @property
    def is_sound(self) -> bool:
        """Return whether the limit is one of an instance."""
        return Departure(self.instance, self.started_at).is_sound and self.requests_per_s >= 0

    def is_close_to(self, other: WorkerLimit | None) -> bool:
        """Return whether it needn't be kept, since another one of the incarnation is."""
        if other is None or other[:2] != self[:2]:
            return self.requests_per_s == 0
        lower, higher = sorted((self.requests_per_s, other.requests_per_s))
        return higher == lower or higher < lower * LIMIT_FACTOR


class HostFacts(NamedTuple):
    """What binds whoever owns the worker of a host: its departures, the oldest first.

    limit is that of the current worker, None if none is to be kept.
    """

    host: HostName
    departures: tuple[Departure, ...]
    limit: WorkerLimit | None = None

    @property
    def is_empty(self) -> bool:
        """Return whether there is nothing to be kept."""
        return not self.departures and self.limit is None


class Departures:
    """The newest departures of one host, the oldest first."""

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._started_at: OrderedDict[str, int] = OrderedDict()

    @property
    def all(self) -> tuple[Departure, ...]:
        """Return the departures."""
        return tuple(Departure(*item) for item in self._started_at.items())

    def covers(self, departure: Departure) -> bool:
        """Return whether a departure is known, or a later one of the same instance."""
        return departure.started_at <= self._started_at.get(departure.instance, -1)

    def add(self, departure: Departure) -> None:
        """Add a departure as the newest, unless it is known, and forget the oldest above the limit.

        A later one of the same instance replaces the earlier one.
        """
        if self.covers(departure):
            return
        self._started_at.pop(departure.instance, None)
        self._started_at[departure.instance] = departure.started_at
        if len(self._started_at) > self._limit:
            self._started_at.popitem(last=False)

    def remove(self, instance: str) -> Departure | None:
        """Forget the departure of an instance, and return it if there was one."""
        started_at = self._started_at.pop(instance, None)
        return None if started_at is None else Departure(instance, started_at)

    def discard(self, departure: Departure) -> None:
        """Forget the departure of an instance, unless a later one is known."""
        if self._started_at.get(departure.instance, MAX_ORDER + 1) <= departure.started_at:
            del self._started_at[departure.instance]


class FactRegister:
    """What is known of the workers of all hosts, as the replicas keep it.

    What is forgotten depends on the log alone, so that all replicas forget the same.
    """

    def __init__(self) -> None:
        # The host that recorded something longest ago comes first.
        self._hosts: OrderedDict[HostName, HostFacts] = OrderedDict()
        self._sizes: dict[HostName, int] = {}
        self._bytes = 0

    def of(self, host: HostName) -> HostFacts:
        """Return what is known of a host."""
        return self._hosts.get(host, HostFacts(host, ()))

    def missing(self, facts: HostFacts) -> HostFacts:
        """Return what isn't recorded of a host, without what names no instance."""
        known = self.of(facts.host)
        departures = _departures_of(known)
        return HostFacts(
            facts.host,
            tuple(
                departure
                for departure in facts.departures
                if departure.is_sound and not departures.covers(departure)
            ),
            facts.limit if _is_newer(facts.limit, known.limit) else None,
        )

    def record(self, facts: HostFacts) -> None:
        """Record facts of a host, and forget those of other hosts above the limit."""
        host, known = facts.host, self.of(facts.host)
        departures = _departures_of(known)
        for departure in facts.departures:
            departures.add(departure)
        kept = HostFacts(host, departures.all, facts.limit or known.limit)
        self._hosts[host] = kept
        self._hosts.move_to_end(host)
        size = message_size(kept)
        self._bytes += size - self._sizes.pop(host, 0)
        self._sizes[host] = size
        while self._bytes > MAX_FACT_BYTES and len(self._hosts) > 1:
            forgotten, _ = self._hosts.popitem(last=False)
            self._bytes -= self._sizes.pop(forgotten)

    def export(self) -> tuple[HostFacts, ...]:
        """Return all facts, from which restore makes the same state."""
        return tuple(self._hosts.values())

    def restore(self, state: Iterable[HostFacts]) -> None:
        """Replace the facts by exported ones."""
        self._hosts.clear()
        self._sizes.clear()
        self._bytes = 0
        for facts in state:
            self.record(facts)


def _departures_of(facts: HostFacts) -> Departures:
    """Return the departures of a host, to add others."""
    departures = Departures(limit=MAX_HOST_DEPARTURES)
    for departure in facts.departures:
        departures.add(departure)
    return departures


def _is_newer(limit: WorkerLimit | None, known: WorkerLimit | None) -> bool:
    """Return whether there is a limit to be recorded in place of a known one."""
    return limit is not None and limit.is_sound and limit != known

"""Departures of workers, which bind whoever serves their host after the process that was told."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

from cowslipvane.membership._member import MAX_ORDER, is_name
from cowslipvane.sizes import message_size
from cowslipvane.types import HostName

# Departures of one host that the replicas keep; the oldest are forgotten above that.
MAX_HOST_DEPARTURES = 16
# Size in messages of the departures of all hosts; those of the hosts that recorded something
# longest ago are forgotten above that.
MAX_DEPARTURE_BYTES = 512 << 10


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


class HostDepartures(NamedTuple):
    """The departures of the workers of one host, the oldest first."""

    host: HostName
    departures: tuple[Departure, ...]


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

    def discard(self, departure: Departure) -> None:
        """Forget the departure of an instance, unless a later one is known."""
        if self._started_at.get(departure.instance, MAX_ORDER + 1) <= departure.started_at:
            del self._started_at[departure.instance]


class DepartureRegister:
    """The departures of all hosts, as the replicas keep them.

    What is forgotten depends on the log alone, so that all replicas forget the same.
    """

    def __init__(self) -> None:
        # The host that recorded something longest ago comes first.
        self._hosts: OrderedDict[HostName, Departures] = OrderedDict()
        self._sizes: dict[HostName, int] = {}
        self._bytes = 0

    def of(self, host: HostName) -> tuple[Departure, ...]:
        """Return the departures of a host."""
        departures = self._hosts.get(host)
        return departures.all if departures is not None else ()

    def missing(self, departures: HostDepartures) -> tuple[Departure, ...]:
        """Return those departures that aren't recorded, without any that names no instance."""
        known = self._hosts.get(departures.host, Departures(limit=MAX_HOST_DEPARTURES))
        return tuple(
            departure
            for departure in departures.departures
            if departure.is_sound and not known.covers(departure)
        )

    def record(self, departures: HostDepartures) -> None:
        """Record departures of a host, and forget those of other hosts above the limit."""
        host = departures.host
        kept = self._hosts.pop(host, None) or Departures(limit=MAX_HOST_DEPARTURES)
        for departure in departures.departures:
            kept.add(departure)
        self._hosts[host] = kept
        size = message_size(HostDepartures(host, kept.all))
        self._bytes += size - self._sizes.pop(host, 0)
        self._sizes[host] = size
        while self._bytes > MAX_DEPARTURE_BYTES and len(self._hosts) > 1:
            forgotten, _ = self._hosts.popitem(last=False)
            self._bytes -= self._sizes.pop(forgotten)

    def export(self) -> tuple[HostDepartures, ...]:
        """Return all departures, from which restore makes the same state."""
        return tuple(HostDepartures(host, kept.all) for host, kept in self._hosts.items())

    def restore(self, state: Iterable[HostDepartures]) -> None:
        """Replace the departures by exported ones."""
        self._hosts.clear()
        self._sizes.clear()
        self._bytes = 0
        for departures in state:
            self.record(departures)

"""The rollout: on which proxies each version is in force, by what they report."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from cowslipvane.replica import Report
from cowslipvane.types import NO_VERSION, HostName, Version

# Versions whose time of being in force everywhere is remembered.
HISTORY_VERSIONS = 1000


class Proxies(NamedTuple):
    """The proxies that are known, by whether their lease runs."""

    live: tuple[HostName, ...]
    silent: tuple[HostName, ...]


class Lag(NamedTuple):
    """A live proxy that does not have a version in force, and why if it said so."""

    host: HostName
    version: Version
    since: float | None
    rejected: str


class Progress(NamedTuple):
    """How far a version has come."""

    version: Version
    in_force: int
    proxies: int
    everywhere_at: float | None
    behind: tuple[Lag, ...]
    silent: tuple[HostName, ...]


class Rollout:
    """What the proxies have in force, seen from one replica."""

    def __init__(self) -> None:
        self._reports: dict[HostName, Report] = {}
        self._proxies = Proxies((), ())
        self._held: list[Version] = []
        self._everywhere: dict[Version, float] = {}
        self._marked = NO_VERSION

    def observe(self, reports: Mapping[HostName, Report], proxies: Proxies, now: float) -> bool:
        """Take the newest reports, of all proxies that are known; return whether they are news."""
        known = {host: reports[host] for host in proxies.live if host in reports}
        if known == self._reports and proxies == self._proxies:
            return False
        self._reports, self._proxies = known, proxies
        self._held = sorted(self._version(host) for host in proxies.live)
        if self._held:
            self._mark(self._held[0], now)
        return True

    @property
    def live_proxy_count(self) -> int:
        """Return how many proxies live."""
        return len(self._held)

    def in_force(self, version: Version) -> int:
        """Return on how many live proxies a version or a later one is in force."""
        return len(self._held) - bisect_left(self._held, version)

    def progress(self, version: Version, accepted_at: Mapping[Version, float]) -> Progress:
        """Return how far a version has come, and who lags since when."""
        behind = tuple(self._lags(version, accepted_at)) if self._held else ()
        return Progress(
            version,
            self.in_force(version),
            len(self._held),
            self.everywhere_at(version),
            behind,
            self._proxies.silent,
        )

    def everywhere_at(self, version: Version) -> float | None:
        """Return when every proxy that lived then was known to have a version in force."""
        return self._everywhere.get(version)

    def _version(self, host: HostName) -> Version:
        """Return what a live proxy has in force."""
        report = self._reports.get(host)
        return report.version if report else NO_VERSION

    def _lags(self, version: Version, accepted_at: Mapping[Version, float]) -> Iterable[Lag]:
        """Yield the live proxies that lag behind a version."""
        for host in self._proxies.live:
            held = self._version(host)
            if held < version:
                report = self._reports.get(host)
                # A proxy lags from the moment that the version after its own was accepted.
                since = accepted_at.get(Version(held + 1))
                yield Lag(host, held, since, report.rejected if report else "")

    def _mark(self, version: Version, now: float) -> None:
        """Note that all versions up to one are in force everywhere."""
        first = max(self._marked + 1, version - HISTORY_VERSIONS + 1)
        self._everywhere.update((Version(number), now) for number in range(first, version + 1))
        self._marked = max(self._marked, version)
        for number in list(self._everywhere)[:-HISTORY_VERSIONS]:
            del self._everywhere[number]

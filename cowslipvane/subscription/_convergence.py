"""Convergence: on which proxies each version is in force, according to their reports."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from cowslipvane.replica import Report
from cowslipvane.types import NO_VERSION, HostName, Version

# The number of versions whose everywhere_at is kept.
HISTORY_VERSIONS = 1000


class Proxies(NamedTuple):
    """The known proxies, split by whether their lease is still valid."""

    live: tuple[HostName, ...]
    silent: tuple[HostName, ...]


class Lag(NamedTuple):
    """A live proxy on which a newer version is not in force.

    version is the one in force, since the wall time in seconds from which the proxy lags, and
    rejected the reason if it rejected a version.
    """

    host: HostName
    version: Version
    since: float | None
    rejected: str


class Progress(NamedTuple):
    """The progress of one version towards all proxies.

    in_force counts the live proxies on which the version or a later one is in force, and proxies
    all live ones. everywhere_at is the wall time in seconds when it was in force on all of them.
    """

    version: Version
    in_force: int
    proxies: int
    everywhere_at: float | None
    behind: tuple[Lag, ...]
    silent: tuple[HostName, ...]


class Convergence:
    """The versions in force on the proxies, as known to one replica."""

    def __init__(self) -> None:
        self._reports: dict[HostName, Report] = {}
        self._proxies = Proxies((), ())
        self._versions_in_force: list[Version] = []
        self._everywhere_at: dict[Version, float] = {}
        self._everywhere_version = NO_VERSION

    def observe(self, reports: Mapping[HostName, Report], proxies: Proxies, now: float) -> bool:
        """Update from the newest reports of all known proxies; return whether anything changed."""
        known = {host: reports[host] for host in proxies.live if host in reports}
        if known == self._reports and proxies == self._proxies:
            return False
        self._reports, self._proxies = known, proxies
        self._versions_in_force = sorted(self._version_of(host) for host in proxies.live)
        if self._versions_in_force:
            self._record_everywhere(self._versions_in_force[0], now)
        return True

    @property
    def live_proxy_count(self) -> int:
        """Return the number of live proxies."""
        return len(self._versions_in_force)

    def in_force(self, version: Version) -> int:
        """Return the number of live proxies on which a version or a later one is in force."""
        return len(self._versions_in_force) - bisect_left(self._versions_in_force, version)

    def progress(self, version: Version, acceptance_times: Mapping[Version, float]) -> Progress:
        """Return the progress of a version, with the proxies that lag and since when."""
        behind = tuple(self._lags(version, acceptance_times)) if self._versions_in_force else ()
        return Progress(
            version,
            self.in_force(version),
            len(self._versions_in_force),
            self.everywhere_at(version),
            behind,
            self._proxies.silent,
        )

    def everywhere_at(self, version: Version) -> float | None:
        """Return when a version was first known to be in force on every proxy live at that time."""
        return self._everywhere_at.get(version)

    def _version_of(self, host: HostName) -> Version:
        """Return the version in force on a live proxy."""
        report = self._reports.get(host)
        return report.version if report else NO_VERSION

    def _lags(self, version: Version, acceptance_times: Mapping[Version, float]) -> Iterable[Lag]:
        """Yield the live proxies on which an older version is in force."""
        for host in self._proxies.live:
            version_in_force = self._version_of(host)
            if version_in_force < version:
                report = self._reports.get(host)
                # A proxy lags from the time when the version after its own was accepted.
                since = acceptance_times.get(Version(version_in_force + 1))
                yield Lag(host, version_in_force, since, report.rejected if report else "")

    def _record_everywhere(self, version: Version, now: float) -> None:
        """Record that all versions up to the given one are in force everywhere."""
        first = max(self._everywhere_version + 1, version - HISTORY_VERSIONS + 1)
        self._everywhere_at.update((Version(number), now) for number in range(first, version + 1))
        self._everywhere_version = max(self._everywhere_version, version)
        for number in list(self._everywhere_at)[:-HISTORY_VERSIONS]:
            del self._everywhere_at[number]

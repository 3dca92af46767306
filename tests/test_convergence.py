"""Tests of the convergence, and of which report of a proxy a replica keeps."""

import unittest

from cowslipvane.replica import Report
from cowslipvane.subscription import Convergence, Lag, Proxies
from cowslipvane.types import Address, HostName, Version
from tools.single_replica import SingleReplica

A, B, C = HostName("a"), HostName("b"), HostName("c")
ACCEPTANCE_TIMES = {Version(1): 10.0, Version(2): 20.0, Version(3): 30.0}


def report(host: HostName, version: int, *, changed_at: float = 1.0, rejected: str = "") -> Report:
    """Return the report of a host that applied a version at 1.0."""
    return Report(host, Version(version), 1.0, Address("127.0.0.1", 1), rejected, changed_at)


class RolloutTest(unittest.TestCase):
    """The counts of proxies by version, and the ones that lag."""

    def setUp(self) -> None:
        """Create two live proxies, one of which lags, and a silent one."""
        self.convergence = Convergence()
        self.proxies = Proxies((A, B), (C,))
        self.reports = {A: report(A, 3), B: report(B, 1, rejected="why"), C: report(C, 0)}
        self.convergence.observe(self.reports, self.proxies, 40.0)

    def test_counts_live_proxies_and_lists_those_that_lag(self) -> None:
        """A proxy lags from the time when the version after its own was accepted."""
        progress = self.convergence.progress(Version(3), ACCEPTANCE_TIMES)
        self.assertEqual((progress.in_force, progress.proxies), (1, 2))
        self.assertEqual(progress.behind, (Lag(B, Version(1), 20.0, "why"),))
        self.assertEqual((progress.silent, progress.everywhere_at), ((C,), None))

    def test_a_proxy_that_never_reported_counts_as_lagging(self) -> None:
        """A missing report is not a success."""
        self.convergence.observe({A: report(A, 3)}, self.proxies, 41.0)
        progress = self.convergence.progress(Version(1), ACCEPTANCE_TIMES)
        self.assertEqual((progress.in_force, progress.proxies), (1, 2))
        self.assertEqual([lag.host for lag in progress.behind], [B])

    def test_everywhere_at_is_the_time_of_the_last_proxy(self) -> None:
        """The time stays, even if a proxy restarts later."""
        self.assertEqual(self.convergence.everywhere_at(Version(1)), 40.0)
        self.convergence.observe({A: report(A, 3), B: report(B, 3)}, self.proxies, 50.0)
        self.convergence.observe({A: report(A, 0), B: report(B, 3)}, self.proxies, 60.0)
        times = [self.convergence.everywhere_at(version) for version in ACCEPTANCE_TIMES]
        self.assertEqual(times, [40.0, 50.0, 50.0])

    def test_observe_returns_whether_anything_changed(self) -> None:
        """Watchers are woken only by changes."""
        self.assertFalse(self.convergence.observe(self.reports, self.proxies, 50.0))
        self.assertTrue(self.convergence.observe(self.reports, Proxies((A, B), ()), 50.0))

    def test_an_older_report_does_not_replace_a_newer_one(self) -> None:
        """Reports that are forwarded by other replicas may be late."""
        replica = SingleReplica().replica
        replica.record_report(report(A, 3, changed_at=5.0))
        replica.record_report(report(A, 2, changed_at=4.0))
        self.assertEqual(replica.reports[A].version, 3)
        replica.record_report(report(A, 0, changed_at=6.0))
        self.assertEqual(replica.reports[A].version, 0)


if __name__ == "__main__":
    unittest.main()

"""Tests of the choice of an owner with simulated calls."""

import random
import unittest
from collections import Counter
from collections.abc import Callable, Collection, Sequence

from cowslipvane.membership import Member, Worker
from cowslipvane.refusal import DeadlinePassed, Draining, OwnerUnreachable
from cowslipvane.routing import AttemptResult, Chooser, Load
from cowslipvane.routing._choice import MAX_EJECTED_SHARE, REMOTE_SHARE
from cowslipvane.routing._owner_view import LOAD_HALF_LIFE, RAMP_TIME
from cowslipvane.routing._quantile import Quantile
from cowslipvane.types import Address, DataCentre, HostName, ServiceName, Verdict

LOCAL, REMOTE = DataCentre("local"), DataCentre("remote")
STOCK = ServiceName("stock")
CALL_INTERVAL_S = 0.01


def owner(host: str, data_centre: DataCentre = LOCAL, incarnation: int = 1) -> Member:
    """Return an owner of four slots."""
    address = Address("10.0.0.1", 1)
    worker = Worker(STOCK, address, 4, 100)
    name = HostName(host)
    return Member(name, data_centre, incarnation, 1, address, address, address, "up", worker)


class ChoiceTest(unittest.TestCase):
    """Tests of which owner gets the next attempt."""

    def setUp(self) -> None:
        """Create a chooser that has observed no calls."""
        self.chooser = Chooser(data_centre=LOCAL, rng=random.Random(7))
        self.now = 100.0

    def choose(self, owners: Sequence[Member], excluded: Collection[HostName] = ()) -> str:
        """Return the host that is chosen at the current time."""
        member = self.chooser.choose(owners, excluded, self.now)
        assert member is not None
        return member.host

    def drive(
        self,
        owners: Sequence[Member],
        calls: int,
        latency: Callable[[str], float] = lambda host: 0.01,
        result: Callable[[str], AttemptResult] = lambda host: AttemptResult.ANSWERED,
    ) -> Counter[str]:
        """Simulate calls one after another, and return how many each owner got."""
        chosen: Counter[str] = Counter()
        for _ in range(calls):
            self.now += CALL_INTERVAL_S
            host = HostName(self.choose(owners))
            chosen[host] += 1
            self.chooser.begin(host)
            self.chooser.end(host, result(host), Load(4, 0, 0), latency(host), self.now)
        return chosen

    def report(self, host: str, load: Load) -> None:
        """Report the load of an owner."""
        name = HostName(host)
        self.chooser.begin(name)
        self.chooser.end(name, AttemptResult.REFUSED, load, 0.0, self.now)

    def introduce(self, owners: Sequence[Member]) -> None:
        """Introduce owners to the chooser and wait until they have ramped up."""
        self.choose(owners)
        self.now += RAMP_TIME

    def test_local_data_centre_is_preferred(self) -> None:
        """Remote owners get calls if all local ones were tried or are overloaded."""
        owners = [owner("a"), owner("b"), owner("c", REMOTE)]
        self.introduce(owners)
        self.assertLess(self.drive(owners, 1000)["c"], 1000 * REMOTE_SHARE * 2)
        self.assertEqual(self.choose(owners, {HostName("a"), HostName("b")}), "c")
        for host in ("a", "b"):
            self.report(host, Load(4, 4, 40))
        remote = Counter(self.choose(owners) for _ in range(100))["c"]
        self.assertEqual(remote, 100)
        self.report("a", Load(4, 1, 0))
        remote = Counter(self.choose(owners) for _ in range(1000))["c"]
        self.assertLess(remote, 1000 * REMOTE_SHARE * 2)

    def test_small_calls_go_to_other_data_centres_sooner(self) -> None:
        """The load from which calls leave the data centre is lower for small calls."""
        owners = [owner("a"), owner("b", REMOTE)]
        self.introduce(owners)
        self.report("b", Load(4, 1, 0))
        for queued, small, remote in ((0, True, False), (7, True, True), (7, False, False)):
            self.report("a", Load(4, 4, queued))
            member = self.chooser.choose(owners, (), self.now, small=small)
            assert member is not None
            self.assertEqual(member.host == "b", remote, (queued, small))
        self.report("a", Load(4, 4, 17))
        self.assertEqual(self.choose(owners), "b")

    def test_overload_everywhere_keeps_calls_local(self) -> None:
        """Traffic between data centres is not worth it if the queue there is as long."""
        owners = [owner("a"), owner("b", REMOTE), owner("c", REMOTE)]
        self.introduce(owners)
        self.report("a", Load(4, 4, 18))
        self.report("b", Load(4, 4, 16))
        self.report("c", Load(4, 4, 20))
        self.assertEqual({self.choose(owners) for _ in range(50)}, {"a"})
        self.report("b", Load(4, 4, 1))
        self.assertEqual({self.choose(owners) for _ in range(50)}, {"b"})

    def test_refused_call_goes_to_another_data_centre_only_with_free_slots(self) -> None:
        """Otherwise the call would be sent there only to be refused again."""
        owners = [owner("a"), owner("b", REMOTE), owner("c", REMOTE)]
        self.introduce(owners)
        tried = {HostName("a")}
        self.report("b", Load(4, 4, 0))
        self.report("c", Load(4, 4, 8))
        self.assertIsNone(self.chooser.choose(owners, tried, self.now))
        self.now += LOAD_HALF_LIFE
        self.assertEqual(self.choose(owners, tried), "b")
        # If the service has no local owner at all, remote owners get the call in any case.
        self.report("b", Load(4, 4, 0))
        self.assertIsNotNone(self.chooser.choose(owners[1:], (), self.now))

    def test_less_loaded_owner_is_chosen(self) -> None:
        """Load reports and the calls in flight from this process both count."""
        owners = [owner("a"), owner("b")]
        self.introduce(owners)
        chosen: Counter[str] = Counter()
        for _ in range(100):
            self.report("a", Load(4, 4, 2))
            chosen[self.choose(owners)] += 1
        # With two owners both are always drawn, so b is always chosen.
        self.assertEqual(chosen, Counter(b=100))
        for _ in range(12):
            self.chooser.begin(HostName("b"))
        self.assertEqual(self.choose(owners), "a")

    def test_old_load_reports_are_discounted(self) -> None:
        """An old report counts less than calls in flight from this process."""
        owners = [owner("a"), owner("b")]
        self.introduce(owners)
        self.report("a", Load(4, 4, 8))
        self.chooser.begin(HostName("b"))
        self.chooser.begin(HostName("b"))
        self.now += LOAD_HALF_LIFE * 6
        self.assertEqual(self.drive(owners, 1), Counter("a"))

    def test_service_time_counts_in_the_expected_wait(self) -> None:
        """An owner with a longer service time gets fewer calls."""
        owners = [owner("a"), owner("b")]
        self.introduce(owners)
        self.report("a", Load(4, 2, 0, 0.050))
        self.report("b", Load(4, 3, 0, 0.010))
        chosen = Counter(self.choose(owners) for _ in range(50))
        self.assertEqual(set(chosen), {"b"})

    def test_new_owner_ramps_up(self) -> None:
        """Its share grows to a full one, and starts over after a restart."""
        old = [owner("a"), owner("b"), owner("c")]
        self.introduce(old)
        grown = [*old, owner("d")]
        first = self.drive(grown, 100)["d"]
        self.now += RAMP_TIME
        usual = self.drive(grown, 400)["d"] / 4
        restarted = self.drive([*old, owner("d", incarnation=2)], 100)["d"]
        self.assertGreater(first, 0)
        self.assertLess(first, usual * 0.6)
        self.assertLess(restarted, usual * 0.6)

    def test_owner_that_loses_attempts_is_ejected_and_readmitted(self) -> None:
        """It gets few attempts while it fails, and its full share afterwards."""
        owners = [owner(host) for host in "abcd"]
        self.introduce(owners)
        lost = self.drive(owners, 1000, result=self.lose("a"))["a"]
        self.assertLess(lost, 60)
        self.assertGreater(lost, 3)
        self.now += 40.0
        self.assertGreater(self.drive(owners, 400)["a"], 50)

    def lose(self, *hosts: str) -> Callable[[str], AttemptResult]:
        """Return a function that loses every attempt at some hosts."""
        return lambda host: AttemptResult.LOST if host in hosts else AttemptResult.ANSWERED

    def test_slow_owner_is_ejected(self) -> None:
        """An owner with ten times the latency of the others is an outlier."""
        owners = [owner(host) for host in "abcd"]
        self.introduce(owners)
        chosen = self.drive(owners, 1000, lambda host: 0.1 if host == "a" else 0.01)
        self.assertLess(chosen["a"], 100)
        first, *_ = self.chooser.take_ejections()
        self.assertEqual((first.host, first.loses_attempts), ("a", False))
        self.assertGreater(first.latency, 3 * first.median_latency)
        self.assertEqual(self.chooser.take_ejections(), [])

    def test_slow_only_local_owner_is_ejected(self) -> None:
        """The few calls to other data centres show that the owners there are faster."""
        owners = [owner("a"), owner("b", REMOTE), owner("c", REMOTE)]
        self.introduce(owners)
        slow = 0.1
        before = self.drive(owners, 2000, lambda host: 0.01)["a"]
        after = self.drive(owners, 2000, lambda host: slow if host == "a" else 0.01)["a"]
        self.assertGreater(before, 1900)
        self.assertLess(after, 400)

    def test_occasional_long_calls_make_no_outlier(self) -> None:
        """Shares stay equal if a twentieth of the calls takes a hundred times as long."""
        owners = [owner(host) for host in "abcd"]
        self.introduce(owners)
        rng = random.Random(3)
        chosen = self.drive(owners, 1000, lambda host: 1.0 if rng.random() < 0.05 else 0.01)
        self.assertGreater(min(chosen.values()), 200)

    def test_single_outlier_moves_the_median_by_one_step(self) -> None:
        """A sample has the same weight however large it is."""
        median = Quantile(quantile=0.5, step=0.1)
        median.add(1.0)
        median.add(1000.0)
        self.assertLessEqual(median.value, 1.1)

    def test_refusals_that_count_as_lost(self) -> None:
        """An unreachable owner counts as lost, but one that refuses a call does not."""
        lost = OwnerUnreachable(host=HostName("a"), verdict=Verdict.NOT_RUN)
        timed_out = DeadlinePassed(service=STOCK, verdict=Verdict.NOT_RUN)
        self.assertIs(AttemptResult.of_refusal(lost), AttemptResult.LOST)
        self.assertIs(AttemptResult.of_refusal(timed_out), AttemptResult.TIMED_OUT)
        self.assertIs(AttemptResult.of_refusal(Draining(service=STOCK)), AttemptResult.REFUSED)

    def test_ejections_are_limited_to_a_share(self) -> None:
        """If most owners lose attempts, most of them still get calls."""
        owners = [owner(host) for host in "abcdef"]
        self.introduce(owners)
        self.drive(owners, 300, result=self.lose(*"abcde"))
        chosen = self.drive(owners, 60, result=self.lose(*"abcde"))
        self.assertGreaterEqual(len(chosen), len(owners) - int(len(owners) * MAX_EJECTED_SHARE))

    def test_outlier_is_chosen_when_no_other_owner_remains(self) -> None:
        """A call that has tried all other owners goes to the ejected one."""
        owners = [owner(host) for host in "abcd"]
        self.introduce(owners)
        self.drive(owners, 100, result=self.lose("a"))
        self.assertEqual(self.choose(owners, {HostName(host) for host in "bcd"}), "a")

    def test_abandoned_calls_do_not_count_against_the_owner(self) -> None:
        """Only failures of the owner itself count."""
        owners = [owner(host) for host in "abcd"]
        self.introduce(owners)
        chosen = self.drive(owners, 400, result=lambda host: AttemptResult.ABANDONED)
        self.assertGreater(min(chosen.values()), 60)


if __name__ == "__main__":
    unittest.main()

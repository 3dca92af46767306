"""Tests of the choice of an owner, over simulated calls."""

import random
import unittest
from collections import Counter
from collections.abc import Callable, Collection, Sequence

from cowslipvane.membership import Member, Worker
from cowslipvane.refusal import DeadlinePassed, Draining, OwnerUnreachable
from cowslipvane.routing import AttemptResult, Chooser, Load
from cowslipvane.routing._choice import EASED_SHARE, FAR_SHARE
from cowslipvane.routing._owner_view import LOAD_HALF_LIFE, RAMP_TIME
from cowslipvane.routing._quantile import Quantile
from cowslipvane.types import Address, DataCentre, HostName, ServiceName, Verdict

NEAR, FAR = DataCentre("near"), DataCentre("far")
STOCK = ServiceName("stock")
STEP = 0.01


def owner(host: str, centre: DataCentre = NEAR, incarnation: int = 1) -> Member:
    """Return an owner of four slots."""
    address = Address("10.0.0.1", 1)
    worker = Worker(STOCK, address, 4, 100)
    name = HostName(host)
    return Member(name, centre, incarnation, 1, address, address, address, "up", worker)


class ChoiceTest(unittest.TestCase):
    """Which owner the next attempt goes to."""

    def setUp(self) -> None:
        """Begin with a chooser that has seen nothing."""
        self.chooser = Chooser(data_centre=NEAR, rng=random.Random(7))
        self.now = 100.0

    def choose(self, owners: Sequence[Member], excluded: Collection[HostName] = ()) -> str:
        """Return the host that is chosen now."""
        member = self.chooser.choose(owners, excluded, self.now)
        assert member is not None
        return member.host

    def drive(
        self,
        owners: Sequence[Member],
        calls: int,
        took: Callable[[str], float] = lambda host: 0.01,
        result: Callable[[str], AttemptResult] = lambda host: AttemptResult.ANSWERED,
    ) -> Counter[str]:
        """Send one call after another, and return how many each owner got."""
        chosen: Counter[str] = Counter()
        for _ in range(calls):
            self.now += STEP
            host = HostName(self.choose(owners))
            chosen[host] += 1
            self.chooser.begin(host)
            self.chooser.end(host, result(host), Load(4, 0, 0), took(host), self.now)
        return chosen

    def report(self, host: str, load: Load) -> None:
        """Let an owner report its load."""
        name = HostName(host)
        self.chooser.begin(name)
        self.chooser.end(name, AttemptResult.REFUSED, load, 0.0, self.now)

    def settle(self, owners: Sequence[Member]) -> None:
        """See some owners and let their ramps end."""
        self.choose(owners)
        self.now += RAMP_TIME

    def test_the_own_data_centre_comes_first(self) -> None:
        """Others serve only when all of the own were tried, or none has room."""
        owners = [owner("a"), owner("b"), owner("c", FAR)]
        self.settle(owners)
        self.assertLess(self.drive(owners, 1000)["c"], 1000 * FAR_SHARE * 2)
        self.assertEqual(self.choose(owners, {HostName("a"), HostName("b")}), "c")
        for host in ("a", "b"):
            self.report(host, Load(4, 4, 40))
        far = Counter(self.choose(owners) for _ in range(100))["c"]
        self.assertEqual(far, 100)
        self.report("a", Load(4, 1, 0))
        far = Counter(self.choose(owners) for _ in range(1000))["c"]
        self.assertLess(far, 1000 * FAR_SHARE * 2)

    def test_light_calls_go_to_other_data_centres_sooner(self) -> None:
        """A crest at the only owner here: few bytes leave before many do."""
        owners = [owner("a"), owner("b", FAR)]
        self.settle(owners)
        self.report("b", Load(4, 1, 0))
        for queued, light, goes in ((0, True, False), (7, True, True), (7, False, False)):
            self.report("a", Load(4, 4, queued))
            found = self.chooser.choose(owners, (), self.now, small=light)
            assert found is not None
            self.assertEqual(found.host == "b", goes, (queued, light))
        self.report("a", Load(4, 4, 17))
        self.assertEqual(self.choose(owners), "b")

    def test_a_crest_everywhere_is_no_reason_to_go_elsewhere(self) -> None:
        """Bytes between data centres buy nothing where the queue is as long."""
        owners = [owner("a"), owner("b", FAR), owner("c", FAR)]
        self.settle(owners)
        self.report("a", Load(4, 4, 18))
        self.report("b", Load(4, 4, 16))
        self.report("c", Load(4, 4, 20))
        self.assertEqual({self.choose(owners) for _ in range(50)}, {"a"})
        self.report("b", Load(4, 4, 1))
        self.assertEqual({self.choose(owners) for _ in range(50)}, {"b"})

    def test_a_call_that_was_refused_here_goes_only_where_there_is_room(self) -> None:
        """Its bytes would else travel to be refused again, at a crest several times."""
        owners = [owner("a"), owner("b", FAR), owner("c", FAR)]
        self.settle(owners)
        tried = {HostName("a")}
        self.report("b", Load(4, 4, 0))
        self.report("c", Load(4, 4, 8))
        self.assertIsNone(self.chooser.choose(owners, tried, self.now))
        self.now += LOAD_HALF_LIFE
        self.assertEqual(self.choose(owners, tried), "b")
        # Where the service has no owner here at all, the others get the call in any case.
        self.report("b", Load(4, 4, 0))
        self.assertIsNotNone(self.chooser.choose(owners[1:], (), self.now))

    def test_the_less_loaded_of_two_is_chosen(self) -> None:
        """Reports and the calls under way from here both count."""
        owners = [owner("a"), owner("b")]
        self.settle(owners)
        chosen: Counter[str] = Counter()
        for _ in range(100):
            self.report("a", Load(4, 4, 2))
            chosen[self.choose(owners)] += 1
        # Both draws are the same owner's only if there is no other, so that b always wins.
        self.assertEqual(chosen, Counter(b=100))
        for _ in range(12):
            self.chooser.begin(HostName("b"))
        self.assertEqual(self.choose(owners), "a")

    def test_a_stale_report_is_discounted(self) -> None:
        """An old report counts less than calls that are under way from here."""
        owners = [owner("a"), owner("b")]
        self.settle(owners)
        self.report("a", Load(4, 4, 8))
        self.chooser.begin(HostName("b"))
        self.chooser.begin(HostName("b"))
        self.now += LOAD_HALF_LIFE * 6
        self.assertEqual(self.drive(owners, 1), Counter("a"))

    def test_the_shorter_wait_is_chosen_by_service_time(self) -> None:
        """An owner that takes longer for each call gets fewer."""
        owners = [owner("a"), owner("b")]
        self.settle(owners)
        self.report("a", Load(4, 2, 0, 0.050))
        self.report("b", Load(4, 3, 0, 0.010))
        chosen = Counter(self.choose(owners) for _ in range(50))
        self.assertEqual(set(chosen), {"b"})

    def test_a_new_owner_ramps_up(self) -> None:
        """Its share grows to a full one, and begins anew with its next life."""
        old = [owner("a"), owner("b"), owner("c")]
        self.settle(old)
        grown = [*old, owner("d")]
        first = self.drive(grown, 100)["d"]
        self.now += RAMP_TIME
        usual = self.drive(grown, 400)["d"] / 4
        reborn = self.drive([*old, owner("d", incarnation=2)], 100)["d"]
        self.assertGreater(first, 0)
        self.assertLess(first, usual * 0.6)
        self.assertLess(reborn, usual * 0.6)

    def test_an_owner_that_loses_attempts_is_left_out_and_tried_again(self) -> None:
        """It gets few attempts while it fails, and its share back after."""
        owners = [owner(host) for host in "abcd"]
        self.settle(owners)
        lost = self.drive(owners, 1000, result=self.lose("a"))["a"]
        self.assertLess(lost, 60)
        self.assertGreater(lost, 3)
        self.now += 40.0
        self.assertGreater(self.drive(owners, 400)["a"], 50)

    def lose(self, *hosts: str) -> Callable[[str], AttemptResult]:
        """Return what loses every attempt at some hosts."""
        return lambda host: AttemptResult.LOST if host in hosts else AttemptResult.ANSWERED

    def test_a_slow_owner_is_left_out(self) -> None:
        """Ten times the others' latency makes an outlier."""
        owners = [owner(host) for host in "abcd"]
        self.settle(owners)
        chosen = self.drive(owners, 1000, lambda host: 0.1 if host == "a" else 0.01)
        self.assertLess(chosen["a"], 100)
        first, *_ = self.chooser.take_ejections()
        self.assertEqual((first.host, first.loses_attempts), ("a", False))
        self.assertGreater(first.latency, 3 * first.median_latency)
        self.assertEqual(self.chooser.take_ejections(), [])

    def test_the_only_owner_here_is_left_out_when_it_is_slow(self) -> None:
        """A few calls to other data centres tell that theirs are faster."""
        owners = [owner("a"), owner("b", FAR), owner("c", FAR)]
        self.settle(owners)
        slow = 0.1
        before = self.drive(owners, 2000, lambda host: 0.01)["a"]
        after = self.drive(owners, 2000, lambda host: slow if host == "a" else 0.01)["a"]
        self.assertGreater(before, 1900)
        self.assertLess(after, 400)

    def test_long_work_makes_no_outlier(self) -> None:
        """A twentieth of calls that take a hundred times as long leaves the shares equal."""
        owners = [owner(host) for host in "abcd"]
        self.settle(owners)
        rng = random.Random(3)
        chosen = self.drive(owners, 1000, lambda host: 1.0 if rng.random() < 0.05 else 0.01)
        self.assertGreater(min(chosen.values()), 200)

    def test_one_huge_latency_moves_the_median_by_one_step(self) -> None:
        """However long a call took, it counts as one."""
        median = Quantile(share=0.5, step=0.1)
        median.add(1.0)
        median.add(1000.0)
        self.assertLessEqual(median.value, 1.1)

    def test_which_refusals_count_as_lost(self) -> None:
        """An owner that refuses for want of room works; one that can't be reached doesn't."""
        lost = OwnerUnreachable(host=HostName("a"), verdict=Verdict.NOT_RUN)
        late = DeadlinePassed(service=STOCK, verdict=Verdict.NOT_RUN)
        self.assertIs(AttemptResult.of_refusal(lost), AttemptResult.LOST)
        self.assertIs(AttemptResult.of_refusal(late), AttemptResult.TIMED_OUT)
        self.assertIs(AttemptResult.of_refusal(Draining(service=STOCK)), AttemptResult.REFUSED)

    def test_no_more_than_the_share_is_left_out(self) -> None:
        """When most owners lose attempts, most are still tried."""
        owners = [owner(host) for host in "abcdef"]
        self.settle(owners)
        self.drive(owners, 300, result=self.lose(*"abcde"))
        chosen = self.drive(owners, 60, result=self.lose(*"abcde"))
        self.assertGreaterEqual(len(chosen), len(owners) - int(len(owners) * EASED_SHARE))

    def test_an_outlier_is_chosen_when_no_other_is_left(self) -> None:
        """A call that has tried all others isn't refused for want of an owner."""
        owners = [owner(host) for host in "abcd"]
        self.settle(owners)
        self.drive(owners, 100, result=self.lose("a"))
        self.assertEqual(self.choose(owners, {HostName(host) for host in "bcd"}), "a")

    def test_a_caller_that_gives_up_says_nothing_of_the_owner(self) -> None:
        """Only the owner's own failures count."""
        owners = [owner(host) for host in "abcd"]
        self.settle(owners)
        chosen = self.drive(owners, 400, result=lambda host: AttemptResult.ABANDONED)
        self.assertGreater(min(chosen.values()), 60)


if __name__ == "__main__":
    unittest.main()

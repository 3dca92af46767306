"""Tests of the aggregate of quotas: shares, their division, and the tokens granted of them."""

import random
import unittest
from typing import Any

from cowslipvane.catalogue import QuotaDivision, QuotaHolder
from cowslipvane.quotas import (
    DivisionView,
    Grant,
    HeldShare,
    NoQuota,
    QuotaLedger,
    QuotaOfTeam,
    Renewal,
    ShareRenewed,
    TakeTokens,
    UnknownTeam,
    Unused,
    Want,
    next_division,
)
from cowslipvane.settings import Quotas
from cowslipvane.types import HostName, Quota, TeamName, Version
from tools.soak._windows import Use, busiest_window

LEASE = 10.0
SETTINGS = Quotas(lease=LEASE, overshoot=0.1, slack=20, window=5)
MILL = TeamName("mill")
QUOTA = Quota(30.0, 15.0)
HOLDERS = 3


def holder(name: str) -> QuotaHolder:
    """Return a holder."""
    return QuotaHolder(HostName(name), "127.0.0.1:7300")


A, B, C, D = (holder(name) for name in "abcd")


class HeldShareTest(unittest.TestCase):
    """A share ends with its lease, by the clock of its holder."""

    def setUp(self) -> None:
        """Start a process at 90.0."""
        self.share = HeldShare(lease=LEASE, started_at=90.0)

    def take(self, asked_at: float, version: int, parts: int, *, was_held: bool = False) -> None:
        """Take an answer of the leader that comes a tenth of a second after the question."""
        renewed = ShareRenewed(
            asked_at=asked_at, version=Version(version), parts=parts, was_held=was_held
        )
        self.share.take(renewed, asked_at + 0.1)

    def test_a_lease_runs_from_the_question(self) -> None:
        """Guards against a share that is acted on after it was given to others."""
        self.assertEqual(self.share.part(0.0), 0.0)
        self.take(100.0, 3, 4)
        self.assertEqual(self.share.part(109.9), 0.25)
        self.assertEqual(self.share.part(110.0), 0.0)

    def test_an_answer_of_an_earlier_division_counts_no_more(self) -> None:
        """It was on its way for long."""
        self.take(102.0, 5, 4)
        self.take(103.0, 4, 2)
        self.assertEqual((self.share.parts, self.share.version), (4, 5))

    def test_a_host_that_holds_none_grants_nothing(self) -> None:
        """It was told that others have its part."""
        self.take(101.0, 1, 3)
        self.take(102.0, 2, 0)
        self.assertEqual(self.share.part(102.0), 0.0)

    # Guards against teams that are refused below their quotas after a restart of all replicas.
    def test_a_part_that_was_held_before_the_start_is_nobody_elses_since(self) -> None:
        """What it earned since the start may be granted; a part that ran out earns nothing."""
        self.take(100.0, 3, 4, was_held=True)
        self.assertEqual(self.share.since, 90.0)
        self.take(105.0, 3, 4, was_held=True)
        self.assertEqual(self.share.since, 90.0)
        self.take(120.0, 3, 4, was_held=True)
        self.assertEqual(self.share.since, 120.1)

    def test_a_part_that_others_had_before_earns_from_now_on(self) -> None:
        """Guards against a quota that is granted twice."""
        self.take(100.0, 3, 4)
        self.assertEqual(self.share.since, 100.1)


class DivisionTest(unittest.TestCase):
    """Parts are taken away before they are given to others."""

    def view(self, **changed: Any) -> DivisionView:
        """Return what a leader knows some time after a division among three replicas."""
        hosts = (A, B, C, D)
        view = DivisionView(
            now=100.0,
            since=50.0,
            lease=LEASE,
            version=Version(7),
            division=QuotaDivision(holders=(A, B, C), parts=3),
            voters=(A, B, C),
            renewals={each.host: Renewal(99.0, Version(7)) for each in hosts},
        )
        return view._replace(**changed)

    def test_the_first_division_is_among_all_voters(self) -> None:
        """In equal parts."""
        expected = QuotaDivision(holders=(A, B, C), parts=3)
        self.assertEqual(next_division(self.view(division=None)), expected)

    def test_it_stays_while_nothing_changes(self) -> None:
        """Nothing is written."""
        self.assertIsNone(next_division(self.view()))

    def test_a_newcomer_gets_a_part_once_the_others_act_on_smaller_ones(self) -> None:
        """First the parts become smaller, then there is one more holder."""
        smaller = next_division(self.view(voters=(A, B, C, D)))
        assert smaller is not None
        self.assertEqual((smaller.holders, smaller.parts), ((A, B, C), 4))
        view = self.view(voters=(A, B, C, D), division=smaller, version=Version(8), since=99.0)
        self.assertIsNone(next_division(view))
        confirmed = {each.host: Renewal(99.9, Version(8)) for each in (A, B, C, D)}
        given = next_division(view._replace(renewals=confirmed))
        assert given is not None
        self.assertEqual((given.holders, given.parts), ((A, B, C, D), 4))

    # Guards against a quota that is granted twice, by a holder that is cut off and by the others.
    def test_the_part_of_a_silent_holder_is_given_away_after_its_lease(self) -> None:
        """It may be cut off, and goes on to grant its part until then."""
        silent = {A.host: Renewal(99.0, Version(7)), B.host: Renewal(99.0, Version(7))}
        view = self.view(renewals=silent | {C.host: Renewal(94.0, Version(7))})
        taken = next_division(view)
        assert taken is not None
        self.assertEqual((taken.holders, taken.parts, taken.former), ((A, B), 3, ("a", "b", "c")))
        confirmed = {each.host: Renewal(110.0, Version(8)) for each in (A, B)}
        later = self.view(division=taken, version=Version(8), since=100.0, renewals=confirmed)
        self.assertIsNone(next_division(later._replace(now=110.0)))
        given = next_division(later._replace(now=111.1))
        assert given is not None
        self.assertEqual((given.holders, given.parts), ((A, B), 2))

    def test_a_new_leader_gives_nothing_away_before_it_knows_the_holders(self) -> None:
        """It doesn't know whom the leader before it has answered."""
        view = self.view(voters=(A, B, D), since=99.5, renewals={})
        self.assertIsNone(next_division(view))
        # A newcomer that has never asked is no holder, or its part would be of use to nobody.
        taken = next_division(view._replace(now=111.0, since=99.5, renewals={}))
        self.assertIsNone(taken)


class Ledgers:
    """The ledgers of all holders, each with an equal part."""

    def __init__(self, quota: QuotaOfTeam = QUOTA) -> None:
        self.quota: QuotaOfTeam = quota
        self.each = [
            QuotaLedger(settings=SETTINGS, quota_of=lambda _: self.quota) for _ in range(HOLDERS)
        ]
        for ledger in self.each:
            ledger.set_part(1 / HOLDERS, 0.0, since=-100.0)

    def take(self, at: int, now: float, *, stands_in: bool = False) -> Grant:
        """Ask one holder for a token."""
        wanted = TakeTokens(wants=(Want(MILL, stands_in),))
        return self.each[at].take(wanted, now).grants[0]


class LedgerTest(unittest.TestCase):
    """All holders together grant the quota, and a little beyond it while one of them is lost."""

    def test_a_burst_is_granted_whole_and_no_more(self) -> None:
        """Each holder has a token more than its part, since parts of tokens are of no use."""
        ledgers = Ledgers()
        granted = sum(ledgers.take(at % HOLDERS, 0.0).state == "granted" for at in range(100))
        self.assertGreaterEqual(granted, QUOTA.burst)
        self.assertLessEqual(granted, QUOTA.burst + HOLDERS)

    def test_a_small_burst_is_granted_at_each_holder(self) -> None:
        """Guards against a quota whose parts are too small for any request."""
        ledgers = Ledgers(Quota(2.0, 0.0))
        self.assertEqual([ledgers.take(at, 0.0).state for at in range(HOLDERS)], ["granted"] * 3)

    # Guards against more than a quota, its overshoot and its slack, whoever stands in for whom.
    def test_no_window_has_more_than_the_settings_allow(self) -> None:
        """Teams of different sizes ask for far too much, in bursts, and holders are lost."""
        for seed in range(20):
            rng = random.Random(seed)
            quota = Quota(rng.choice([0.5, 5.0, 50.0]), rng.choice([0.0, 2.0, 40.0]))
            ledgers = Ledgers(quota)
            now, uses, unused = 0.0, [], []
            for _ in range(1500):
                now += rng.expovariate(quota.rate * rng.choice([0.5, 4.0]))
                grant = ledgers.take(rng.randrange(HOLDERS), now, stands_in=rng.random() < 0.7)
                if grant.state != "refused":
                    uses.append(now)
                if uses and rng.random() < 0.1:
                    unused.append((uses.pop(), grant))
                    ledgers.each[0].take(TakeTokens(wants=(), unused=(Unused(MILL, grant),)), now)
            busiest = busiest_window([Use(at, at) for at in uses], SETTINGS.window)
            allowed = (quota.rate * SETTINGS.window + quota.burst) * (1 + SETTINGS.overshoot)
            self.assertLessEqual(busiest.uses, allowed + SETTINGS.slack)

    # Guards against a team that is refused below its quota while a holder is lost.
    def test_two_holders_serve_the_usual_load_of_a_team_without_the_third(self) -> None:
        """A team usually sends 0.6 of its quota; the reserve covers what the third would grant."""
        for rate in (5.0, 50.0, 500.0):
            ledgers = Ledgers(Quota(rate, rate))
            rng = random.Random(7)
            now, refused, count = 0.0, 0, 0
            while now < 20.0:
                now += rng.expovariate(rate * 0.6)
                first, second = rng.sample(range(2), 2)
                if ledgers.take(first, now, stands_in=True).state == "refused":
                    refused += ledgers.take(second, now, stands_in=True).state == "refused"
                count += 1
            self.assertLess(refused / count, 0.01)

    def test_a_team_far_beyond_its_quota_is_told_to_come_later(self) -> None:
        """The more were refused, the later, so that they don't come all at once."""
        ledgers = Ledgers()
        grants = [ledgers.take(0, 0.0) for _ in range(40)]
        self.assertTrue(grants[-1].is_exceeded)
        self.assertGreater(grants[-1].retry_after, grants[10].retry_after)

    def test_a_lowered_quota_counts_at_once(self) -> None:
        """What is left in the bucket is cut to the new burst."""
        ledgers = Ledgers(Quota(300.0, 300.0))
        ledgers.take(0, 0.0)
        ledgers.quota = Quota(3.0, 3.0)
        states = [ledgers.take(0, 0.0).state for _ in range(10)]
        self.assertEqual(states.count("granted"), 2)

    def test_nothing_is_earned_without_a_part(self) -> None:
        """Others may have had it meanwhile."""
        ledgers = Ledgers()
        ledger = ledgers.each[0]
        ledger.set_part(0.0, 0.0, since=-100.0)
        self.assertEqual(ledgers.take(0, 1.0).state, "no share")
        ledger.set_part(1 / HOLDERS, 50.0, since=50.0)
        self.assertEqual(ledgers.take(0, 50.0).state, "refused")
        self.assertEqual(ledgers.take(0, 50.2).state, "granted")

    # Guards against a team that is taken out and put back, and has its whole burst again.
    def test_a_team_that_comes_back_has_what_it_had_left(self) -> None:
        """A version without it may be in force for a moment only."""
        ledgers = Ledgers()
        while ledgers.take(0, 0.0).state == "granted":
            pass
        ledgers.quota = UnknownTeam()
        ledgers.take(0, 0.0)
        ledgers.quota = QUOTA
        self.assertEqual(ledgers.take(0, 0.0).state, "refused")

    def test_teams_without_a_quota_or_unknown_ones_are_told_apart(self) -> None:
        """An unknown team is one of a newer version, which another holder may have."""
        self.assertEqual(Ledgers(NoQuota()).take(0, 0.0).state, "no quota")
        self.assertEqual(Ledgers(UnknownTeam()).take(0, 0.0).state, "unknown team")


if __name__ == "__main__":
    unittest.main()

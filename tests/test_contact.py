"""Tests of the rule by which a proxy without contact to the replicas accepts no keys."""

import heapq
import itertools
import random
import unittest
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from cowslipvane.settings import Revocation
from cowslipvane.subscription import AskNewest, Contact, Newest, Proof
from cowslipvane.subscription._contact import MAX_WAITING_PROOFS
from cowslipvane.types import Version

TIMEOUT_S = 5.0
REVOCATION = Revocation(when_partitioned=True, timeout=TIMEOUT_S)
SEEDS = 300
# A simulation ends with a time without disturbances.
DISTURBED_S, CALM_S = 30.0, 4.0
ASK_INTERVAL_S, RELAY_INTERVAL_S = 0.5, 0.1
DELAY_S = 0.05
# The clocks of processes differ by up to this, so times of one have a rounding error at another.
CLOCK_OFFSET_S, ROUNDING_S = 1e6, 1e-6


def newest(sent_at: float, *, version: int = 1, age: float = 0.0) -> Proof:
    """Return what the answer of a replica to a question proves."""
    return Proof.from_answer(Newest(sent_at=sent_at, version=Version(version), age=age))


class ContactTest(unittest.TestCase):
    """A proxy with version 1 in force, and what replicas prove to it."""

    def setUp(self) -> None:
        """Create a contact that was proved at second 100."""
        self.contact = Contact(revocation=REVOCATION)
        self.lifetime = self.contact.proof_lifetime
        self.contact.record(newest(100.0), Version(1))

    # Guards against an outage of all deployments that don't ask for the rule.
    def test_keys_are_accepted_without_contact_unless_the_setting_asks_for_it(self) -> None:
        """There may never have been any contact."""
        contact = Contact(revocation=Revocation())
        self.assertTrue(contact.accepts_keys(0.0))
        self.assertTrue(contact.accepts_keys(1e9))

    # Guards against a key that a proxy accepts by a version that was read before its first contact.
    def test_no_key_is_accepted_before_the_first_proof(self) -> None:
        """There is nothing that the version in force could be compared with."""
        self.assertFalse(Contact(revocation=REVOCATION).accepts_keys(0.0))

    # Guards against withdrawn keys that a proxy without contact accepts for ever, and against one
    # that refuses keys for ever once it was without.
    def test_contact_is_lost_and_found_again(self) -> None:
        """A proof holds for less than the timeout."""
        self.assertLess(self.lifetime, TIMEOUT_S)
        self.assertTrue(self.contact.accepts_keys(100.0 + self.lifetime - 0.01))
        self.assertFalse(self.contact.accepts_keys(100.0 + self.lifetime))
        self.contact.record(newest(120.0), Version(1))
        self.assertTrue(self.contact.accepts_keys(120.1))

    # Guards against an answer that was held up on its way, and extends what had run out meanwhile.
    def test_a_late_answer_proves_nothing_of_the_time_in_which_it_was_on_its_way(self) -> None:
        """Its question was sent long ago; a newer answer isn't taken back by it."""
        late = newest(101.0)
        self.contact.record(late, Version(1))
        self.assertFalse(self.contact.accepts_keys(101.0 + self.lifetime))
        self.contact.record(newest(110.0), Version(1))
        self.contact.record(late, Version(1))
        self.assertTrue(self.contact.accepts_keys(110.0 + self.lifetime - 0.01))

    # Guards against a process that wakes from a suspension and acts on what it knew before.
    def test_a_freeze_uses_up_the_proof(self) -> None:
        """The clock goes on while the host is suspended, and no step is taken between."""
        self.assertTrue(self.contact.accepts_keys(100.1))
        self.assertFalse(self.contact.accepts_keys(160.0))

    # Guards against a replica without a leader, which answers by what it has heard long ago.
    def test_the_age_of_what_a_replica_knows_counts(self) -> None:
        """As it does in an answer that a replica has from another one."""
        self.contact.record(newest(110.0, age=8.0), Version(1))
        self.assertTrue(self.contact.accepts_keys(102.0 + self.lifetime - 0.01))
        self.assertFalse(self.contact.accepts_keys(102.0 + self.lifetime))

    def test_an_answer_that_claims_to_be_ahead_proves_no_more_than_its_question(self) -> None:
        """Ages are never below 0, and one that is no number proves nothing."""
        self.contact.record(newest(110.0, age=-100.0), Version(1))
        self.assertFalse(self.contact.accepts_keys(110.0 + self.lifetime))
        contact = Contact(revocation=REVOCATION)
        contact.record(newest(110.0, age=float("nan")), Version(1))
        self.assertFalse(contact.accepts_keys(110.0))

    # Guards against a proxy that is in contact, doesn't get a version, and accepts a key that this
    # version withdraws.
    def test_contact_counts_once_the_version_that_it_tells_of_is_in_force(self) -> None:
        """The update may be too large for a harmed link that answers pass."""
        for sent_at in (104.0, 108.0, 112.0):
            self.contact.record(newest(sent_at, version=3), Version(1))
        self.contact.record_in_force(Version(2))
        self.assertFalse(self.contact.accepts_keys(112.0))
        self.contact.record_in_force(Version(3))
        self.assertTrue(self.contact.accepts_keys(112.0))

    # Guards against a proxy that refuses keys in a storm of configurations, since each answer tells
    # of a version that is just on its way.
    def test_keys_are_accepted_while_versions_come_in_quick_succession(self) -> None:
        """Each version is in force 0.3 s after it was accepted, and there is another by then."""
        now = 100.0
        for number in range(2, 4 * MAX_WAITING_PROOFS):
            now += 0.1
            self.contact.record(newest(now, version=number), Version(number - 4))
            self.contact.record_in_force(Version(max(number - 3, 1)))
            self.assertTrue(self.contact.accepts_keys(now), number)

    def test_memory_is_bounded_while_no_version_comes_into_force(self) -> None:
        """What came first still counts once its version is in force."""
        for number in range(2, 10 * MAX_WAITING_PROOFS):
            self.contact.record(newest(110.0, version=number), Version(1))
        self.assertEqual(len(self.contact._waiting), MAX_WAITING_PROOFS)
        self.contact.record_in_force(Version(2))
        self.assertTrue(self.contact.accepts_keys(110.0))

    def test_a_proof_is_answered_with_its_age_by_the_clock_of_the_replica(self) -> None:
        """The proxy gets back the time of its question, which means nothing to the replica."""
        answer = Proof(Version(7), 40.0).answer(AskNewest(sent_at=9000.0), 41.5)
        self.assertEqual(answer, Newest(sent_at=9000.0, version=Version(7), age=1.5))
        self.assertEqual(Proof.from_answer(answer), Proof(Version(7), 8998.5))


class Span(NamedTuple):
    """A time in which something is disturbed."""

    start: float
    end: float


class Process:
    """A process with a clock of its own, which is frozen at times."""

    def __init__(self, *, rng: random.Random) -> None:
        self._offset = rng.uniform(0, CLOCK_OFFSET_S)
        self._freezes = spans(rng, 2, 8.0)

    def clock(self, now: float) -> float:
        """Return the time by the clock of this process, which goes on in a freeze."""
        return now + self._offset

    def runs_at(self, time: float) -> float:
        """Return when the process does what would be due at a time."""
        return max([time, *(span.end for span in self._freezes if span.start <= time < span.end)])


def spans(rng: random.Random, count: int, longest: float) -> list[Span]:
    """Return random times that are disturbed."""
    starts = [rng.uniform(0, DISTURBED_S) for _ in range(rng.randint(0, count))]
    return [Span(start, min(start + rng.expovariate(2 / longest), DISTURBED_S)) for start in starts]


class Simulation:
    """A leader, a replica that asks it, and a proxy that asks both; each version withdraws keys.

    Messages are delayed, and in a cut held up or lost. Whichever replica leads, what it answers
    while it holds its lease is true, and at times there is none.
    """

    def __init__(self, *, seed: int, revocation: Revocation) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.contact = Contact(revocation=revocation)
        self.accepted_at: dict[int, float] = {1: 0.0}
        self.in_force = Version(0)
        self.refused = 0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._serials = itertools.count()
        self._replica, self._proxy = Process(rng=self.rng), Process(rng=self.rng)
        self._leader = Process(rng=self.rng)
        self._elections = spans(self.rng, 3, 4.0)
        self._cuts = {
            link: spans(self.rng, 2, 16.0)
            for link in ("leader-replica", "leader-proxy", "replica-proxy", "updates")
        }
        self._kept: Proof | None = None

    def run(self, check: Callable[[], None]) -> None:
        """Run to the end, with a check whenever the proxy does something."""
        self._send_updates(Version(1))
        for _ in range(self.rng.randint(0, 30)):
            self._at(self.rng.uniform(0, DISTURBED_S), self._accept)
        self._relay()
        self._ask()
        self._probe(check)
        while self._due[0][0] < DISTURBED_S + CALM_S:
            self.now, _, action = heapq.heappop(self._due)
            action()
        check()

    @property
    def accepts_keys(self) -> bool:
        """Return whether the proxy accepts keys now."""
        return self.contact.accepts_keys(self._proxy.clock(self.now))

    @property
    def outdated_for(self) -> float:
        """Return how long the proxy has acted on a version that isn't the newest one."""
        later = [at for number, at in self.accepted_at.items() if number > self.in_force]
        return self.now - min(later, default=self.now)

    def _at(self, time: float, action: Callable[[], None]) -> None:
        """Do something at a time."""
        heapq.heappush(self._due, (time, next(self._serials), action))

    def _send(self, link: str, to: Process, action: Callable[[], None]) -> None:
        """Let a message arrive later, unless it is lost."""
        time = self.now + self.rng.expovariate(1 / DELAY_S)
        for cut in self._cuts[link]:
            if cut.start <= self.now < cut.end:
                if self.rng.random() < 0.5:
                    return
                time = max(time, cut.end)
        self._at(to.runs_at(time), action)

    def _accept(self) -> None:
        """Let the group accept another version."""
        version = Version(max(self.accepted_at) + 1)
        self.accepted_at[version] = self.now
        self._send_updates(version)

    def _send_updates(self, version: Version) -> None:
        """Send a version to the proxy, each second, since updates may be lost."""
        self._send("updates", self._proxy, partial(self._apply, version))
        self._at(self.now + 1.0, partial(self._send_updates, version))

    def _apply(self, version: Version) -> None:
        """Put a version in force at the proxy."""
        self.in_force = max(self.in_force, version)
        self.contact.record_in_force(self.in_force)

    def _lead(self, question: AskNewest) -> Newest | None:
        """Return the leader's answer, None while there is none that holds its lease."""
        if any(span.start <= self.now < span.end for span in self._elections):
            return None
        now = self._leader.clock(self.now)
        return Proof(Version(max(self.accepted_at)), now).answer(question, now)

    def _relay(self) -> None:
        """Let the replica ask the leader, again and again."""
        question = AskNewest(sent_at=self._replica.clock(self.now))

        def arrive() -> None:
            answer = self._lead(question)
            if answer is not None:
                proof = Proof.from_answer(answer)
                self._send("leader-replica", self._replica, partial(keep, proof))

        def keep(proof: Proof) -> None:
            if self._kept is None or proof.at > self._kept.at:
                self._kept = proof

        self._send("leader-replica", self._leader, arrive)
        self._at(self._replica.runs_at(self.now + RELAY_INTERVAL_S), self._relay)

    def _ask(self) -> None:
        """Let the proxy ask both, again and again."""
        question = AskNewest(sent_at=self._proxy.clock(self.now))

        def arrive_at_leader() -> None:
            reply("leader-proxy", self._lead(question))

        def arrive_at_replica() -> None:
            now = self._replica.clock(self.now)
            reply("replica-proxy", None if self._kept is None else self._kept.answer(question, now))

        def reply(link: str, answer: Newest | None) -> None:
            if answer is not None:
                self._send(link, self._proxy, partial(take, Proof.from_answer(answer)))

        def take(proof: Proof) -> None:
            self.contact.record(proof, self.in_force)

        self._send("leader-proxy", self._leader, arrive_at_leader)
        self._send("replica-proxy", self._replica, arrive_at_replica)
        self._at(self._proxy.runs_at(self.now + ASK_INTERVAL_S), self._ask)

    def _probe(self, check: Callable[[], None]) -> None:
        """Check at many times, while the proxy runs."""
        check()
        self.refused += not self.accepts_keys
        time = self._proxy.runs_at(self.now + self.rng.uniform(0, 0.05))
        self._at(time, partial(self._probe, check))


class SimulationTest(unittest.TestCase):
    """Many runs with random delays, cuts, freezes and elections."""

    # Guards against a key that is accepted for longer than the timeout after it was withdrawn, in
    # an order of answers, updates, cuts and freezes that no other test has.
    def test_no_key_is_accepted_for_longer_than_the_timeout_after_it_was_withdrawn(self) -> None:
        """Every version withdraws keys; once it is calm, keys are accepted."""
        refused = 0
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                simulation = Simulation(seed=seed, revocation=REVOCATION)
                simulation.run(partial(self.check, simulation))
                self.assertTrue(simulation.accepts_keys)
                refused += simulation.refused
        self.assertGreater(refused, SEEDS, "the disturbances are too small to show anything")

    def check(self, simulation: Simulation) -> None:
        """Check that the proxy accepts keys by the newest version, or by one that it was lately."""
        if simulation.accepts_keys:
            limit = simulation.contact.proof_lifetime + ROUNDING_S
            self.assertLess(simulation.outdated_for, limit)

    # Guards against refusals in deployments that don't ask for them.
    def test_without_the_setting_keys_are_accepted_at_each_moment(self) -> None:
        """The same disturbances change nothing."""
        for seed in range(SEEDS // 10):
            simulation = Simulation(seed=seed, revocation=Revocation())
            simulation.run(partial(self.check_accepted, simulation))

    def check_accepted(self, simulation: Simulation) -> None:
        """Check that the proxy accepts keys."""
        self.assertTrue(simulation.accepts_keys)


if __name__ == "__main__":
    unittest.main()

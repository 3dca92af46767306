"""Tests of requests with keys at proxies whose contact to the replicas is proved, lost or found."""

import asyncio
import dataclasses
import time
import unittest
from typing import NamedTuple, cast
from unittest import mock

from cowslipvane.access import KeyUse, key_digest
from cowslipvane.call import Answer, Offer, Refused
from cowslipvane.catalogue import (
    Key,
    Resource,
    Route,
    Service,
    Snapshot,
    Spec,
    Target,
    Team,
    combine_digests,
    resource_digest,
)
from cowslipvane.clock import lease_now
from cowslipvane.refusal import KeysUnconfirmed, explain
from cowslipvane.settings import Revocation
from cowslipvane.subscription import (
    AskFloor,
    AskNewest,
    Contact,
    Floor,
    Newest,
    Proof,
    Pull,
    PullSnapshot,
)
from cowslipvane.tasks._signal import Signal
from cowslipvane.tasks.callers import _router
from cowslipvane.tasks.distribution import _group_contact
from cowslipvane.tasks.distribution._group_contact import GroupContact
from cowslipvane.tasks.replication import Replication
from cowslipvane.tasks.upstreams import _route_check
from cowslipvane.types import NO_VERSION, Address, HostName, ServiceName, TeamName, Version
from cowslipvane.wire import connect
from tests.callers_case import LISTENER, CallersTestCase
from tests.test_owner import OwnerTestCase, offer
from tests.test_subscriber import SubscriptionTestCase, policy
from tools.relay import LinkCondition, Relay
from tools.single_replica import IP

KEY, OTHER_KEY = "key-of-a-team", "key-of-nobody"
DIGEST = key_digest(KEY)
TEAM = TeamName("audit")
TIMEOUT_S = 5.0
REVOCATION = Revocation(when_partitioned=True, timeout=TIMEOUT_S)
LIFETIME_S = Contact(revocation=REVOCATION).proof_lifetime
# Over real connections, for a test that waits until contact is lost.
SHORT = Revocation(when_partitioned=True, timeout=1.5)
CUT = LinkCondition(cuts_in=True, cuts_out=True)
PATHS: dict[str, KeyUse] = {"/keyed": "required", "/public": "optional", "/plain": "ignored"}
# The code of the stub behind the entry, for requests that were admitted.
ADMITTED = "no-upstream"


class Outcome(NamedTuple):
    """The refusal of a request."""

    status: int
    code: str
    retry_after: str | None


class EntryCase(CallersTestCase):
    """An entry proxy with routes that need a key, read one and ignore it; a base for tests."""

    async def asyncSetUp(self) -> None:
        """Start the entry with a clock that stands still."""
        await super().asyncSetUp()
        self.clock = mock.Mock(return_value=1000.0)
        patch = mock.patch.object(_router, "lease_now", self.clock)
        patch.start()
        self.addCleanup(patch.stop)

    def apply(self) -> None:
        """Put a first version in force."""
        targets = (Target(ServiceName("stock")),)
        specs: dict[Key, Spec] = {
            Key("service", "stock"): Service(),
            Key("team", TEAM): Team(key_digests=(DIGEST,)),
        }
        resources = [Resource(key, spec, Version(1)) for key, spec in specs.items()]
        for path, use in PATHS.items():
            route = Route(targets=targets, path_prefix=path, access_keys=use)
            resources.append(Resource(Key("route", path), route, Version(1)))
        digest = combine_digests(map(resource_digest, resources))
        self.subscription.raise_floor(Version(1))
        self.subscription.apply_snapshot(Snapshot(Version(1), tuple(resources), digest))
        self.assertIsNotNone(self.subscription.table)
        self.configuration_applied.send()

    def prove(self, version: int = 1) -> None:
        """Prove contact at this moment."""
        self.subscription.record_proof(Proof(Version(version), self.clock()))

    def wait(self, seconds: float) -> None:
        """Let time pass without any step of the process, as in a freeze."""
        self.clock.return_value += seconds

    async def fetch(self, path: str, key: str | None) -> Outcome:
        """Send a request and return its refusal."""
        headers = {} if key is None else {"Authorization": f"Bearer {key}"}
        async with self.session.get(f"http://{LISTENER}{path}", headers=headers) as response:
            code = (await response.json())["code"]
            return Outcome(response.status, code, response.headers.get("Retry-After"))

    async def check_keys_are_refused(self) -> None:
        """Check that requests that show a key are refused with 503, and no others."""
        refused: list[tuple[str, str]] = [("/keyed", KEY), ("/keyed", OTHER_KEY), ("/public", KEY)]
        for path, key in refused:
            outcome = await self.fetch(path, key)
            self.assertEqual(outcome[:2], (503, "keys-unconfirmed"), (path, key))
            self.assertIsNotNone(outcome.retry_after)
        admitted: list[tuple[str, str | None]] = [("/public", None), ("/plain", None)]
        for path, shown in [*admitted, ("/plain", KEY)]:
            self.assertEqual((await self.fetch(path, shown)).code, ADMITTED, (path, shown))

    async def check_keys_are_accepted(self) -> None:
        """Check that each request gets what the version in force says."""
        for path, key in (("/keyed", KEY), ("/public", KEY), ("/public", None), ("/plain", KEY)):
            self.assertEqual((await self.fetch(path, key)).code, ADMITTED, (path, key))
        self.assertEqual((await self.fetch("/keyed", OTHER_KEY))[:2], (401, "key-unknown"))
        self.assertEqual((await self.fetch("/keyed", None))[:2], (401, "key-missing"))


class EntryTest(EntryCase):
    """An entry proxy that may accept no keys without contact."""

    revocation = REVOCATION

    # Guards against withdrawn keys that a proxy without contact goes on to accept, and against a
    # proxy that serves nobody any more, or not again.
    async def test_keys_are_refused_from_lost_contact_on_until_it_is_found(self) -> None:
        """Requests without a key go on, and so do routes that ignore keys."""
        self.apply()
        self.prove()
        await self.check_keys_are_accepted()
        self.wait(LIFETIME_S)
        await self.check_keys_are_refused()
        self.prove()
        await self.check_keys_are_accepted()

    # Guards against a first request after a freeze that is admitted by what was true before.
    async def test_the_first_request_after_a_freeze_is_refused(self) -> None:
        """An answer that waited in the socket meanwhile changes nothing."""
        self.apply()
        self.prove()
        late = Newest(sent_at=self.clock(), version=Version(1), age=0.0)
        self.wait(60.0)
        self.subscription.record_proof(Proof.from_answer(late))
        await self.check_keys_are_refused()

    # Guards against a key that is accepted by a version that is known to be replaced.
    async def test_contact_without_the_newest_version_is_not_enough(self) -> None:
        """The proxy knows of a version that doesn't reach it."""
        self.apply()
        self.prove()
        self.wait(LIFETIME_S)
        self.prove(version=2)
        headers = {"X-Request-Timeout-Ms": "200", "Authorization": f"Bearer {KEY}"}
        async with self.session.get(f"http://{LISTENER}/keyed", headers=headers) as response:
            self.assertEqual(response.status, 503)

    async def test_without_a_first_version_everything_is_refused_as_before(self) -> None:
        """The refusal tells of the configuration, not of keys."""
        headers = {"X-Request-Timeout-Ms": "100", "Authorization": f"Bearer {KEY}"}
        async with self.session.get(f"http://{LISTENER}/keyed", headers=headers) as response:
            self.assertEqual((await response.json())["code"], "no-configuration")

    # Guards against keys that are accepted by a first version that came long after the question for
    # the version under which the proxy may not go.
    async def test_a_first_version_without_a_proof_admits_no_key(self) -> None:
        """Nothing tells whether it is still the newest one."""
        self.apply()
        await self.check_keys_are_refused()

    async def test_the_refusal_promises_that_the_request_was_not_run(self) -> None:
        """Its sentence names the host, at which keys may be refused though others accept them."""
        explanation = explain(KeysUnconfirmed(host=HostName("stock-1")))
        sentence = "The proxy on host stock-1 could not confirm in time which keys are valid."
        self.assertEqual(explanation.sentence, f"{sentence} The request was not run.")


class IndifferentEntryTest(EntryCase):
    """An entry proxy that goes on with the keys that it has."""

    # Guards against an outage of callers in deployments that accept old keys without contact.
    async def test_keys_are_accepted_without_contact(self) -> None:
        """There may never have been a proof, and the process may have been frozen."""
        self.apply()
        await self.check_keys_are_accepted()
        self.wait(1e6)
        await self.check_keys_are_accepted()


def keyed(serial: int, path: str = "/ok") -> Offer:
    """Return an offer of a request that was admitted by a key."""
    return dataclasses.replace(offer(serial, path), team=TEAM, key=DIGEST)


class OwnerCase(OwnerTestCase):
    """An owner whose clock stands still; a base for tests."""

    async def asyncSetUp(self) -> None:
        """Start the owner, and prove contact."""
        await super().asyncSetUp()
        self.clock = mock.Mock(return_value=1000.0)
        patch = mock.patch.object(_route_check, "lease_now", self.clock)
        patch.start()
        self.addCleanup(patch.stop)
        self.prove()

    def prove(self) -> None:
        """Prove contact at this moment."""
        self.subscription.record_proof(Proof(NO_VERSION, self.clock()))

    async def queue_and_pause(self) -> None:
        """Queue requests with a key and without behind another one, and lose contact."""
        await self.begin(offer(1, "/wait"))
        await self.owner.offer(keyed(2, "/ok-keyed"), self.inbox.reply)
        await self.owner.offer(offer(3, "/ok-plain"), self.inbox.reply)
        self.clock.return_value += 60.0
        self.worker.release.set()


class OwnerTest(OwnerCase):
    """An owner that may start no request by a key without contact."""

    revocation = REVOCATION

    # Guards against a request that was admitted at its entry, waits at an owner that is paused, and
    # is run long after its key was withdrawn.
    async def test_queued_request_with_a_key_is_not_started_without_contact(self) -> None:
        """The request without a key that waits behind it is."""
        await self.queue_and_pause()
        replies = [await self.inbox.next() for _ in range(3)]
        refusals = [reply.refusal for reply in replies if isinstance(reply, Refused)]
        self.assertEqual(refusals, [KeysUnconfirmed(host=HostName("a"))])
        self.assertEqual(self.worker.received, ["/wait", "/ok-plain"])

    # Guards against a request that was on its way for long.
    async def test_offered_request_with_a_key_is_refused_until_contact_is_found(self) -> None:
        """It isn't queued, so that its entry proxy can try another owner at once."""
        self.clock.return_value += LIFETIME_S
        await self.owner.offer(keyed(1), self.inbox.reply)
        self.assertIsInstance(await self.inbox.next(), Refused)
        self.assertEqual(self.owner.in_flight, ())
        self.prove()
        await self.owner.offer(keyed(2), self.inbox.reply)
        self.assertIsInstance(await self.inbox.next(), Answer)


class IndifferentOwnerTest(OwnerCase):
    """An owner that goes on with the keys that it has."""

    async def test_queued_request_with_a_key_is_started_without_contact(self) -> None:
        """All that were queued run."""
        await self.queue_and_pause()
        replies = [await self.inbox.next() for _ in range(3)]
        self.assertEqual({type(reply) for reply in replies}, {Answer})


class StubReplication:
    """Stands in for the replication of a replica that follows a leader."""

    def __init__(self, *, leader: Address | None) -> None:
        self.leader_address = leader
        self.holds_lease = False
        self.changed = Signal()


class GroupContactTest(SubscriptionTestCase):
    """What replicas answer to the question for the newest version."""

    async def test_a_leader_answers_with_the_newest_version_at_this_moment(self) -> None:
        """It gives back the time of the question as it was."""
        leader = await self.replica()
        leader.put(policy(1.0))
        answer = await self.request_response(leader, AskNewest(sent_at=7.5))
        self.assertEqual(answer, Newest(sent_at=7.5, version=Version(1), age=0.0))

    # Guards against contact to a replica that nobody leads.
    async def test_a_replica_that_never_had_a_leader_gives_no_answer(self) -> None:
        """The connection stays usable."""
        follower = await self.replica(leads=False)
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.3):
                await self.request_response(follower, AskNewest(sent_at=7.5))

    # Guards against a replica that is cut off from its leader and counts as contact.
    async def test_the_answer_of_a_follower_ages_while_it_can_not_reach_the_leader(self) -> None:
        """As long as it can, the answer is as old as its own last question to the leader."""
        leader = await self.replica()
        leader.put(policy(1.0))
        contact = self.follower(leader.address)
        await self.until(lambda: self.age(contact) is not None)
        await self.until(lambda: self.proof(contact).version == 1)
        since = lease_now()
        await self.until(lambda: self.proof(contact).at > since)
        leader.close()
        await asyncio.sleep(0.5)
        cut_at = lease_now()
        await asyncio.sleep(0.5)
        self.assertLess(self.proof(contact).at, cut_at)
        age = self.age(contact)
        assert age is not None
        self.assertGreaterEqual(age, 0.5)

    # Guards against traffic between replicas for proxies that never ask.
    async def test_a_follower_asks_the_leader_only_while_it_is_asked(self) -> None:
        """Nothing is known until then."""
        leader = await self.replica()
        with mock.patch.object(_group_contact, "connect", wraps=connect) as connecting:
            contact = self.follower(leader.address)
            await asyncio.sleep(0.3)
            connecting.assert_not_called()
            self.assertIsNone(self.age(contact))
            await self.until(lambda: connecting.call_count)

    def follower(self, leader: Address) -> GroupContact:
        """Start the contact of a replica that follows a leader."""
        replication = cast(Replication, StubReplication(leader=leader))
        contact = GroupContact(replication=replication)
        task = asyncio.create_task(contact.run())
        self.stack.callback(task.cancel)
        return contact

    @staticmethod
    def age(contact: GroupContact) -> float | None:
        """Return the age of the answer to a question that arrives now."""
        answer = contact.answer(AskNewest(sent_at=0.0))
        return None if answer is None else answer.age

    @staticmethod
    def proof(contact: GroupContact) -> Proof:
        """Return the answer to a question that arrives now, by the clock of this process."""
        answer = contact.answer(AskNewest(sent_at=lease_now()))
        assert answer is not None
        return Proof.from_answer(answer)


class StartTest(SubscriptionTestCase):
    """A proxy that has just started."""

    # Guards against refusals at each start, until the first question has been answered.
    async def test_the_first_version_comes_with_a_proof(self) -> None:
        """It is the answer to the question under which version the proxy may not go."""
        replica = await self.replica()
        replica.put(policy(1.0))
        snapshot = replica.replica.catalogue.update_since(NO_VERSION)
        assert isinstance(snapshot, Snapshot)

        def respond(message: object) -> object:
            match message:
                case AskFloor():
                    return Floor(version=Version(1))
                case Pull(base=base) if base == NO_VERSION:
                    return PullSnapshot(snapshot=snapshot)
                case _:
                    return None

        subscription = self.proxy(await self.fake_replica(respond), revocation=REVOCATION)
        await self.until(lambda: subscription.version == 1)
        self.assertTrue(subscription.accepts_keys(lease_now()))


class ProxyContactTest(SubscriptionTestCase):
    """A proxy that asks its replicas over real connections."""

    async def asyncSetUp(self) -> None:
        """Start a replica behind a relay, and a proxy that is connected to it."""
        await super().asyncSetUp()
        self.leader = await self.replica(pull_wait=0.2)
        self.leader.put(policy(1.0))
        self.relay = Relay()
        self.stack.push_async_callback(self.relay.close)
        address = await self.relay.listen(Address(IP, 0), self.leader.address)
        self.subscription = self.proxy(address, silence=0.3, revocation=SHORT)
        await self.until(self.accepts_keys)

    def accepts_keys(self) -> bool:
        """Return whether the proxy accepts keys now."""
        return self.subscription.accepts_keys(lease_now())

    def states(self) -> list[str]:
        """Return the states of contact that were recorded."""
        events = [event for event in self.events.select() if event["kind"] == "contact"]
        return [event["detail"]["state"] for event in events]

    async def test_contact_lasts_while_the_replica_answers(self) -> None:
        """Also while versions come in quick succession, and without an event."""
        end = time.monotonic() + 2 * SHORT.timeout
        while time.monotonic() < end:
            self.assertTrue(self.accepts_keys())
            self.leader.put(policy(1.0 + time.monotonic() % 1))
            await asyncio.sleep(0.05)
        self.assertEqual(self.states(), ["proved"])

    # Guards against keys that a proxy accepts behind a cut, and against one that is refused after.
    async def test_contact_is_lost_in_a_cut_and_found_after_it(self) -> None:
        """An event tells of each change."""
        with self.relay.condition((IP,), CUT):
            await asyncio.sleep(SHORT.timeout)
            self.assertFalse(self.accepts_keys())
            await self.until(lambda: self.states() == ["proved", "lost"])
        await self.until(self.accepts_keys)
        await self.until(lambda: self.states() == ["proved", "lost", "proved"])

    # Guards against a replica that answers although it has lost its leader.
    async def test_contact_is_lost_with_the_leader_though_its_replica_goes_on(self) -> None:
        """The replica has stepped down, and knows no other leader."""
        self.leader.replica.resign(time.monotonic())
        await asyncio.sleep(SHORT.timeout)
        self.assertFalse(self.accepts_keys())
        self.leader.lead()
        await self.until(self.accepts_keys)


class IndifferentProxyTest(SubscriptionTestCase):
    """A proxy that goes on with the keys that it has."""

    # Guards against messages and events in deployments that don't ask for the rule.
    async def test_a_proxy_that_needs_no_contact_asks_for_none(self) -> None:
        """It sends what it sent before, and accepts keys from the start."""
        with mock.patch.object(GroupContact, "answer") as answering:
            replica = await self.replica(pull_wait=0.1)
            replica.put(policy(1.0))
            subscription = self.proxy(replica.address)
            self.assertTrue(subscription.accepts_keys(lease_now()))
            await self.until(lambda: subscription.version == 1)
            await asyncio.sleep(0.5)
        answering.assert_not_called()
        self.assertNotIn("contact", [event["kind"] for event in self.events.select()])


if __name__ == "__main__":
    unittest.main()

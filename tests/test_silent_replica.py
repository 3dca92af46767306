"""Tests of a proxy whose replica falls silent, with connections that stay open."""

import asyncio
import dataclasses
import time
import unittest
from functools import partial

from cowslipvane.membership import Member
from cowslipvane.subscription import WATCH_ONLY, Current, PullDelta
from cowslipvane.types import Address, DataCentre, HostName, Seconds, Version
from cowslipvane.wire import connect
from tests.test_busy_link import PROPAGATION_TIME
from tests.test_subscriber import TIMEOUT_S, SubscriptionTestCase, policy, pull
from tools.relay import LinkCondition, Relay
from tools.single_replica import IP, SingleReplica

# A proxy takes a silent connection for lost after more than the propagation time.
SILENCE: Seconds = 3 * PROPAGATION_TIME
CUT = LinkCondition(cuts_in=True, cuts_out=True)


class SilentReplicaTest(SubscriptionTestCase):
    """Two replicas with the same versions, each behind a relay of its own."""

    async def asyncSetUp(self) -> None:
        """Start the replicas, the relays and a proxy that has the first version."""
        await super().asyncSetUp()
        self.replicas = [await self.replica(pull_wait=0.2) for _ in range(2)]
        self.relays = [Relay() for _ in self.replicas]
        addresses: list[Address] = []
        for relay, replica in zip(self.relays, self.replicas, strict=True):
            self.stack.push_async_callback(relay.close)
            addresses.append(await relay.listen(Address(IP, 0), replica.address))
        self.put(1.0)
        self.subscription = self.proxy(*addresses, silence=SILENCE)
        await self.until(lambda: self.subscription.version == 1)

    def put(self, timeout: float) -> None:
        """Accept the same change on both replicas."""
        for replica in self.replicas:
            replica.put(policy(timeout))

    async def until_connected(self) -> None:
        """Wait until the proxy has pulled from both replicas."""
        await self.until(lambda: all(map(self.has_pulled, self.replicas)))

    @staticmethod
    def has_pulled(replica: SingleReplica) -> bool:
        """Return whether the proxy has reported to a replica that it has the first version."""
        return any(report.version == 1 for report in replica.replica.reports.values())

    async def check_version_in_time(self, silent: Relay) -> None:
        """Check that a new version comes into force in time while one replica is silent."""
        await self.until_connected()
        with silent.condition((IP,), CUT):
            accepted_at = time.monotonic()
            self.put(2.0)
            await self.until(lambda: self.subscription.version == 2)
            self.assertLess(time.monotonic() - accepted_at, PROPAGATION_TIME)

    # Guards against proxies that act on an old version for seconds after their replica was frozen
    # (issue 23, CONFIG): one of the two is the one whose versions the proxy applies.
    async def test_version_is_in_force_in_time_without_the_first_replica(self) -> None:
        """The proxy is connected to the second one already."""
        await self.check_version_in_time(self.relays[0])

    async def test_version_is_in_force_in_time_without_the_second_replica(self) -> None:
        """The proxy is connected to the first one already."""
        await self.check_version_in_time(self.relays[1])

    async def test_versions_go_on_after_each_replica_has_been_silent(self) -> None:
        """A replica that comes back is used again, and no version is applied twice."""
        await self.until_connected()
        for number, relay in enumerate([*self.relays, *self.relays], start=2):
            with relay.condition((IP,), CUT):
                self.put(float(number))
                await self.until(partial(self.is_in_force, self.subscription, Version(number)))
        applied = [event for event in self.events.select() if event["kind"] == "applied"]
        self.assertEqual([event["version"] for event in applied], list(range(1, 6)))
        rejected = [event for event in self.events.select() if event["kind"] == "rejected"]
        self.assertEqual(rejected, [])


class WatchTest(SubscriptionTestCase):
    """A pull for the numbers of versions alone."""

    async def test_number_of_a_version_is_sent_at_once_and_its_update_on_request(self) -> None:
        """The replica doesn't send the update to a proxy that gets it from another one."""
        replica = await self.replica()
        replica.put(policy(1.0))
        link = await self.stack.enter_async_context(connect(replica.address, "/subscribe"))
        watching = pull(1)
        await link.send(dataclasses.replace(watching, base=WATCH_ONLY))
        replica.put(policy(2.0))
        await link.send(dataclasses.replace(watching, base=WATCH_ONLY))
        self.assertEqual(await link.receive(timeout=TIMEOUT_S), Current(version=Version(2)))
        with self.assertRaises(TimeoutError):
            # Else both sides would send as fast as they can.
            await asyncio.wait_for(link.receive(), 0.3)
        await link.send(pull(1))
        replica.put(policy(3.0))
        while isinstance(response := await link.receive(timeout=TIMEOUT_S), Current):
            pass
        assert isinstance(response, PullDelta)
        self.assertEqual(response.delta.base, 1)


class ReplacedSeedsTest(SubscriptionTestCase):
    """All seeds of the settings are gone; a proxy knows their successors as members."""

    # Guards against proxies that stay at the old version while the replica of their data centre is
    # frozen, since they know no other one (review/9, CONFIG).
    async def test_version_is_in_force_in_time_without_the_local_replica(self) -> None:
        """The proxy is connected to a replica of another data centre."""
        local, remote = [await self.replica(pull_wait=0.2) for _ in range(2)]
        relay = Relay()
        self.stack.push_async_callback(relay.close)
        local_address = await relay.listen(Address(IP, 0), local.address)
        members = tuple(
            replica_record(host, data_centre, address)
            for host, data_centre, address in (
                ("local", "here", local_address),
                ("remote", "there", remote.address),
            )
        )
        for replica in (local, remote):
            replica.put(policy(1.0))
        gone = [Address(IP, port) for port in (1, 2, 3)]
        subscription = self.proxy(*gone, silence=SILENCE, members=members)
        await self.until(lambda: subscription.version == 1)
        await self.until(lambda: bool(remote.replica.reports))
        with relay.condition((IP,), CUT):
            accepted_at = time.monotonic()
            for replica in (local, remote):
                replica.put(policy(2.0))
            await self.until(lambda: subscription.version == 2)
            self.assertLess(time.monotonic() - accepted_at, PROPAGATION_TIME)


def replica_record(host: str, data_centre: str, address: Address) -> Member:
    """Return the record of a process that is a replica alone."""
    centre = DataCentre(data_centre)
    return Member(HostName(host), centre, 1, 1, address, address, None, "up", None)


if __name__ == "__main__":
    unittest.main()

"""Tests of a proxy whose link to the replicas is slow."""

import unittest

from cowslipvane.catalogue import Key, Service
from cowslipvane.types import Address
from tests.test_subscriber import SubscriptionTestCase
from tools.relay import LinkCondition, Relay
from tools.single_replica import IP

SLOW = LinkCondition(bytes_per_s=200_000)
# A snapshot of these takes several times as long as a replica may be silent.
SERVICES = 10_000


class SlowLinkTest(SubscriptionTestCase):
    """A snapshot that takes longer than the time limit for a response."""

    async def relay(self, target: Address) -> Address:
        """Start a relay, and return its address."""
        relay = Relay()
        self.stack.push_async_callback(relay.close)
        self.stack.enter_context(relay.condition((IP,), SLOW))
        return await relay.listen(Address(IP, 0), target)

    # Guards against a proxy that never gets a configuration, since its snapshot takes too long.
    async def test_a_large_snapshot_is_received_over_a_slow_link(self) -> None:
        """The replica isn't silent while parts of it arrive."""
        replica = await self.replica()
        replica.put(*((Key("service", f"service-{n}"), Service()) for n in range(SERVICES)))
        subscription = self.proxy(await self.relay(replica.address), silence=0.4)
        await self.until(lambda: subscription.version == 1)


if __name__ == "__main__":
    unittest.main()

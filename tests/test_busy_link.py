"""Tests of the distribution of versions over a link that is busy with calls."""

import asyncio
import random
import time
import unittest
from contextlib import closing, suppress

from cowslipvane.catalogue import Key, Route, Service, Spec, Target
from cowslipvane.types import Address, Seconds, ServiceName
from tests.test_subscriber import SubscriptionTestCase
from tools.relay import LinkCondition, Relay
from tools.single_replica import IP

# A host's own link of 2 Mbit/s, in each direction, and the peers that send it calls all the while.
LINK = LinkCondition(bytes_per_s=250_000)
PEERS = 6
CALL_BYTES = 2_000
# An acknowledged version is in force within this time.
PROPAGATION_TIME: Seconds = 2.0
ROUTES = 1240
HOSTS = 60
SERVICES = ("bodega", "carga", "factura", "envases")


def many_routes(rng: random.Random) -> list[tuple[Key, Spec]]:
    """Return routes whose hosts and paths have random names."""
    hosts = [f"{rng.randbytes(3).hex()}.example" for _ in range(HOSTS)]
    return [_route(rng.choice(hosts), f"/{rng.randbytes(4).hex()}/", rng) for _ in range(ROUTES)]


def _route(host: str, prefix: str, rng: random.Random) -> tuple[Key, Spec]:
    """Return a route to one of the services."""
    route = Route(
        targets=(Target(ServiceName(rng.choice(SERVICES))),),
        host=host,
        path_prefix=prefix,
        repeatable=rng.random() < 0.5,
        attempts=2,
        timeout=rng.choice((0.83, 1.272, 0.88)),
        goal=rng.choice((0.311, 0.53, 0.33)),
        priority=rng.randrange(3),
    )
    return Key("route", f"{host} {prefix}"), route


class BusyLinkTest(SubscriptionTestCase):
    """A proxy whose link carries calls beside the configuration."""

    async def asyncSetUp(self) -> None:
        """Start the relay that all connections of the proxy pass."""
        await super().asyncSetUp()
        self.relay = Relay()
        self.stack.push_async_callback(self.relay.close)
        self.stack.enter_context(self.relay.condition((IP,), LINK))

    async def fill_link(self) -> None:
        """Let peers send calls to the proxy's host, as fast as its link carries them."""

        async def send(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with suppress(ConnectionError):
                while True:
                    writer.write(bytes(CALL_BYTES))
                    await writer.drain()

        server = await asyncio.start_server(send, IP, 0)
        self.stack.callback(server.close)
        address = Address(IP, server.sockets[0].getsockname()[1])
        for _ in range(PEERS):
            relayed = await self.relay.listen(Address(IP, 0), address)
            task = asyncio.create_task(self._receive(relayed))
            self.stack.callback(task.cancel)

    async def _receive(self, address: Address) -> None:
        """Receive what a peer sends until the test ends."""
        reader, writer = await asyncio.open_connection(*address)
        with closing(writer):
            while await reader.read(CALL_BYTES):
                pass

    # Guards against proxies that act on an old version for seconds, since a version with many
    # routes waits behind the bytes of calls (issue 23, CONFIG).
    async def test_a_large_configuration_is_in_force_in_time(self) -> None:
        """A version with 1,240 more routes comes into force within the propagation time."""
        replica = await self.replica(pull_wait=0.4)
        subscription = self.proxy(await self.relay.listen(Address(IP, 0), replica.address))
        replica.put(*((Key("service", name), Service()) for name in SERVICES))
        await self.until(lambda: subscription.version == 1)
        await self.fill_link()
        accepted_at = time.monotonic()
        replica.put(*many_routes(random.Random(23)))
        await self.until(lambda: subscription.version == 2)
        self.assertLess(time.monotonic() - accepted_at, PROPAGATION_TIME)


if __name__ == "__main__":
    unittest.main()

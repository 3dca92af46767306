"""Tests of what refused changes leave behind at a replica."""

import unittest

from cowslipvane.catalogue import Accepted, Change, Conflict, Invalid, Key, Route, Service, Target
from cowslipvane.sizes import memory_size
from cowslipvane.types import NO_VERSION, OperationId, ServiceName, Version
from tools.single_replica import SingleReplica

SERVICE = Key("service", "s")
ROUTES = 1000


def faulty_change(name: str) -> Change:
    """Return a change with a fault in each of many routes."""
    route = Route(targets=(Target(ServiceName("s")),), timeout=-1.0)
    routes = tuple((Key("route", f"r{number}"), route) for number in range(ROUTES))
    return Change(OperationId(name), NO_VERSION, routes)


class RefusedChangesTest(unittest.IsolatedAsyncioTestCase):
    """An operator's tool that goes on sending changes that are refused."""

    async def asyncSetUp(self) -> None:
        """Lead a group of one replica, with one resource."""
        self.single = SingleReplica()
        self.single.put((SERVICE, Service()))
        self.catalogue = self.single.replica.catalogue

    # Guards against replicas that end at their memory limit because of changes that they refuse,
    # whose faults were kept for a day, in the log and in each snapshot.
    async def test_refused_changes_leave_nothing_behind(self) -> None:
        """Each sender gets the reason all the same, also when it sends the same again."""
        last_index = self.single.replica.last_index
        size = memory_size(self.catalogue.outcomes)
        for number in range(20):
            for _ in range(2):
                outcome = await self.single.replication.write(faulty_change(f"invalid-{number}"))
                assert isinstance(outcome, Invalid)
                self.assertEqual(len(outcome.faults), ROUTES)
            late = Change(OperationId(f"late-{number}"), NO_VERSION, ((SERVICE, Service()),))
            self.assertIsInstance(await self.single.replication.write(late), Conflict)
        self.assertEqual(self.single.replica.last_index, last_index)
        self.assertEqual(memory_size(self.catalogue.outcomes), size)

    async def test_a_refused_change_can_be_sent_again_once_it_is_valid(self) -> None:
        """Its operation was not run, so its id isn't used up."""
        route = (Key("route", "r"), Route(targets=(Target(ServiceName("t")),)))
        change = Change(OperationId("early"), Version(1), (route,))
        self.assertIsInstance(await self.single.replication.write(change), Invalid)
        self.single.put((Key("service", "t"), Service()))
        index = self.single.replica.last_index
        self.assertIsInstance(await self.single.replication.write(change), Accepted)
        self.assertEqual(self.single.replica.last_index, index + 1)


if __name__ == "__main__":
    unittest.main()

"""Tests of odd entries among those of the workers and hosts, from other writers or by mistake."""

import asyncio
import copy
import json
import unittest
from typing import Any

from cowslipvane.events import EventLog, HybridClock, Origin
from cowslipvane.membership import MAX_ORDER, Member, Membership
from cowslipvane.platform._workers import decode_announcement
from cowslipvane.tasks.peers._gossip import Gossip
from cowslipvane.tasks.upstreams._worker_connection import WorkerConnection, WorkerUnreachable
from cowslipvane.types import Address, HostName, ServiceName
from cowslipvane.wire import LinkClosed, connect, decode_as, encode_untagged
from tests.test_membership import LOCAL, record
from tests.test_platform import HEARTBEAT

ODD_ADDRESSES = (
    Address("127.0.0.1", 70_000),
    Address("127.0.0.1", -1),
    Address("127.0.0.1", 2**60),
    Address("a\0b", 80),
    Address("\ud800", 80),
    Address("x" * 300, 80),
    Address("[", 80),
    Address("1.2.3.4\r\nX: y", 80),
)
TOO_LARGE = 2**63 - 1


def heartbeat(table: str, name: str, value: Any) -> bytes:
    """Return a heartbeat with one field changed; without a table, one at the top level."""
    form = copy.deepcopy(HEARTBEAT)
    (form[table] if table else form)[name] = value
    return json.dumps(form).encode()


def odd_records() -> list[Member]:
    """Return records of a host that no process can use."""
    sound = record("b")
    assert sound.worker is not None
    records = [sound._replace(peers=address) for address in ODD_ADDRESSES]
    records += [sound._replace(callers=address) for address in ODD_ADDRESSES]
    workers = [sound.worker._replace(address=address) for address in ODD_ADDRESSES]
    workers.append(sound.worker._replace(slots=-1))
    records += [sound._replace(worker=worker) for worker in workers]
    records += [sound._replace(counter=TOO_LARGE), sound._replace(incarnation=TOO_LARGE)]
    return records


class HeartbeatTest(unittest.TestCase):
    """A heartbeat that names no worker that can be reached."""

    # Guards against processes that end or stop following the workers after one odd entry.
    def test_odd_heartbeats_are_refused(self) -> None:
        """Deep nesting, numbers too large, and addresses and names that are none."""
        bodies = [
            b'{"a":' * 100_000,
            b"[" * 100_000 + b"]" * 100_000,
            heartbeat("status", "sequence", 10**400),
            heartbeat("status", "sequence", 2**64),
            heartbeat("status", "sequence", 4.5),
            heartbeat("", "born", float("inf")),
            heartbeat("", "born", 2**70),
            heartbeat("info", "max_concurrency", 10**9),
            heartbeat("info", "service", "\ud800"),
            heartbeat("info", "service", "s" * 100_000),
            json.dumps(HEARTBEAT).replace('"sequence": 4', '"sequence": ' + "9" * 5000).encode(),
        ]
        for address in (
            "10.128.0.9:0",
            "10.128.0.9:-1",
            "10.128.0.9:70000",
            "10.128.0.9:99999",
            "10.128.0.9: 8080",
            "10.128.0.9:８０８０",
            "10.128.0.9:8_080",
            "0.0.0.0:8080",
            "255.255.255.255:8080",
            "224.0.0.1:8080",
            "[::]:8080",
            "worker:8080",
        ):
            bodies.append(heartbeat("", "address", address))
        for body in bodies:
            with self.assertRaises(ValueError, msg=body[:200]):
                decode_announcement("i", body)

    def test_odd_names_of_instances_are_refused(self) -> None:
        """The name of an instance comes from the path."""
        body = json.dumps(HEARTBEAT).encode()
        for instance in ("i" * 100_000, "\ud800", ""):
            with self.assertRaises(ValueError, msg=instance[:20]):
                decode_announcement(instance, body)

    def test_odd_fields_that_are_not_used_are_ignored(self) -> None:
        """A newer platform may send more."""
        nested: list[Any] = []
        for _ in range(500):
            nested = [nested]
        announcement = decode_announcement("i", heartbeat("info", "labels", nested))
        self.assertEqual(announcement.worker.service, ServiceName("huvo"))


class RecordTest(unittest.IsolatedAsyncioTestCase):
    """A record of a host, as processes exchange them."""

    def setUp(self) -> None:
        """Create a membership that knows only its own process."""
        self.membership = Membership(own=record("a"), now=0.0)

    # Guards against processes that end, all of them one after the other, after one odd record.
    async def test_odd_records_leave_the_process_running(self) -> None:
        """They are not stored, and those beside them are."""
        events = EventLog(origin=Origin(HostName("a"), LOCAL, 1), clock=HybridClock())
        gossip = Gossip(membership=self.membership, seeds=(), interval=0.01, events=events)
        running = asyncio.create_task(gossip.run())
        for number, odd in enumerate(odd_records()):
            beside = record(f"c{number}")
            merged = self.membership.merge([odd, beside], 0.0)
            self.assertEqual([member.host for member in merged], [beside.host], odd)
            gossip.notify_neighbours()
            await asyncio.sleep(0.03)
            self.assertFalse(running.done(), odd)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    def test_own_record_stays_readable_after_one_with_a_number_too_large(self) -> None:
        """Others couldn't read a number of more than 64 bits, and would close each connection."""
        for odd in (record("a", counter=TOO_LARGE), record("a", incarnation=TOO_LARGE)):
            self.membership.merge([odd], 0.0)
            own = self.membership.own
            self.assertEqual(decode_as(Member, encode_untagged(own)), own)

    # Guards against a host whose own record nobody takes any more, since no greater order was left
    # after one odd record of it.
    def test_the_own_record_overrides_one_of_the_greatest_order(self) -> None:
        """One of both numbers can still be raised."""
        greatest = MAX_ORDER - 1
        for odd in (
            record("a", counter=greatest),
            record("a", incarnation=greatest),
            record("a", counter=greatest, incarnation=greatest - 1),
            record("a", counter=greatest - 1, incarnation=greatest),
        ):
            with self.subTest(order=odd.order):
                membership = Membership(own=record("a"), now=0.0)
                other = Membership(own=record("b"), now=0.0)
                self.assertEqual(
                    other.merge([odd._replace(state="gone")], 0.0), [odd._replace(state="gone")]
                )
                membership.merge([odd], 0.0)
                self.assertEqual(other.merge([membership.own], 0.0), [membership.own])

    async def test_an_odd_address_can_not_be_reached(self) -> None:
        """Connecting to it fails like connecting to a host that is down."""
        for address in ODD_ADDRESSES:
            with self.assertRaises(LinkClosed, msg=repr(address)):
                async with connect(address, "/members"):
                    pass
            with self.assertRaises(WorkerUnreachable, msg=repr(address)):
                await WorkerConnection.open(address)


if __name__ == "__main__":
    unittest.main()

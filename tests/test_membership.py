"""Tests of the membership: rules on records, and simulations of many members."""

import unittest

from cowslipvane.membership import SUSPICION_TIMEOUT, Feed, Member, Membership, Worker
from cowslipvane.membership._feed import REMOTE_COMPARE_INTERVAL
from cowslipvane.membership._membership import (
    DEAD_RECORD_RETENTION,
    EXPORT_DELAY,
    LOCAL_STALL_THRESHOLD,
    SUSPICION_INTERVAL,
)
from cowslipvane.membership._topology import (
    EXPORTED_OWNERS_PER_SERVICE,
    GATEWAYS_PER_DATA_CENTRE,
    exported_hosts,
)
from cowslipvane.types import Address, DataCentre, HostName, ServiceName
from tools.bench_members import MembershipSimulation, cost

LOCAL, REMOTE = DataCentre("local"), DataCentre("remote")
STOCK = ServiceName("stock")


def record(
    host: str, counter: int = 1, incarnation: int = 1, data_centre: DataCentre = LOCAL
) -> Member:
    """Return the record of a host that serves stock."""
    address = Address("10.0.0.1", 1 + sum(host.encode()))
    worker = Worker(STOCK, address, 6, 110)
    name = HostName(host)
    return Member(name, data_centre, incarnation, counter, address, address, address, "up", worker)


def create_membership(*records: Member) -> Membership:
    """Return the membership of host a after it merged some records."""
    membership = Membership(own=record("a"), now=0.0)
    membership.merge(records, 0.0)
    return membership


class RecordTest(unittest.TestCase):
    """The order of the records of a host."""

    def hosts(self, membership: Membership) -> list[str]:
        """Return the sorted hosts of the owners of stock."""
        return sorted(owner.host for owner in membership.owners(STOCK, 0.0))

    def test_the_proxy_estimate_follows_the_members(self) -> None:
        """It counts the local proxies, including this process, times the data centres."""
        membership = create_membership()
        self.assertEqual(membership.estimated_proxy_count, 1)
        membership.merge([record("x"), record("y", data_centre=DataCentre("remote"))], 0.0)
        self.assertEqual(membership.estimated_proxy_count, 4)
        membership.merge([record("x", counter=2)._replace(state="gone")], 0.0)
        self.assertEqual(membership.estimated_proxy_count, 2)

    def test_leaving_state_overrides_an_older_record_that_arrives_later(self) -> None:
        """The newest record of a host wins, in any order of arrival."""
        membership = create_membership(record("b", 3)._replace(state="leaving"))
        self.assertEqual(membership.merge([record("b", 2)], 1.0), [])
        self.assertEqual(self.hosts(membership), ["a"])

    def test_a_record_of_an_earlier_incarnation_is_ignored(self) -> None:
        """Its counter does not matter, however high."""
        membership = create_membership(record("b", 1, incarnation=2)._replace(worker=None))
        self.assertEqual(membership.merge([record("b", 99, incarnation=1)], 1.0), [])
        self.assertEqual(self.hosts(membership), ["a"])

    def test_suspected_owners_are_returned_only_without_others(self) -> None:
        """A suspected member may still serve, so it is better than no owner."""
        membership = Membership(own=record("a")._replace(worker=None), now=0.0)
        membership.merge([record("b"), record("c")], 0.0)
        membership.suspect(HostName("b"), 0.0)
        self.assertEqual(self.hosts(membership), ["c"])
        membership.suspect(HostName("c"), 0.0)
        self.assertEqual(self.hosts(membership), ["b", "c"])

    def test_a_silent_suspect_dies_and_is_removed(self) -> None:
        """Its record is kept for a while, so that an equal or older record can't revive it."""
        membership = create_membership(record("b", 5))
        membership.suspect(HostName("b"), 0.0)
        membership.expire(SUSPICION_TIMEOUT)
        self.assertEqual([member.host for member in membership.members], ["a"])
        self.assertEqual(membership.merge([record("b", 5)], SUSPICION_TIMEOUT), [])
        membership.expire(SUSPICION_TIMEOUT + DEAD_RECORD_RETENTION)
        self.assertIsNone(membership.member(HostName("b")))

    def test_a_suspected_member_refutes_the_suspicion(self) -> None:
        """A higher counter of the member ends the suspicion, even once it counts as dead."""
        one, other = create_membership(record("b")), Membership(own=record("b"), now=0.0)
        one.suspect(HostName("b"), 0.0)
        other.merge(one.members, 0.0)
        self.assertGreater(other.own.counter, 1)
        one.expire(SUSPICION_TIMEOUT)
        one.merge([other.own], SUSPICION_TIMEOUT)
        self.assertEqual(self.hosts(one), ["a", "b"])

    def test_a_restart_with_an_earlier_clock_overrides_the_former_record(self) -> None:
        """The restarted process raises its incarnation above the one that others still hold."""
        restarted = Membership(own=record("b", 0, incarnation=5), now=0.0)
        former = record("b", 7, incarnation=9)._replace(state="leaving")
        others = create_membership(former)
        restarted.merge([former], 0.0)
        others.merge([restarted.own], 0.0)
        self.assertEqual(self.hosts(others), ["a", "b"])

    def test_the_digest_identifies_the_set_of_records(self) -> None:
        """It is independent of the order of merging, and leaves dead members out."""
        one = create_membership(record("b"), record("c"))
        self.assertEqual(one.digest, create_membership(record("c"), record("b")).digest)
        self.assertNotEqual(one.digest, create_membership(record("b", 2), record("c")).digest)
        one.suspect(HostName("b"), 0.0)
        one.expire(SUSPICION_TIMEOUT)
        self.assertEqual(one.digest, create_membership(record("c")).digest)


class SuspicionTest(unittest.TestCase):
    """The conditions under which a member is suspected."""

    def test_a_stalled_process_suspects_nobody(self) -> None:
        """After a stall, a reply that was due long ago may have arrived unread."""
        membership = create_membership(record("b"))
        self.assertFalse(
            membership.handle_missed_reply(HostName("b"), 1.0, 1.0 + 2 * LOCAL_STALL_THRESHOLD)
        )
        self.assertTrue(membership.is_alive(HostName("b"), 2.0))
        self.assertTrue(
            membership.handle_missed_reply(HostName("b"), 1.0, 1.0 + LOCAL_STALL_THRESHOLD / 2)
        )

    def test_suspicions_of_one_incarnation_are_rate_limited(self) -> None:
        """Without the limit, a faulty path between two members floods all others."""
        membership = create_membership(record("b"))
        self.assertTrue(membership.suspect(HostName("b"), 0.0))
        membership.merge([record("b", 2)], 0.1)
        self.assertFalse(membership.suspect(HostName("b"), SUSPICION_INTERVAL / 2))
        self.assertTrue(membership.suspect(HostName("b"), SUSPICION_INTERVAL))

    def test_members_of_other_data_centres_are_not_suspected(self) -> None:
        """A partition between data centres would make all of them suspects."""
        membership = create_membership(record("b", data_centre=REMOTE))
        self.assertFalse(membership.suspect(HostName("b"), 0.0))


class FeedTest(unittest.TestCase):
    """The exchange of updates over one connection."""

    def exchange(self, opener: Feed, server: Feed, times: int) -> None:
        """Run a number of exchanges."""
        for _ in range(times):
            message = opener.next_message(0.0)
            reply, _ = server.handle_message(message, 0.0)
            opener.handle_reply(message, reply, 0.0)

    def test_lost_updates_are_detected_by_the_digest(self) -> None:
        """A digest mismatch leads to a comparison, which sends the lost change again."""
        one, other = create_membership(), Membership(own=record("b"), now=0.0)
        opener = Feed(membership=one, data_centre=LOCAL)
        server = Feed(membership=other, data_centre=LOCAL)
        self.exchange(opener, server, 4)
        one.merge([record("c")], 0.0)
        opener.next_message(0.0)  # The message is lost.
        self.assertFalse(opener.has_updates)
        self.exchange(opener, server, 4)
        self.assertEqual(one.digest, other.digest)
        self.assertIsNotNone(other.member(HostName("c")))

    def test_an_older_record_is_corrected(self) -> None:
        """A peer that holds an older record of a dead member receives the newer one."""
        one, other = create_membership(record("c", 2)), Membership(own=record("b"), now=0.0)
        one.suspect(HostName("c"), 0.0)
        one.expire(SUSPICION_TIMEOUT)
        other.merge([record("c", 1)], 0.0)
        opener = Feed(membership=one, data_centre=LOCAL)
        server = Feed(membership=other, data_centre=LOCAL)
        self.exchange(opener, server, 5)
        held = other.member(HostName("c"))
        assert held is not None
        self.assertTrue(held.suspected)

    def test_received_updates_are_not_sent_back(self) -> None:
        """Each update crosses a connection once."""
        one, other = create_membership(), Membership(own=record("b"), now=0.0)
        opener = Feed(membership=one, data_centre=LOCAL)
        server = Feed(membership=other, data_centre=LOCAL)
        self.exchange(opener, server, 4)
        other.merge([record("c")], 0.0)
        self.exchange(opener, server, 1)
        self.assertFalse(opener.has_updates)
        self.assertFalse(server.has_updates)

    def test_lost_updates_for_a_remote_data_centre_are_sent_again(self) -> None:
        """Data centres compare their records periodically, as their digests always differ."""
        one, other = create_membership(), Membership(own=record("x", data_centre=REMOTE), now=0.0)
        opener = Feed(membership=one, data_centre=REMOTE)
        server = Feed(membership=other, data_centre=LOCAL)
        self.exchange(opener, server, 4)
        one.leave("leaving", 0.0)
        opener.next_message(0.0)  # The message is lost.
        message = opener.next_message(REMOTE_COMPARE_INTERVAL)
        reply, _ = server.handle_message(message, REMOTE_COMPARE_INTERVAL)
        opener.handle_reply(message, reply, REMOTE_COMPARE_INTERVAL)
        self.exchange(opener, server, 1)
        held = other.member(HostName("a"))
        assert held is not None
        self.assertEqual(held.state, "leaving")

    def test_the_next_gateway_is_exported_when_one_dies(self) -> None:
        """A death changes the exported members, although no record changes."""
        membership = create_membership(*(record(host)._replace(worker=None) for host in "bcd"))
        membership.expire(EXPORT_DELAY)
        feed = Feed(membership=membership, data_centre=REMOTE)
        membership.suspect(HostName("b"), EXPORT_DELAY)
        feed.next_message(EXPORT_DELAY)
        feed.next_message(EXPORT_DELAY)
        self.assertFalse(feed.has_updates)
        membership.expire(EXPORT_DELAY + SUSPICION_TIMEOUT)
        self.assertTrue(feed.has_updates)

    # Guards against proxies that know no replica of other data centres once the seeds of their
    # settings are gone (review/9).
    def test_all_replicas_are_exported(self) -> None:
        """They needn't be seeds or gateways, nor serve callers."""
        members = [record(f"h{index}") for index in range(5)]
        members.append(record("r9")._replace(callers=None, worker=None))
        self.assertIn("r9", exported_hosts(members, ()))
        membership = create_membership(record("z", data_centre=REMOTE)._replace(callers=None))
        self.assertEqual(membership.replica_addresses(), [record("z").peers])

    def test_leaving_and_suspected_owners_are_not_exported(self) -> None:
        """The next owners in line are exported instead."""
        members = [record(f"h{index}") for index in range(8)]
        members[3] = members[3]._replace(state="leaving")
        members[4] = members[4]._replace(suspected=True)
        self.assertEqual(exported_hosts(members, ()), {"h0", "h1", "h2"})
        members[0] = members[0]._replace(state="leaving")
        members[2] = members[2]._replace(suspected=True)
        self.assertEqual(exported_hosts(members, ()), {"h0", "h1", "h5", "h6"})


def names(data_centre: str, count: int) -> list[str]:
    """Return the names of hosts in a data centre."""
    return [f"{data_centre}-{index:03}" for index in range(count)]


class GossipSimulationTest(unittest.TestCase):
    """Many members that exchange records over simulated time."""

    def converged(self, *sizes: int, seed: int = 1) -> MembershipSimulation:
        """Return a simulation of data centres of some sizes whose members know each other."""
        hosts = {f"dc{index}": names(f"dc{index}", size) for index, size in enumerate(sizes)}
        simulation = MembershipSimulation(
            hosts_by_data_centre=hosts, seeds=[group[0] for group in hosts.values()], seed=seed
        )
        simulation.until(lambda: self.is_complete(simulation, hosts))
        return simulation

    def is_complete(self, simulation: MembershipSimulation, hosts: dict[str, list[str]]) -> bool:
        """Return whether all agree and know their own data centre and a member of each other."""
        for membership in simulation.running.values():
            known = [member.data_centre for member in membership.members]
            own = membership.own.data_centre
            if known.count(own) < len(hosts[own]) or len(set(known)) < len(hosts):
                return False
        return simulation.all_agree()

    def test_idle_cost_per_member_is_independent_of_their_number(self) -> None:
        """With five times the members, each sends at most a fifth more messages."""
        small, large = (cost(self.converged(size), 20.0) for size in (20, 100))
        self.assertLess(large.mean_messages_per_s, small.mean_messages_per_s * 1.2)
        self.assertLess(large.max_bytes_per_s, 1000)

    def test_a_leaving_state_reaches_all_members_within_a_second(self) -> None:
        """Each member forwards it, and each hop halves the remaining distance in the ring."""
        simulation = self.converged(100)
        simulation.running[HostName("dc0-050")].leave("leaving", simulation.now)
        elapsed_seconds = simulation.until(lambda: simulation.all_know("dc0-050", "leaving"))
        self.assertLess(elapsed_seconds, 1.0)

    def test_members_stay_connected_after_all_seeds_die(self) -> None:
        """Seeds are needed only to join and to heal a partition."""
        simulation = self.converged(12)
        simulation.kill("dc0-000")
        simulation.run(20.0)
        self.assertEqual(
            {len(membership.members) for membership in simulation.running.values()}, {11}
        )

    def test_a_partition_between_data_centres_keeps_local_members(self) -> None:
        """Each side keeps its members, and receives the updates of the other one once it heals."""
        simulation = self.converged(12, 12)
        simulation.is_partitioned = lambda one, other: one.data_centre != other.data_centre
        simulation.run(5.0)
        simulation.running[HostName("dc0-000")].leave("leaving", simulation.now)
        simulation.run(30.0)
        for membership in simulation.running.values():
            own = membership.own.data_centre
            local = [member for member in membership.members if member.data_centre == own]
            self.assertEqual(len(local), 12)
            self.assertFalse(any(member.suspected for member in local))
        simulation.is_partitioned = lambda one, other: False
        remote = simulation.running[HostName("dc1-007")]
        simulation.until(lambda: self.state_of(remote, "dc0-000") == "leaving")

    def state_of(self, membership: Membership, host: str) -> str:
        """Return the state of a host as a member knows it."""
        held = membership.member(HostName(host))
        return held.state if held else "unknown"

    def test_a_partition_within_a_data_centre_heals(self) -> None:
        """Each half marks the other one dead, and all are alive again after the partition."""
        simulation = self.converged(16)
        half = set(names("dc0", 8))
        simulation.is_partitioned = lambda one, other: (one.host in half) != (other.host in half)
        simulation.run(20.0)
        self.assertEqual(
            {len(membership.members) for membership in simulation.running.values()}, {8}
        )
        simulation.is_partitioned = lambda one, other: False
        simulation.until(lambda: self.is_complete(simulation, {"dc0": names("dc0", 16)}))
        alive = {
            membership.is_alive(host, simulation.now)
            for membership in simulation.running.values()
            for host in simulation.running
        }
        self.assertEqual(alive, {True})

    def test_few_owners_are_exported_to_other_data_centres(self) -> None:
        """Enough are exported to find one, and others replace exported ones that die."""
        simulation = self.converged(80, 6)
        remote = simulation.running[HostName("dc1-005")]
        service = ServiceName("service-3")

        def owners() -> list[str]:
            serving = remote.owners(service, simulation.now)
            return sorted(owner.host for owner in serving if owner.data_centre == "dc0")

        simulation.run(5.0)
        # Besides owners of ten services, it holds the gateways and the first members that joined.
        exported_members = [member for member in remote.members if member.data_centre == "dc0"]
        self.assertLessEqual(
            len(exported_members), 10 * EXPORTED_OWNERS_PER_SERVICE + 2 * GATEWAYS_PER_DATA_CENTRE
        )
        first = owners()
        self.assertGreaterEqual(len(first), EXPORTED_OWNERS_PER_SERVICE)
        simulation.kill(*first)
        simulation.until(
            lambda: len(owners()) >= EXPORTED_OWNERS_PER_SERVICE and not set(first) & set(owners())
        )

    def test_half_of_the_members_die_and_return(self) -> None:
        """The others mark them dead and accept them again, including the seed."""
        simulation = self.converged(60)
        killed = names("dc0", 60)[::2]
        simulation.kill(*killed)
        simulation.run(10.0)
        self.assertEqual(
            {len(membership.members) for membership in simulation.running.values()}, {30}
        )
        for host in killed:
            simulation.start(host)
        simulation.until(lambda: self.is_complete(simulation, {"dc0": names("dc0", 60)}), 20.0)

    def test_a_silent_member_is_marked_dead_and_returns(self) -> None:
        """Its next record makes it alive for the others again."""
        simulation = self.converged(12)
        host = HostName("dc0-005")
        simulation.unresponsive.add(host)
        simulation.run(10.0)
        others = [membership for name, membership in simulation.running.items() if name != host]
        self.assertFalse(any(membership.is_alive(host, simulation.now) for membership in others))
        simulation.unresponsive.clear()
        simulation.until(
            lambda: all(membership.is_alive(host, simulation.now) for membership in others)
        )


if __name__ == "__main__":
    unittest.main()

"""Tests of the membership's rules, on records and in rounds of many members."""

import unittest

from cowslipvane.membership import SUSPICION_TIMEOUT, Feed, Member, Membership, Worker
from cowslipvane.membership._feed import COMPARE_ABROAD
from cowslipvane.membership._membership import (
    FORGET_AFTER,
    OWN_STALL,
    SETTLING_TIME,
    SUSPECT_AGAIN,
)
from cowslipvane.membership._topology import GATEWAYS, OWNERS_ABROAD, exported
from cowslipvane.types import Address, DataCentre, HostName, ServiceName
from tools.bench_members import MembershipSimulation, cost

HERE, ABROAD = DataCentre("here"), DataCentre("abroad")
STOCK = ServiceName("stock")


def record(host: str, counter: int = 1, incarnation: int = 1, centre: DataCentre = HERE) -> Member:
    """Return the record of a host that serves stock."""
    address = Address("10.0.0.1", 1 + sum(host.encode()))
    worker = Worker(STOCK, address, 6, 110)
    name = HostName(host)
    return Member(name, centre, incarnation, counter, address, address, address, "up", worker)


def membership(*records: Member) -> Membership:
    """Return the membership of host a that holds some records."""
    found = Membership(own=record("a"), now=0.0)
    found.merge(records, 0.0)
    return found


class RecordTest(unittest.TestCase):
    """Which record of a host wins."""

    def hosts(self, found: Membership) -> list[str]:
        """Return the hosts of the owners of stock."""
        return sorted(owner.host for owner in found.owners(STOCK, 0.0))

    def test_the_number_of_proxies_follows_the_members(self) -> None:
        """Those here, times the data centres, the own process included."""
        held = membership()
        self.assertEqual(held.estimated_proxy_count, 1)
        held.merge([record("x"), record("y", centre=DataCentre("there"))], 0.0)
        self.assertEqual(held.estimated_proxy_count, 4)
        held.merge([record("x", counter=2)._replace(state="gone")], 0.0)
        self.assertEqual(held.estimated_proxy_count, 2)

    def test_a_leave_that_crosses_a_renewal_stays(self) -> None:
        """The owner's later word wins, in whatever order the records come."""
        found = membership(record("b", 3)._replace(state="leaving"))
        self.assertEqual(found.merge([record("b", 2)], 1.0), [])
        self.assertEqual(self.hosts(found), ["a"])

    def test_an_earlier_life_cannot_come_back(self) -> None:
        """A record of an earlier incarnation is no news, however high its counter."""
        found = membership(record("b", 1, incarnation=2)._replace(worker=None))
        self.assertEqual(found.merge([record("b", 99, incarnation=1)], 1.0), [])
        self.assertEqual(self.hosts(found), ["a"])

    def test_a_suspected_owner_is_the_last_resort(self) -> None:
        """It is offered only when no other is there."""
        found = Membership(own=record("a")._replace(worker=None), now=0.0)
        found.merge([record("b"), record("c")], 0.0)
        found.suspect(HostName("b"), 0.0)
        self.assertEqual(self.hosts(found), ["c"])
        found.suspect(HostName("c"), 0.0)
        self.assertEqual(self.hosts(found), ["b", "c"])

    def test_a_suspect_that_stays_silent_dies_and_is_forgotten(self) -> None:
        """Its record is kept against older ones until it is forgotten."""
        found = membership(record("b", 5))
        found.suspect(HostName("b"), 0.0)
        found.expire(SUSPICION_TIMEOUT)
        self.assertEqual([member.host for member in found.members], ["a"])
        self.assertEqual(found.merge([record("b", 5)], SUSPICION_TIMEOUT), [])
        found.expire(SUSPICION_TIMEOUT + FORGET_AFTER)
        self.assertIsNone(found.member(HostName("b")))

    def test_a_suspect_contradicts(self) -> None:
        """A higher counter of the owner ends the suspicion, also after its death."""
        one, other = membership(record("b")), Membership(own=record("b"), now=0.0)
        one.suspect(HostName("b"), 0.0)
        other.merge(one.members, 0.0)
        self.assertGreater(other.own.counter, 1)
        one.expire(SUSPICION_TIMEOUT)
        one.merge([other.own], SUSPICION_TIMEOUT)
        self.assertEqual(self.hosts(one), ["a", "b"])

    def test_a_restart_with_a_clock_behind_wins_over_its_former_life(self) -> None:
        """The owner outbids the record that others still hold of it."""
        reborn = Membership(own=record("b", 0, incarnation=5), now=0.0)
        former = record("b", 7, incarnation=9)._replace(state="leaving")
        others = membership(former)
        reborn.merge([former], 0.0)
        others.merge([reborn.own], 0.0)
        self.assertEqual(self.hosts(others), ["a", "b"])

    def test_the_digest_tells_sets_of_records_apart(self) -> None:
        """It is equal for equal records in any order, and differs for others."""
        one = membership(record("b"), record("c"))
        self.assertEqual(one.digest, membership(record("c"), record("b")).digest)
        self.assertNotEqual(one.digest, membership(record("b", 2), record("c")).digest)
        one.suspect(HostName("b"), 0.0)
        one.expire(SUSPICION_TIMEOUT)
        self.assertEqual(one.digest, membership(record("c")).digest)


class SuspicionTest(unittest.TestCase):
    """When a member is suspected."""

    def test_a_process_that_stood_still_suspects_nobody(self) -> None:
        """A reply that was due long ago may lie unread."""
        found = membership(record("b"))
        self.assertFalse(found.handle_missed_reply(HostName("b"), 1.0, 1.0 + 2 * OWN_STALL))
        self.assertTrue(found.is_alive(HostName("b"), 2.0))
        self.assertTrue(found.handle_missed_reply(HostName("b"), 1.0, 1.0 + OWN_STALL / 2))

    def test_a_bad_path_between_two_does_not_flood(self) -> None:
        """Whoever has contradicted is left alone by the same judge for a while."""
        found = membership(record("b"))
        self.assertTrue(found.suspect(HostName("b"), 0.0))
        found.merge([record("b", 2)], 0.1)
        self.assertFalse(found.suspect(HostName("b"), SUSPECT_AGAIN / 2))
        self.assertTrue(found.suspect(HostName("b"), SUSPECT_AGAIN))

    def test_nobody_judges_another_data_centre(self) -> None:
        """A cut between data centres makes no suspicion."""
        found = membership(record("b", centre=ABROAD))
        self.assertFalse(found.suspect(HostName("b"), 0.0))


class FeedTest(unittest.TestCase):
    """What one connection finds and tells."""

    def exchange(self, opener: Feed, server: Feed, times: int) -> None:
        """Exchange a few times."""
        for _ in range(times):
            message = opener.next_message(0.0)
            reply, _ = server.handle_message(message, 0.0)
            opener.handle_reply(message, reply, 0.0)

    def test_lost_news_is_found_by_the_digest(self) -> None:
        """A change that never arrived is compared for and sent again."""
        one, other = membership(), Membership(own=record("b"), now=0.0)
        opener = Feed(membership=one, data_centre=HERE)
        server = Feed(membership=other, data_centre=HERE)
        self.exchange(opener, server, 4)
        one.merge([record("c")], 0.0)
        opener.next_message(0.0)  # Taken, and lost on the way.
        self.assertFalse(opener.has_updates)
        self.exchange(opener, server, 4)
        self.assertEqual(one.digest, other.digest)
        self.assertIsNotNone(other.member(HostName("c")))

    def test_an_older_record_is_corrected(self) -> None:
        """Whoever holds an older record of a dead member is told the newer one."""
        one, other = membership(record("c", 2)), Membership(own=record("b"), now=0.0)
        one.suspect(HostName("c"), 0.0)
        one.expire(SUSPICION_TIMEOUT)
        other.merge([record("c", 1)], 0.0)
        opener = Feed(membership=one, data_centre=HERE)
        server = Feed(membership=other, data_centre=HERE)
        self.exchange(opener, server, 5)
        held = other.member(HostName("c"))
        assert held is not None
        self.assertTrue(held.suspected)

    def test_what_the_other_side_told_is_not_sent_back(self) -> None:
        """News goes over a connection once."""
        one, other = membership(), Membership(own=record("b"), now=0.0)
        opener = Feed(membership=one, data_centre=HERE)
        server = Feed(membership=other, data_centre=HERE)
        self.exchange(opener, server, 4)
        other.merge([record("c")], 0.0)
        self.exchange(opener, server, 1)
        self.assertFalse(opener.has_updates)
        self.assertFalse(server.has_updates)

    def test_lost_news_for_another_data_centre_is_found_in_time(self) -> None:
        """Data centres compare again after a while."""
        one, other = membership(), Membership(own=record("x", centre=ABROAD), now=0.0)
        opener = Feed(membership=one, data_centre=ABROAD)
        server = Feed(membership=other, data_centre=HERE)
        self.exchange(opener, server, 4)
        one.leave("leaving", 0.0)
        opener.next_message(0.0)  # Taken, and lost on the way.
        message = opener.next_message(COMPARE_ABROAD)
        reply, _ = server.handle_message(message, COMPARE_ABROAD)
        opener.handle_reply(message, reply, COMPARE_ABROAD)
        self.exchange(opener, server, 1)
        held = other.member(HostName("a"))
        assert held is not None
        self.assertEqual(held.state, "leaving")

    def test_the_next_gateway_is_told_abroad_when_one_has_died(self) -> None:
        """A death changes what others are told, though no record changes."""
        found = membership(*(record(host)._replace(worker=None) for host in "bcd"))
        found.expire(SETTLING_TIME)
        feed = Feed(membership=found, data_centre=ABROAD)
        found.suspect(HostName("b"), SETTLING_TIME)
        feed.next_message(SETTLING_TIME)
        feed.next_message(SETTLING_TIME)
        self.assertFalse(feed.has_updates)
        found.expire(SETTLING_TIME + SUSPICION_TIMEOUT)
        self.assertTrue(feed.has_updates)

    def test_leaving_and_suspected_owners_make_room_abroad(self) -> None:
        """The next owners in line are told of instead."""
        members = [record(f"h{at}") for at in range(8)]
        members[3] = members[3]._replace(state="leaving")
        members[4] = members[4]._replace(suspected=True)
        self.assertEqual(exported(members, ()), {"h0", "h1", "h2"})
        members[0] = members[0]._replace(state="leaving")
        members[2] = members[2]._replace(suspected=True)
        self.assertEqual(exported(members, ()), {"h0", "h1", "h5", "h6"})


def names(centre: str, count: int) -> list[str]:
    """Return names of hosts in a data centre."""
    return [f"{centre}-{at:03}" for at in range(count)]


class RoundsTest(unittest.TestCase):
    """Many members together, over simulated time."""

    def settled(self, *sizes: int, seed: int = 1) -> MembershipSimulation:
        """Return members of some data centres that know each other."""
        hosts = {f"dc{at}": names(f"dc{at}", size) for at, size in enumerate(sizes)}
        rounds = MembershipSimulation(
            names=hosts, seeds=[found[0] for found in hosts.values()], seed=seed
        )
        rounds.until(lambda: self.is_whole(rounds, hosts))
        return rounds

    def is_whole(self, rounds: MembershipSimulation, hosts: dict[str, list[str]]) -> bool:
        """Return whether all members agree, and know all of their data centre and some abroad."""
        for membership in rounds.running.values():
            known = [member.data_centre for member in membership.members]
            own = membership.own.data_centre
            if known.count(own) < len(hosts[own]) or len(set(known)) < len(hosts):
                return False
        return rounds.all_agree()

    def test_idle_cost_does_not_grow_with_the_members(self) -> None:
        """Five times as many members send each as much as before, within a fifth."""
        small, large = (cost(self.settled(size), 20.0) for size in (20, 100))
        self.assertLess(large.mean_messages, small.mean_messages * 1.2)
        self.assertLess(large.most_bytes, 1000)

    def test_a_leave_is_known_to_all_within_a_second(self) -> None:
        """Each hop passes it on, and a hop halves the distance."""
        rounds = self.settled(100)
        rounds.running[HostName("dc0-050")].leave("leaving", rounds.now)
        time = rounds.until(lambda: rounds.all_know("dc0-050", "leaving"))
        self.assertLess(time, 1.0)

    def test_all_seeds_dead_leave_the_others_whole(self) -> None:
        """Seeds only serve to join and to heal."""
        rounds = self.settled(12)
        rounds.kill("dc0-000")
        rounds.run(20.0)
        self.assertEqual({len(found.members) for found in rounds.running.values()}, {11})

    def test_a_cut_between_data_centres_removes_nobody_within(self) -> None:
        """Each side keeps its members, and after the cut each learns of the other's leaves."""
        rounds = self.settled(12, 12)
        rounds.is_partitioned = lambda one, other: one.data_centre != other.data_centre
        rounds.run(5.0)
        rounds.running[HostName("dc0-000")].leave("leaving", rounds.now)
        rounds.run(30.0)
        for membership in rounds.running.values():
            own = membership.own.data_centre
            here = [member for member in membership.members if member.data_centre == own]
            self.assertEqual(len(here), 12)
            self.assertFalse(any(member.suspected for member in here))
        rounds.is_partitioned = lambda one, other: False
        abroad = rounds.running[HostName("dc1-007")]
        rounds.until(lambda: self.state_of(abroad, "dc0-000") == "leaving")

    def state_of(self, membership: Membership, host: str) -> str:
        """Return the state that a member holds of a host."""
        held = membership.member(HostName(host))
        return held.state if held else "unknown"

    def test_a_partition_within_a_data_centre_heals(self) -> None:
        """Both halves bury each other, and come together without a death."""
        rounds = self.settled(16)
        left = set(names("dc0", 8))
        rounds.is_partitioned = lambda one, other: (one.host in left) != (other.host in left)
        rounds.run(20.0)
        self.assertEqual({len(found.members) for found in rounds.running.values()}, {8})
        rounds.is_partitioned = lambda one, other: False
        rounds.until(lambda: self.is_whole(rounds, {"dc0": names("dc0", 16)}))
        alive = {
            found.is_alive(host, rounds.now)
            for found in rounds.running.values()
            for host in rounds.running
        }
        self.assertEqual(alive, {True})

    def test_other_data_centres_are_told_of_a_few_owners(self) -> None:
        """Enough to find one, and others take the place of those that die."""
        rounds = self.settled(80, 6)
        abroad = rounds.running[HostName("dc1-005")]
        service = ServiceName("service-3")

        def owners() -> list[str]:
            found = abroad.owners(service, rounds.now)
            return sorted(owner.host for owner in found if owner.data_centre == "dc0")

        rounds.run(5.0)
        # Beside owners of ten services there are the gateways, and the first who joined.
        told = [member for member in abroad.members if member.data_centre == "dc0"]
        self.assertLessEqual(len(told), 10 * OWNERS_ABROAD + 2 * GATEWAYS)
        first = owners()
        self.assertGreaterEqual(len(first), OWNERS_ABROAD)
        rounds.kill(*first)
        rounds.until(lambda: len(owners()) >= OWNERS_ABROAD and not set(first) & set(owners()))

    def test_a_herd_dies_and_comes_back(self) -> None:
        """Half of the members are buried and taken in again, seeds among them."""
        rounds = self.settled(60)
        herd = names("dc0", 60)[::2]
        rounds.kill(*herd)
        rounds.run(10.0)
        self.assertEqual({len(found.members) for found in rounds.running.values()}, {30})
        for host in herd:
            rounds.start(host)
        rounds.until(lambda: self.is_whole(rounds, {"dc0": names("dc0", 60)}), 20.0)

    def test_a_silent_member_is_suspected_and_comes_back(self) -> None:
        """It dies for the others, and its own word after that brings it back."""
        rounds = self.settled(12)
        host = HostName("dc0-005")
        rounds.silent.add(host)
        rounds.run(10.0)
        others = [found for name, found in rounds.running.items() if name != host]
        self.assertFalse(any(found.is_alive(host, rounds.now) for found in others))
        rounds.silent.clear()
        rounds.until(lambda: all(found.is_alive(host, rounds.now) for found in others))


if __name__ == "__main__":
    unittest.main()

"""Tests of which group change is due, for a leader that sees its members in some state."""

import unittest
from collections.abc import Mapping

import cbor2

from cowslipvane.replica import Demote, Group, Promote, Remove, Voter
from cowslipvane.replica._reconfiguration import (
    REPLACED_VOTER_TIMEOUT,
    VOTER_REMOVAL_TIMEOUT,
    MemberStatus,
    Situation,
    due_change,
)
from cowslipvane.types import Address, DataCentre, HostName, ReplicaId, Seconds
from cowslipvane.wire import decode_as, encode_untagged

NOW = 100.0
REPLY_TIMEOUT: Seconds = 0.6
SOUND = MemberStatus(first_contact_at=0.0, contact_at=NOW - 0.1, is_caught_up=True)
LATE = SOUND._replace(contact_at=NOW - REPLY_TIMEOUT - 0.1)
LOST = SOUND._replace(contact_at=NOW - REPLACED_VOTER_TIMEOUT)
GONE = SOUND._replace(contact_at=NOW - VOTER_REMOVAL_TIMEOUT)
LEAVING = SOUND._replace(is_leaving=True)
BEHIND = SOUND._replace(is_caught_up=False)
NEVER_HEARD = MemberStatus()


def member(name: str) -> Voter:
    """Return a member; the names of those that joined later have a number, which tells when."""
    joined_at = int(name[1:] or 0)
    return Voter(HostName(name), Address("10.0.0.1", 1), ReplicaId(f"id-{name}"), joined_at)


def situation(voters: str, learners: str = "", **statuses: MemberStatus) -> Situation:
    """Return what the first voter sees as leader; all are sound but for the given ones.

    Hosts whose names begin with the same letter are in one data centre.
    """
    group = Group(tuple(map(member, voters.split())), tuple(map(member, learners.split())))
    seen: Mapping[HostName, MemberStatus] = {
        each.host: statuses.get(each.host, SOUND) for each in group.members
    }
    return Situation(
        group=group,
        leader=group.voters[0].host,
        now=NOW,
        elected_at=0.0,
        reply_timeout=REPLY_TIMEOUT,
        statuses=seen,
        data_centres={each.host: DataCentre(each.host[0]) for each in group.members},
    )


def promote(name: str) -> Promote:
    """Return the promotion of a member."""
    return Promote(learner=member(name))


def demote(name: str) -> Demote:
    """Return the demotion of a member."""
    return Demote(host=HostName(name))


class DueChangeTest(unittest.TestCase):
    """One change at a time, which a majority of the voters can commit."""

    def test_nothing_is_due_while_the_number_is_right(self) -> None:
        """One voter in each data centre, or an older one that stands by."""
        for group in (situation("a b c"), situation("a b c d"), situation("b c a5", "a")):
            self.assertIsNone(due_change(group), group)

    def test_a_newcomer_votes_before_the_older_one_stops(self) -> None:
        """The group has four voters for a moment, and bears one loss meanwhile."""
        self.assertEqual(due_change(situation("b a c", "a5")), promote("a5"))
        self.assertEqual(due_change(situation("b a c a5")), demote("a"))
        self.assertEqual(due_change(situation("a b c a5")), demote("a"), "the leader itself")

    def test_the_machine_that_was_added_last_is_the_one_that_replaces(self) -> None:
        """In a larger group several voters have a newer one beside them."""
        self.assertEqual(due_change(situation("b a c b7 a5 d")), demote("b"))

    def test_a_learner_is_promoted_only_while_it_replies(self) -> None:
        """One that is gone would raise the majority."""
        for status in (LATE, LOST, BEHIND, LEAVING, NEVER_HEARD):
            self.assertIsNone(due_change(situation("b a c", "a5", a5=status)), status)

    def test_a_learner_waits_until_each_voter_replies_or_is_lost(self) -> None:
        """Which one it replaces may become clear meanwhile."""
        self.assertIsNone(due_change(situation("b a c", "a5", c=LATE)))
        since_later = SOUND._replace(first_contact_at=NOW)
        self.assertIsNone(due_change(situation("b a c", "a5", a5=since_later)))

    def test_a_lost_voter_stops_before_its_successor_votes(self) -> None:
        """As a fourth voter, it would be needed for a majority of three."""
        self.assertEqual(due_change(situation("b a c", "a5", a=LOST)), demote("a"))
        self.assertEqual(due_change(situation("b c", "a a5", a=LOST)), promote("a5"))

    def test_a_leaving_voter_votes_until_its_successor_does(self) -> None:
        """It still replies."""
        self.assertEqual(due_change(situation("b a c", "c5", a=LEAVING)), promote("c5"))
        self.assertEqual(due_change(situation("b a c c5", a=LEAVING)), demote("a"))
        has_exited = LATE._replace(is_leaving=True)
        self.assertEqual(due_change(situation("b a c", "c5", a=has_exited)), demote("a"))

    def test_three_voters_stay_without_a_learner(self) -> None:
        """Two would bear no further loss, also when the third is back."""
        for status in (LOST, GONE, LEAVING):
            self.assertIsNone(due_change(situation("b a c", a=status)), status)
            self.assertIsNone(due_change(situation("b a c", "d", a=status, d=LOST)), status)

    def test_more_than_three_voters_do_without_a_lost_or_leaving_one(self) -> None:
        """An even number bears no fewer losses then; an odd one can do without the next one too."""
        for status in (LOST, LEAVING):
            self.assertEqual(due_change(situation("b a c d", a=status)), demote("a"), status)
            self.assertEqual(due_change(situation("b a c d e", a=status)), demote("a"), status)

    def test_no_voter_is_given_up_without_a_majority_of_the_others(self) -> None:
        """Nothing could be committed."""
        self.assertIsNone(due_change(situation("b a c d", a=LOST, c=LATE, d=LATE)))
        self.assertIsNone(due_change(situation("b a c", "a5", a=LOST, c=LATE)))

    def test_a_voter_that_is_back_votes_again(self) -> None:
        """One in whose data centre a newer one votes does so only beside another learner."""
        self.assertEqual(due_change(situation("b c d", "a")), promote("a"))
        self.assertEqual(due_change(situation("b c a", "a5")), promote("a5"))
        self.assertEqual(due_change(situation("b c a5", "a b7")), promote("b7"))
        self.assertEqual(due_change(situation("b c a5 b7", "a")), promote("a"))

    def test_two_voters_are_joined_by_any_learner_that_has_caught_up(self) -> None:
        """Both are needed, whether or not they reply."""
        self.assertEqual(due_change(situation("b c", "a", c=LOST)), promote("a"))

    def test_a_learner_that_is_gone_is_removed(self) -> None:
        """One that was never heard of may not have been started yet."""
        self.assertEqual(due_change(situation("b a c", "d", d=GONE)), Remove(host=HostName("d")))
        self.assertIsNone(due_change(situation("b a c", "d", d=LOST)))
        self.assertIsNone(due_change(situation("b a c", "d", d=NEVER_HEARD)))

    def test_a_new_leader_first_gives_its_members_time_to_reply(self) -> None:
        """It has heard of none of them yet."""
        before = situation("b a c d", a=NEVER_HEARD)._replace(elected_at=NOW - 0.5)
        self.assertIsNone(due_change(before))


class StoredGroupTest(unittest.TestCase):
    """What replicas record of the group."""

    # Guards against replicas that don't start after an update.
    def test_a_member_that_an_earlier_build_recorded_can_be_read(self) -> None:
        """It counts as a founder."""
        fields = cbor2.loads(encode_untagged(member("a5")))
        earlier = decode_as(Voter, cbor2.dumps(fields[:-1]))
        self.assertEqual(earlier, member("a5")._replace(joined_at=0))


if __name__ == "__main__":
    unittest.main()

"""Model checks of the specifications of acceptance and of keys, exhaustive in small scopes."""

import itertools
import unittest
from typing import Any

from minicheck import check_safety  # type: ignore[import-untyped]

from spec import keys
from spec.acceptance import INVARIANTS, Rules, Scope, make_protocol
from spec.keys import Config

MAX_STATES = 200_000
# One bad state refutes a mutation, so its search need not be exhaustive.
MAX_MUTATION_STATES = 60_000

ELECTIONS = Scope(terms=3, writes=1)
CONCURRENT_WRITES = Scope(terms=2, writes=2)
LOST_DISK = Scope(terms=2, writes=2, losses=1, changes=2)
GROUP_CHANGES = Scope(terms=2, writes=2, changes=2)
# Starts after two leaders have each written an entry that no other replica has.
COMPETING_LEADERS = Scope(
    terms=4,
    writes=2,
    initial_steps=(
        *("0 starts an election", "1 votes for 0", "0 writes"),
        *("1 starts an election", "2 votes for 1", "1 writes"),
    ),
)
# A leader has added a new machine, which has caught up.
JOINING = (
    *("0 starts an election", "1 votes for 0", "0 writes", "0 sends to 1"),
    *("0 adds 3", "0 sends to 1", "0 sends to 3", "0 sends to 3"),
)
REPLACEMENT = Scope(terms=2, writes=1, changes=3, joins=True, initial_steps=JOINING)
LOST_DISK_IN_REPLACEMENT = REPLACEMENT._replace(losses=1)
LEASES = Scope(terms=2, writes=2, leases=True)
LEASES_IN_REPLACEMENT = REPLACEMENT._replace(leases=True, initial_steps=(*JOINING, "0 promotes 3"))
SCOPES = (
    *(ELECTIONS, CONCURRENT_WRITES, COMPETING_LEADERS, LOST_DISK, GROUP_CHANGES),
    *(REPLACEMENT, LOST_DISK_IN_REPLACEMENT, LEASES, LEASES_IN_REPLACEMENT),
)


def check(scope: Scope, rules: Rules, max_states: int) -> dict[str, Any]:
    """Return the result of the model checker within a scope."""
    result: dict[str, Any] = check_safety(make_protocol(scope, rules), max_states=max_states)
    return result


class SpecTest(unittest.TestCase):
    """The protocol satisfies the invariants, and each safety rule is necessary."""

    def test_the_protocol_satisfies_the_invariants_in_every_scope(self) -> None:
        """Explore every state within each scope."""
        for scope in SCOPES:
            with self.subTest(scope=scope):
                result = check(scope, Rules(), MAX_STATES)
                self.assertTrue(result["exhaustive"])
                self.assertEqual({item["holds"] for item in result["properties"].values()}, {True})

    def refute(self, scope: Scope, rules: Rules, *invariants: str) -> None:
        """Check that a mutation violates some invariants."""
        self.assertLessEqual(set(invariants), INVARIANTS.keys())
        result = check(scope, rules, MAX_MUTATION_STATES)["properties"]
        broken = {name for name, item in result.items() if item["holds"] is False}
        self.assertLessEqual(set(invariants), broken)

    def test_unsynced_votes_can_elect_two_leaders(self) -> None:
        """A restarted voter can vote twice in one term."""
        self.refute(CONCURRENT_WRITES, Rules(syncs_votes=False), "one leader in a term")

    def test_a_voter_with_an_empty_disk_can_lose_accepted_entries(self) -> None:
        """It can elect a leader that never had them."""
        rules = Rules(lost_disk_gets_new_identity=False)
        self.refute(LOST_DISK._replace(writes=1, changes=0), rules, "accepted is never lost")

    def test_an_entry_of_an_older_term_committed_by_majority_alone_can_be_lost(self) -> None:
        """A candidate with a newer last entry can win and overwrite it."""
        self.refute(COMPETING_LEADERS, Rules(commits_own_term_only=False), "accepted is never lost")

    def test_two_group_changes_at_once_can_lose_accepted_entries(self) -> None:
        """Their quorums may have no common member."""
        rules = Rules(one_change_at_a_time=False)
        self.refute(GROUP_CHANGES, rules, "accepted is never lost", "one order")

    def test_two_voters_exchanged_at_once_can_lose_accepted_entries(self) -> None:
        """Majorities of the group before and of the one after may have no common member."""
        rules = Rules(changes_one_voter=False)
        self.refute(REPLACEMENT._replace(writes=2), rules, "accepted is never lost", "one order")

    def test_a_vote_in_spite_of_a_lease_can_make_two_leaders_answer(self) -> None:
        """The leader that counts on the lease doesn't know of the next one."""
        self.refute(LEASES, Rules(keeps_promises=False), "one lease at a time")

    def test_a_leader_that_hands_over_before_it_steps_down_can_answer_beside_the_next(self) -> None:
        """The votes that it releases are those that its own lease counts on."""
        self.refute(LEASES, Rules(steps_down_first=False), "one lease at a time")


# What a version may say. The teams differ only in name, so the first version needs just one.
FIRST_CONFIGS = tuple(
    Config(use, holder)
    for use in ("ignored", "optional", "required")
    for holder in (keys.NO_TEAM, "mill")
)
CONFIGS = (*FIRST_CONFIGS, *(Config(use, "bakery") for use in ("ignored", "optional", "required")))
# A key that is added, moved and withdrawn; a route that changes its use of keys and goes back.
MOVED_KEY = tuple(Config("required", holder) for holder in (keys.NO_TEAM, "mill", "bakery"))
MOVED_AND_BACK = (MOVED_KEY[1], MOVED_KEY[2], MOVED_KEY[1])
WITHDRAWN_KEY = (MOVED_KEY[1], MOVED_KEY[0], MOVED_KEY[2])
SWITCHED_ROUTE = tuple(Config(use, "mill") for use in ("ignored", "required", "optional"))
SWITCHED_BACK = tuple(Config(use, "mill") for use in ("required", "optional", "required"))
TEAMS_TAKEN_OUT = (Config("optional", "mill"), Config("required", "bakery"), Config("ignored"))
SEQUENCES = (
    *(MOVED_KEY, MOVED_AND_BACK, WITHDRAWN_KEY),
    *(SWITCHED_ROUTE, SWITCHED_BACK, TEAMS_TAKEN_OUT),
)
PUBLIC_ROUTE_CLOSED = (Config("optional", "mill"), Config("required", "bakery"))
KEY_SCOPES = (
    *(keys.Scope(pair, nested=True) for pair in itertools.product(FIRST_CONFIGS, CONFIGS)),
    *(keys.Scope(sequence, restarts=1) for sequence in SEQUENCES),
    keys.Scope(PUBLIC_ROUTE_CLOSED, shows=False, restarts=1),
    keys.Scope(PUBLIC_ROUTE_CLOSED, nested=True, restarts=1),
    keys.Scope(PUBLIC_ROUTE_CLOSED[::-1], nested=True, restarts=1),
    keys.Scope((Config("ignored"), *PUBLIC_ROUTE_CLOSED), nested=True),
)


class KeysSpecTest(unittest.TestCase):
    """The decisions about keys satisfy the properties, and each rule is necessary."""

    def check(self, scope: keys.Scope, rules: keys.Rules, properties: keys.Properties) -> set[str]:
        """Return the names of the properties that are violated within a scope."""
        protocol = keys.make_protocol(scope, rules, properties)
        result: dict[str, Any] = check_safety(protocol, max_states=MAX_STATES)
        self.assertTrue(result["exhaustive"])
        return {name for name, item in result["properties"].items() if item["holds"] is False}

    def test_the_decisions_satisfy_the_properties_in_every_scope(self) -> None:
        """Explore every state within each scope."""
        for scope in KEY_SCOPES:
            with self.subTest(scope=scope):
                self.assertEqual(self.check(scope, keys.Rules(), keys.PROPERTIES), set())

    def refute(self, configs: tuple[Config, ...], rules: keys.Rules, name: str) -> None:
        """Check that a mutation violates a property, with a nested call."""
        scope = keys.Scope(configs, nested=True)
        self.assertIn(name, self.check(scope, rules, keys.PROPERTIES))

    # Guards against a model that finds nothing.
    def test_without_the_owners_decision_withdrawn_keys_start(self) -> None:
        """So do moved ones, requests without a key, and those that have the key with them."""
        rules = keys.Rules(owner_decides_again=False)
        name = "no start that the owner's version refuses"
        for configs in (WITHDRAWN_KEY[:2], PUBLIC_ROUTE_CLOSED):
            self.refute(configs, rules, name)
        self.refute(SWITCHED_ROUTE[:2], rules, "no key goes along by the newer version")

    def test_a_refusal_after_one_wait_can_be_by_a_replaced_version(self) -> None:
        """Another version may become known while the request waits for one."""
        configs = (MOVED_KEY[0], MOVED_KEY[0], MOVED_KEY[1])
        name = "no refusal by a version known to be replaced"
        self.refute(configs, keys.Rules(waits_for_newest=False), name)

    def test_a_key_that_is_not_withheld_reaches_an_upstream(self) -> None:
        """The entry proxy alone drops it."""
        rules = keys.Rules(withholds_keys=False)
        self.refute(MOVED_KEY, rules, "no key goes along by the newer version")

    def test_an_owner_that_is_not_told_of_unknown_keys_runs_them_for_no_team(self) -> None:
        """A public route's request has a key that only the owner's version knows."""
        configs = (Config("optional"), Config("optional", "mill"))
        name = "a key that was unknown runs for its team in the owner's version"
        self.refute(configs, keys.Rules(sends_unknown_keys=False), name)

    def test_a_nested_call_could_pass_where_a_key_is_needed(self) -> None:
        """The id of its parent isn't proof of a key."""
        rules = keys.Rules(nested_needs_public_route=False)
        self.refute(MOVED_KEY[1:], rules, "runs only for a team of the versions in between")

    # Guards against a page that promises more than the design does.
    def test_limits_of_the_design_are_found(self) -> None:
        """Each is violated in some scope; one that no longer is belongs to the properties."""
        violated: set[str] = set()
        for scope in KEY_SCOPES:
            violated |= self.check(scope, keys.Rules(), keys.LIMITS)
        self.assertEqual(violated, keys.LIMITS.keys())


if __name__ == "__main__":
    unittest.main()

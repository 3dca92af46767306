"""Model checks of the specification of quotas, exhaustive in small scopes."""

import unittest
from typing import Any

from minicheck import check_safety  # type: ignore[import-untyped]

from spec.quotas import Rules, Scope, make_protocol

MAX_STATES = 400_000
GRANTED_ONCE = "no part of a quota is granted twice"
A, AB, AC, BC, ABC = (frozenset(hosts) for hosts in ((0,), (0, 1), (0, 2), (1, 2), (0, 1, 2)))
# A holder is replaced by a newcomer, one joins, one is lost and comes back.
REPLACED = Scope(hosts=3, first=AB, targets=(AC,))
JOINED = Scope(hosts=3, first=AB, targets=(ABC,))
BACK = Scope(hosts=2, first=AB, targets=(A, AB))
REPLACED_IN_AN_ELECTION = REPLACED._replace(elections=1)
JOINED_IN_AN_ELECTION = JOINED._replace(elections=1)
BACK_IN_AN_ELECTION = BACK._replace(elections=2, restarts=1)
RESTARTED = REPLACED._replace(restarts=1)
SCOPES = (
    *(REPLACED, JOINED, BACK, REPLACED_IN_AN_ELECTION),
    *(JOINED_IN_AN_ELECTION, BACK_IN_AN_ELECTION, RESTARTED),
)


def check(scope: Scope, rules: Rules) -> dict[str, Any]:
    """Return the result of the model checker within a scope."""
    result: dict[str, Any] = check_safety(make_protocol(scope, rules), max_states=MAX_STATES)
    return result


class QuotasSpecTest(unittest.TestCase):
    """No part of a quota is granted twice, and each rule is necessary for that."""

    def test_no_part_is_granted_twice_in_any_scope(self) -> None:
        """Explore every state within each scope."""
        for scope in SCOPES:
            with self.subTest(scope=scope):
                result = check(scope, Rules())
                self.assertTrue(result["exhaustive"])
                self.assertTrue(result["properties"][GRANTED_ONCE]["holds"])

    def refute(self, scope: Scope, rules: Rules) -> None:
        """Check that a mutation grants a part twice."""
        self.assertIs(check(scope, rules)["properties"][GRANTED_ONCE]["holds"], False)

    def test_a_part_given_before_its_holder_knows_is_granted_twice(self) -> None:
        """The former holder's lease goes on."""
        self.refute(REPLACED, Rules(waits_for_holders=False))

    def test_parts_given_in_the_step_that_takes_them_are_granted_twice(self) -> None:
        """Nobody can know of that step yet."""
        self.refute(JOINED, Rules(takes_before_giving=False))

    def test_a_lease_from_the_answer_outlasts_the_wait_for_it(self) -> None:
        """An answer may be late."""
        self.refute(REPLACED, Rules(lease_from_question=False))

    def test_a_new_leader_that_does_not_wait_grants_a_part_twice(self) -> None:
        """It doesn't know whom the leader before it has answered."""
        self.refute(REPLACED_IN_AN_ELECTION, Rules(new_leader_waits=False))

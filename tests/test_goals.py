"""Tests of the goal that a call has, by who sends it."""

import unittest

from tests.callers_case import GOAL_S, CallersTestCase


class GoalsTest(CallersTestCase):
    """Callers and upstreams that share a host with the proxy."""

    async def asyncSetUp(self) -> None:
        """Put a configuration in force."""
        await super().asyncSetUp()
        self.apply()

    async def test_a_caller_on_the_same_host_has_the_goal_of_its_route(self) -> None:
        """Its address doesn't tell it from the upstream there."""
        await self.code()
        self.assertLessEqual(self.goal_left(), GOAL_S)
        self.assertFalse(self.dispatcher.calls[-1].is_nested)

    async def test_a_call_of_the_upstream_here_is_nested(self) -> None:
        """Its id begins with that of a request which the upstream runs."""
        self.owner.running.add("parent")
        await self.code(**{"X-Request-Id": "parent.1"})
        self.assertTrue(self.dispatcher.calls[-1].is_nested)

    async def test_an_id_that_only_looks_nested_makes_no_nested_call(self) -> None:
        """The upstream here runs no such request."""
        await self.code(**{"X-Request-Id": "other.1"})
        self.assertFalse(self.dispatcher.calls[-1].is_nested)


if __name__ == "__main__":
    unittest.main()

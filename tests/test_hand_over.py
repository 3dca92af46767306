"""Tests of leadership hand-over at planned stops, over real processes."""

import signal
import unittest

from tools.fleet import Fleet, example_hosts

# Long enough that an election after the leader's silence can't be mistaken for one that the leader
# requested.
ELECTION_TIMEOUT_S = 10.0


class HandOverTest(unittest.IsolatedAsyncioTestCase):
    """Three replicas whose leader is stopped."""

    async def asyncSetUp(self) -> None:
        """Start a group with a long election timeout."""
        hosts = [host for host in example_hosts("quiros") if host.is_replica]
        self.fleet = Fleet(hosts=hosts, timing={"election_timeout": ELECTION_TIMEOUT_S})
        self.addCleanup(self.fleet.__exit__, None, None, None)
        self.fleet.create()
        for host in self.fleet.replicas:
            self.fleet.start_daemon(host)

    async def test_next_leader_is_elected_immediately(self) -> None:
        """The stopping leader names its successor, which is then elected.

        The leader records the outcome of the hand-over before its process ends.
        """
        leader = (await self.fleet.until_leader())["host"]
        self.fleet.signal_daemon(leader, signal.SIGTERM)
        self.fleet.wait_daemon(leader)
        hand_overs = [event for event in self.fleet.events() if event["kind"] == "handed-over"]
        self.assertEqual([event["detail"]["outcome"] for event in hand_overs], ["it stands"])
        status = await self.fleet.until_leader()
        self.assertEqual(status["host"], hand_overs[0]["detail"]["to"])


if __name__ == "__main__":
    unittest.main()

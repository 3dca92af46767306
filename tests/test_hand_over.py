"""Tests of planned stops of a leader, over real processes."""

import signal
import unittest

from tools.fleet import Fleet, example_hosts

# Long enough that an election which waits for the silence of the leader can't be taken for one
# that the leader asked for.
ELECTION_TIMEOUT_S = 10.0


class HandOverTest(unittest.IsolatedAsyncioTestCase):
    """Three replicas, of which the leader is stopped."""

    async def asyncSetUp(self) -> None:
        """Start a group whose voters would wait long for a silent leader."""
        hosts = [host for host in example_hosts("quiros") if host.is_replica]
        self.fleet = Fleet(hosts=hosts, timing={"election_timeout": ELECTION_TIMEOUT_S})
        self.addCleanup(self.fleet.__exit__, None, None, None)
        self.fleet.create()
        for host in self.fleet.replicas:
            self.fleet.start_daemon(host)

    async def test_the_next_leader_is_elected_at_once(self) -> None:
        """The one that stops names it, and it is known before the process has ended."""
        leader = (await self.fleet.until_leader())["host"]
        self.fleet.signal_daemon(leader, signal.SIGTERM)
        self.fleet.wait_daemon(leader)
        told = [event for event in self.fleet.events() if event["kind"] == "handed-over"]
        self.assertEqual([event["detail"]["outcome"] for event in told], ["it stands"])
        status = await self.fleet.until_leader()
        self.assertEqual(status["host"], told[0]["detail"]["to"])


if __name__ == "__main__":
    unittest.main()

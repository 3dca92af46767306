"""Tests with real processes of a configuration that was stored before a restart or an upgrade."""

import asyncio
import itertools
import json
import re
import unittest
from asyncio.subprocess import Process, create_subprocess_exec
from typing import Any, ClassVar
from unittest.mock import patch

from tests.processes_case import OPERATORS_PORT
from tests.teams_case import CLOSED, TeamsCase, bearer, configuration, team

RED_KEY, BLUE_KEY = "key-of-red-4711", "key-of-blue-0815"
TEAMS = (team("red", RED_KEY), team("blue", BLUE_KEY))
# An acknowledged version is in force everywhere within 2 s.
CONVERGENCE_TIMEOUT_S = 4.0
# Several times the interval at which a leader checks the release in force.
REPETITIONS_S = 4.0
UNREAD_PARTS = re.compile(r"^cowslipvane_unread_parts ([0-9.e+]+)$", re.MULTILINE)

# The program as it was when it didn't read the teams of a configuration: it stores none.
BUILD_WITHOUT_TEAMS = """
from cowslipvane.platform import _teams
_teams.decode_teams = lambda form: {}
_teams.decode_key_use = lambda form, rule: "ignored"
from tools.behind_relay import main
raise SystemExit(main())
"""


async def start_build_without_teams(python: str, *arguments: str, **options: Any) -> Process:
    """Start a process of that build, in place of this one's."""
    _, _, *addresses = arguments
    return await create_subprocess_exec(python, "-c", BUILD_WITHOUT_TEAMS, *addresses, **options)


class StoredConfigurationCase(TeamsCase):
    """A build without teams has acknowledged a configuration with teams; then comes this build."""

    teams: ClassVar[tuple[dict[str, Any], ...]] = TEAMS

    async def asyncSetUp(self) -> None:
        """Let that build store it, and restart all processes with this build."""
        with patch("asyncio.create_subprocess_exec", start_build_without_teams):
            await super().asyncSetUp()
            await self.start_serving(self.teams)
        self.assertFalse(await self.is_checked())
        await self.kill(*self.processes)
        await self.start(*self.processes)

        async def is_serving() -> bool:
            statuses = [await self.status(proxy) for proxy in self.proxies]
            return all(
                status.get("in_force") and self.lists_worker(status, self.owner)
                for status in statuses
            )

        await self.until(is_serving)

    async def is_checked(self) -> bool:
        """Return whether a key that no team has is refused."""
        answer = await self.ask(self.entry, "unknown-key", f"{CLOSED}1", bearer("of-nobody"))
        return answer.status == 401


class StoredConfigurationTest(StoredConfigurationCase):
    """The configuration is one that this build accepts, too."""

    # Guards against UNASKED after an upgrade: an acknowledged configuration is served without its
    # teams, as the build before read it, though the document that is kept has them.
    async def test_teams_of_a_stored_configuration_come_into_force(self) -> None:
        """No operator has to send another version for it."""
        await self.until(self.is_checked, timeout=CONVERGENCE_TIMEOUT_S)

    # Guards against another acknowledgement of a configuration whose teams aren't in force, since
    # an earlier build has accepted it without them.
    async def test_teams_of_a_configuration_that_is_sent_again_come_into_force(self) -> None:
        """The operator sends the same document, and gets a 200."""
        self.assertEqual(await self.replace(configuration(1, TEAMS)), 200)
        await self.until(self.is_checked, timeout=CONVERGENCE_TIMEOUT_S)


class StoredQuotaTest(StoredConfigurationCase):
    """The build before knew no quotas either, and has acknowledged one."""

    teams = (team("red", RED_KEY) | {"rate_per_s": 0.001, "burst": 1},)

    # Guards against quotas that are acknowledged and not kept after an upgrade (issue 55).
    async def test_quotas_of_a_stored_configuration_come_into_force(self) -> None:
        """No operator has to send another version for it."""
        serials = itertools.count()

        async def is_refused() -> bool:
            answer = await self.ask(self.entry, f"r{next(serials)}", f"{CLOSED}1", bearer(RED_KEY))
            return answer.status == 429

        await self.until(is_refused, timeout=CONVERGENCE_TIMEOUT_S * 2)


class StoredFaultTest(StoredConfigurationCase):
    """The configuration is one that this build refuses, since two teams have one key."""

    teams = (team("red", RED_KEY), team("blue", RED_KEY))

    # Guards against a leader that derives and refuses the same stored configuration once a second
    # for as long as it leads, and fills the event log with that.
    async def test_a_stored_configuration_that_is_refused_is_told_once(self) -> None:
        """By each process that leads."""
        await asyncio.sleep(REPETITIONS_S)
        events = [
            json.loads(line)["event"]
            for replica in self.core
            for line in (self.folder / f"{replica.host.name}.events").read_text().splitlines()
        ]
        refused = [
            event["host"]
            for event in events
            if event["kind"] == "release" and "has a key of" in event["detail"]["reason"]
        ]
        self.assertEqual(len(refused), len(set(refused)), refused)


class UnreadAfterRestartTest(TeamsCase):
    """A configuration asks for something that this build doesn't do, and all processes restart."""

    async def unread_parts(self) -> float:
        """Return the largest number of unread parts that a replica exports."""
        found = []
        for replica in self.core:
            url = f"http://{replica.host.ip}:{OPERATORS_PORT}/metrics"
            async with self.session.get(url) as response:
                found += UNREAD_PARTS.findall(await response.text())
        return max(map(float, found), default=0.0)

    # Guards against an operator who is told that nothing is unread, after a restart or a change of
    # the leader, while the same configuration is in force.
    async def test_unread_parts_are_exported_after_a_restart(self) -> None:
        """By any of the replicas."""
        form = configuration(1, TEAMS)
        form["clusters"][0]["tls"] = True
        await self.put_in_force(form)
        self.end_formation()
        before = await self.unread_parts()
        self.assertGreater(before, 0)
        await self.kill(*self.core)
        await self.start(*self.core)

        async def is_led() -> bool:
            statuses = [(await self.status(replica)).get("replica", {}) for replica in self.core]
            return any(status.get("leader") and status.get("accepted") for status in statuses)

        await self.until(is_led)
        self.assertEqual(await self.unread_parts(), before)


if __name__ == "__main__":
    unittest.main()

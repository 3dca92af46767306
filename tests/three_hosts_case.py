"""Base class for tests with three real processes and a configuration in force."""

import asyncio
import unittest
from pathlib import Path
from typing import ClassVar

from cowslipvane.access import key_digest
from tools.fleet import EXAMPLES, Fleet, Host, example_hosts

HOSTS = ("stock-1", "stock-2", "stock-3")
# A team, its key, and a route whose requests need that.
TEAM, TEAM_KEY = "night", "key-of-the-night-shift"
TEAM_ROUTE, TEAM_PATH = "stock-of-teams", "/stock/of-teams"


class ThreeHostsTestCase(unittest.IsolatedAsyncioTestCase):
    """The replicas of an example, each with a proxy; tests must leave all of them running."""

    fleet: ClassVar[Fleet]
    servers: ClassVar[list[str]]

    @classmethod
    def setUpClass(cls) -> None:
        """Start the processes and apply the resources."""
        hosts = [cls.customize_host(host) for host in example_hosts("quiros") if host.name in HOSTS]
        cls.fleet = Fleet(hosts=hosts)
        cls.addClassCleanup(cls.fleet.__exit__, None, None, None)
        cls.servers = [f"--server={address}" for address in cls.fleet.operators()]
        cls.fleet.create()
        cls.fleet.start()
        asyncio.run(cls.apply_resources(sum(bool(host.worker) for host in hosts)))

    @classmethod
    async def apply_resources(cls, workers: int) -> None:
        """Wait for the processes and apply the first version."""
        await cls.fleet.until_leader()
        await cls.fleet.until_workers(workers)
        cls.fleet.command("apply", "-f", str(cls.resources()), *cls.servers)
        await cls.fleet.until_in_force(1, HOSTS)

    @classmethod
    def customize_host(cls, host: Host) -> Host:
        """Return a host of the example with the changes that the tests need."""
        return host

    @classmethod
    def resources(cls) -> Path:
        """Return the file of resources to apply."""
        return EXAMPLES / "quiros" / "resources.toml"

    @classmethod
    def write_resources(cls, text: str) -> Path:
        """Write a file of resources, and return its path."""
        path = cls.fleet.folder / "resources.toml"
        path.write_text(text)
        return path


# Far more than the tests send.
QUOTA = ", rate = 1000, burst = 1000"


def team_resources(quota: str = "") -> str:
    """Return a team, with its quota if it has one, and the route that needs its key, as TOML."""
    targets = '[{ service = "stock", weight = 1 }]'
    route = f'path_prefix = "{TEAM_PATH}", access_keys = "required", targets = {targets}'
    return (
        f'\n[[resource]]\nkind = "team"\nname = "{TEAM}"\n'
        f'spec = {{ key_digests = ["{key_digest(TEAM_KEY)}"]{quota} }}\n'
        f'\n[[resource]]\nkind = "route"\nname = "{TEAM_ROUTE}"\nspec = {{ {route} }}\n'
    )

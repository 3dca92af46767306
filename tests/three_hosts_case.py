"""Base class for tests with three real processes and a configuration in force."""

import asyncio
import unittest
from pathlib import Path
from typing import ClassVar

from tools.fleet import EXAMPLES, Fleet, Host, example_hosts

HOSTS = ("stock-1", "stock-2", "stock-3")


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

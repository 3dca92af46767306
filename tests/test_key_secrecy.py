"""Tests that a process shows no key in anything that it writes, with real processes."""

import asyncio
import base64
import signal
import sys
import unittest
from collections.abc import Iterator
from pathlib import Path
from typing import Any
from urllib.parse import quote, quote_plus

import aiohttp

from tests.processes_case import OPERATORS_PORT
from tests.teams_case import CLOSED, ONCE, OPEN, TeamsCase, bearer, configuration, team
from tools.fleet import ROOT
from tools.http_messages import read_body, read_head
from tools.soak._hosts import CALLERS_PORT, CONTROL_PORT, GRACE

# Each has characters that URL encoding changes, and no part in common with another one.
GOOD, OTHER = "Zq7/Xw+Lr5=Vt2Nk9Pd4", "Bh3+Jm8/Cy6=Gf1Ws0Ea"
WITHDRAWN, ADDED = "Uo4/Tn7+Qi2=Rb9Xk5Lz", "Dv8+Ps1/Mg6=Hc3Yj0Fw"
UNKNOWN, REFUSED = "Ka5/We2+Io7=Ub4Nx9Tq", "Sy6+Rl3/Ep8=Jd1Zf0Vg"
KEYS = (GOOD, OTHER, WITHDRAWN, ADDED, UNKNOWN, REFUSED)
# A part of a key that is this long counts as the key.
PART_CHARACTERS = 10
# Three characters become four, whichever of them a key begins at.
BASE64_GROUP_BYTES = 3
EVENT_PATHS = ("/status", "/debug", "/events", "/metrics", "/v1/replicas")
RESOURCE_PATHS = (
    "/v1/resources",
    "/v1/resources/team/red",
    "/v1/resources/release/current",
    "/v1/history?from=0",
    "/v1/rollouts/x",
)
COMMANDS = (
    ("status",),
    ("debug",),
    ("get",),
    ("history",),
    ("timeline", "--output", "json"),
    ("explain", "once-0"),
    ("explain", "unknown-1"),
)
WATCH_TIME_S = 0.3
# Heads that can't be read, or aren't accepted, and show a key.
ODD_HEADS = (
    f"GET {CLOSED}1 HTTP/1.1\r\nHost: alpha.example\r\nAuthorization : Bearer {GOOD}\r\n\r\n",
    f"GET {CLOSED}1 HTTP/1.1\r\nHost: alpha.example\r\nAuthorization: Bearer {GOOD}\0\r\n\r\n",
    f"GET {CLOSED}1 HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer\r\n {GOOD}\r\n\r\n",
    f"GET {CLOSED}1 HTTP/1.1\r\nHost: a\r\nHost: b\r\nAuthorization: Bearer {GOOD}\r\n\r\n",
    f"GET {CLOSED}1 HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {GOOD}{'x' * 20_000}\r\n\r\n",
    f"GET {CLOSED}1 HTTP/1.1\r\nHost: alpha.example\r\nAuthorization: Basic {GOOD}\r\n\r\n",
    f"GET {CLOSED}../1 HTTP/1.1\r\nHost: alpha.example\r\nAuthorization: Bearer {GOOD}\r\n\r\n",
)


def forms(key: str) -> Iterator[bytes]:
    """Yield all forms of a key in which it may be found: plain, encoded for a URL, and base64."""
    for plain in (key, quote(key, safe=""), quote_plus(key, safe="/")):
        for start in range(len(plain) - PART_CHARACTERS + 1):
            yield plain[start : start + PART_CHARACTERS].encode()
    for encode in (base64.b64encode, base64.urlsafe_b64encode):
        for skipped in range(BASE64_GROUP_BYTES):
            whole = len(key) - skipped - (len(key) - skipped) % BASE64_GROUP_BYTES
            yield encode(key[skipped : skipped + whole].encode())


def shown(name: str, content: bytes) -> Iterator[str]:
    """Yield where some content shows a key, once for each key."""
    for key in KEYS:
        for form in forms(key):
            if (at := content.find(form)) >= 0:
                yield f"{name} shows {form!r}: {content[max(0, at - 80) : at + 80]!r}"
                break


class KeySecrecyTest(TeamsCase):
    """A small life of the processes, with all that they write and answer."""

    # Guards against a key in a log, a metric, a report or a refusal, where others can read it.
    async def test_nothing_that_is_written_shows_a_key(self) -> None:
        """Only the configuration that is read back, and the data folder of a replica, may."""
        self.answers: dict[str, bytes] = {}
        await self.start_serving([team("red", GOOD, WITHDRAWN), team("blue", OTHER)])
        await self.send_requests("before")
        await self.put_in_force(
            configuration(2, [team("red", GOOD), team("blue", OTHER), team("green", ADDED)])
        )
        await self.send_requests("after")
        await self.send_odd_heads()
        await self.send_odd_configurations()
        for process in self.processes:
            process.write_settings(first_start=False)
            process.signal(signal.SIGHUP)
        await self.ask_operators_api()
        await self.run_commands()
        await asyncio.wait_for(
            asyncio.gather(*(process.stop() for process in self.processes)), GRACE + 2
        )
        self.assertGreater(len(self.worker.received), 0)
        self.assertGreater(len(self.answers), len(self.processes) * len(EVENT_PATHS))
        places = [place for name, content in self.contents() for place in shown(name, content)]
        self.assertEqual(places, [])

    def contents(self) -> Iterator[tuple[str, bytes]]:
        """Yield the answers, the outputs, and the files but for those in replicas' data folders."""
        yield from self.answers.items()
        allowed = [replica.disk for replica in self.core]
        files = [path for path in self.folder.rglob("*") if path.is_file()]
        names = {path.name for path in files}
        for process in self.processes:
            self.assertIn(f"{process.host.name}.events", names)
        for path in files:
            if not any(path.is_relative_to(disk) for disk in allowed):
                yield str(path.relative_to(self.folder)), path.read_bytes()

    async def send_requests(self, phase: str) -> None:
        """Send requests with each key to each proxy, and keep the refusals."""
        requests: tuple[tuple[str, str, dict[str, str]], ...] = (
            ("good", CLOSED, bearer(GOOD)),
            ("once", ONCE, bearer(OTHER)),
            ("open", OPEN, bearer(OTHER)),
            ("withdrawn", CLOSED, bearer(WITHDRAWN)),
            ("unknown", CLOSED, bearer(UNKNOWN)),
            ("unknown-open", OPEN, bearer(UNKNOWN)),
            ("basic", CLOSED, {"Authorization": f"Basic {UNKNOWN}"}),
            ("twice", CLOSED, {**bearer(GOOD), "authorization": f"Bearer {OTHER}"}),
            ("missing", CLOSED, {}),
            ("no-route", "/elsewhere/", bearer(GOOD)),
            ("late", CLOSED, {**bearer(GOOD), "Deadline-Ms": "1"}),
        )
        for index, proxy in enumerate(self.proxies):
            for name, path, fields in requests:
                request_id = f"{name}-{index}" if phase == "before" else f"{name}-{index}-{phase}"
                answer = await self.ask(proxy, request_id, f"{path}1", fields)
                self.answers[f"answer to {request_id}"] = str(answer).encode()

    async def send_odd_heads(self) -> None:
        """Send heads that can't be read, and keep the answers."""
        for proxy in self.proxies:
            for index, head in enumerate(ODD_HEADS):
                reader, writer = await asyncio.open_connection(proxy.host.ip, CALLERS_PORT)
                writer.write(head.encode())
                try:
                    async with asyncio.timeout(2.0):
                        answer = await read_head(reader)
                        body = await read_body(reader, answer)
                except (asyncio.IncompleteReadError, ConnectionError, TimeoutError):
                    continue
                finally:
                    writer.close()
                content = str((answer, body)).encode()
                self.answers[f"{proxy.host.name}'s answer to {index}"] = content

    async def send_odd_configurations(self) -> None:
        """Send configurations that are refused, and keep the refusals."""
        red = team("red", GOOD)
        odd: tuple[Any, ...] = (
            [red, team("blue", REFUSED), team("green", REFUSED)],
            [red, team("blue", REFUSED, "")],
            [red, {**red, "name": "blue", "api_keys": REFUSED}],
            [red, {**red, "name": "blue", "api_keys": [[REFUSED]]}],
            [red, {**red, "name": "blue", "api_keys": {REFUSED: REFUSED}}],
            [red, {**red, "name": [REFUSED], "api_keys": [REFUSED]}],
            [red, REFUSED],
            {REFUSED: red},
            REFUSED,
            [red, {**red, "name": "blue", "api_keys": [REFUSED + "x" * 5_000]}],
            [red, {**red, "name": "blue", "api_keys": [f"{REFUSED}\n\u20ac"]}],
        )
        for index, teams in enumerate(odd):
            form = configuration(3, None) | {"tenants": teams}
            async with self.session.post(self.control("Config.Replace"), json=form) as response:
                self.answers[f"answer to configuration {index}"] = await response.read()
                if response.status == 200:
                    self.fail(f"configuration {index} was accepted")
        for body in (f'{{"tenants": "{REFUSED}"', f'"{REFUSED}"', REFUSED):
            async with self.session.post(self.control("Config.Replace"), data=body) as response:
                self.answers[f"answer to {body[:4]}"] = await response.read()
        async with self.session.post(self.control(f"Config.{REFUSED}")) as response:
            self.answers["answer to no call"] = await response.read()

    def control(self, call: str) -> str:
        """Return the URL of a call to the replica."""
        return f"http://{self.core[0].host.ip}:{CONTROL_PORT}/api/{call}"

    async def ask_operators_api(self) -> None:
        """Ask each process for all that it tells operators."""
        for process in self.processes:
            for path in (*EVENT_PATHS, *RESOURCE_PATHS):
                url = f"http://{process.host.ip}:{OPERATORS_PORT}{path}"
                async with self.session.get(url) as response:
                    self.answers[f"{process.host.name}{path}"] = await response.read()
        resources = self.answers[f"{self.core[0].host.name}/v1/resources"]
        self.assertIn(b"red", resources, "the teams aren't among the resources")
        url = f"http://{self.core[0].host.ip}:{OPERATORS_PORT}/v1/watch?from=0"
        self.answers["watch"] = await read_for(self.session, url, WATCH_TIME_S)

    async def run_commands(self) -> None:
        """Run the operators' commands."""
        server = f"--server={self.core[0].host.ip}:{OPERATORS_PORT}"
        for command, *arguments in COMMANDS:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *("-m", "cowslipvane", command, server, *arguments),
                stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.STDOUT,
                cwd=Path(ROOT),
            )
            output, _ = await process.communicate()
            self.assertEqual(process.returncode, 0, (command, output))
            self.answers[f"{command} {arguments}"] = output


async def read_for(session: aiohttp.ClientSession, url: str, seconds: float) -> bytes:
    """Return what a stream has sent by some time."""
    content = b""
    async with session.get(url) as response:
        try:
            async with asyncio.timeout(seconds):
                async for chunk in response.content.iter_any():
                    content += chunk
        except TimeoutError:
            pass
    return content


if __name__ == "__main__":
    unittest.main()

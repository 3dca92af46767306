"""Sound stand-in clients of one machine, as a process of their own.

`python review/client.py IP MACHINE SERVICE KIND COUNT LEAVING LEAVE_MS DEADLINE_MS PAUSE_MS
BODY_BYTES SECONDS LOG` keeps COUNT connections, on each of which one request follows another, and
writes what came of each request into LOG as a JSON line. On LEAVING of the connections the client
leaves after LEAVE_MS without an answer, by closing the connection.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import sys
import time
from contextlib import suppress
from pathlib import Path
from typing import TextIO

from wire import CALLERS_PORT, encode_head, read_body, read_head

CONNECT_TIMEOUT_S = 1.0
# A client leaves this long after its deadline, since an answer to it may still be on its way.
PATIENCE_S = 1.0
PAUSE_AFTER_FAILURE_S = 0.05
Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Clients:
    """The clients of one machine that call one service."""

    def __init__(
        self,
        *,
        ip: str,
        machine: str,
        service: str,
        kind: str,
        deadline_s: float,
        leave_s: float,
        pause_s: float,
        body: bytes,
        log: TextIO,
    ) -> None:
        self._ip, self._machine, self._service, self._kind = ip, machine, service, kind
        self._deadline_s, self._leave_s, self._pause_s = deadline_s, leave_s, pause_s
        self._body, self._log = body, log
        self._serial = 0

    async def run(self, until: float, patience_s: float) -> None:
        """Send one request after another on a kept connection."""
        connection: Connection | None = None
        while time.monotonic() < until:
            if connection is None or connection[0].at_eof() or connection[1].is_closing():
                connection = await self._connect()
                if connection is None:
                    await asyncio.sleep(PAUSE_AFTER_FAILURE_S * 2)
                    continue
            usable, pause = await self._ask(connection, patience_s)
            if not usable:
                connection[1].transport.abort()
                connection = None
            await asyncio.sleep(pause)
        if connection is not None:
            connection[1].transport.abort()

    async def _connect(self) -> Connection | None:
        """Open a connection."""
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                return await asyncio.open_connection(self._ip, CALLERS_PORT)
        return None

    async def _ask(self, connection: Connection, patience_s: float) -> tuple[bool, float]:
        """Send one request; return whether the connection can be used, and how long to wait."""
        reader, writer = connection
        self._serial += 1
        request = f"{os.getpid():x}{self._serial:06x}"
        method = "POST" if self._body or self._kind != "idempotent" else "GET"
        fields = {
            "Host": f"{self._service}.example",
            "Attempt-Id": request,
            "Deadline-Ms": str(round(self._deadline_s * 1000)),
        }
        if method == "POST":
            fields["Content-Length"] = str(len(self._body))
        line = f"{method} /{self._kind}/{request} HTTP/1.1"
        sent_at = time.monotonic()
        usable, pause, status, signature = False, PAUSE_AFTER_FAILURE_S, 0, ""
        try:
            async with asyncio.timeout(patience_s):
                writer.write(encode_head(line, fields) + self._body)
                head = await read_head(reader)
                answer = await read_body(reader, head)
            status, signature = head.status, head.fields.get("response-signature", "")
            detail = "" if status == 200 else answer.decode("utf-8", "replace")[:200]
            usable = not head.closes
            if status == 200:
                pause = self._pause_s * random.uniform(0.5, 1.5)
            else:
                retry_after = float(head.fields.get("retry-after", "0"))
                pause = max(min(retry_after, self._deadline_s / 3), PAUSE_AFTER_FAILURE_S)
        except TimeoutError:
            detail = "left"
        except asyncio.IncompleteReadError as error:
            detail = f"cut after {len(error.partial)} bytes"
        except OSError as error:
            detail = f"cut: {error!r}"
        entry = {
            "request": request,
            "machine": self._machine,
            "service": self._service,
            "kind": self._kind,
            "sent_at": sent_at,
            "ended_at": time.monotonic(),
            "status": status,
            "signature": signature,
            "detail": detail,
        }
        self._log.write(json.dumps(entry) + "\n")
        return usable, pause

    async def run_all(self, count: int, leaving: int, seconds: float) -> None:
        """Run several clients for some time, the first of which leave early."""
        until = time.monotonic() + seconds
        stays = self._deadline_s + PATIENCE_S
        patience = [self._leave_s] * leaving + [stays] * (count - leaving)
        await asyncio.gather(*(self.run(until, patience_s) for patience_s in patience))


def main() -> None:
    """Run the clients that the arguments describe."""
    ip, machine, service, kind, *numbers, log = sys.argv[1:]
    count, leaving, leave, deadline, pause, body_bytes, seconds = map(float, numbers)
    with Path(log).open("a", buffering=1) as file:
        clients = Clients(
            ip=ip,
            machine=machine,
            service=service,
            kind=kind,
            deadline_s=deadline / 1000,
            leave_s=leave / 1000,
            pause_s=pause / 1000,
            body=b"b" * int(body_bytes),
            log=file,
        )
        asyncio.run(clients.run_all(int(count), int(leaving), seconds))


if __name__ == "__main__":
    main()

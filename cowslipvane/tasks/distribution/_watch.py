"""The stream of resource changes for one operator."""

from __future__ import annotations

import json
from typing import Any

from aiohttp import web

from cowslipvane.tasks.distribution._publisher import Publisher
from cowslipvane.tasks.replication import Replication
from cowslipvane.types import Seconds, Version
from cowslipvane.wire import change_form, progress_form

# An idle stream gets an empty line at this interval, so that its reader can detect a dead server.
HEARTBEAT_INTERVAL: Seconds = 5.0


class Watch:
    """Sends each accepted version once, in order, and the progress of the newest."""

    def __init__(self, *, replication: Replication, publisher: Publisher, version: Version) -> None:
        self._replication = replication
        self._publisher = publisher
        self._version = version
        self._progress: Any = None

    async def run(self, request: web.BaseRequest) -> web.StreamResponse:
        """Send lines until the reader disconnects, the lease ends, or versions would be skipped."""
        stream = web.StreamResponse(headers={"Content-Type": "application/jsonl"})
        await stream.prepare(request)
        while self._replication.holds_lease:
            if self._version < self._replication.replica.catalogue.oldest_version:
                break
            lines = [json.dumps(form).encode() + b"\n" for form in self._updates()]
            await stream.write(b"".join(lines) or b"\n")
            await self._publisher.convergence_changed.wait(HEARTBEAT_INTERVAL)
        return stream

    def _updates(self) -> list[Any]:
        """Return the changes and the progress that the reader doesn't have yet."""
        catalogue = self._replication.replica.catalogue
        updates: list[Any] = [change_form(change) for change in catalogue.history(self._version)]
        self._version = max(self._version, catalogue.version)
        progress = progress_form(
            self._publisher.convergence.progress(catalogue.version, catalogue.acceptance_times())
        )
        if progress != self._progress:
            self._progress = progress
            updates.append(progress)
        return updates

"""The stream of one operator who watches resources."""

from __future__ import annotations

import json
from typing import Any

from aiohttp import web

from cowslipvane.tasks._publisher import Publisher
from cowslipvane.tasks._replication import Replication
from cowslipvane.types import Seconds, Version
from cowslipvane.wire import change_form, progress_form

# An idle stream gets an empty line this often, so that its reader notices a silent server.
HEARTBEAT: Seconds = 5.0


class Watch:
    """Sends each accepted version once, in order, and how far the newest has come."""

    def __init__(self, *, replication: Replication, publisher: Publisher, version: Version) -> None:
        self._replication = replication
        self._publisher = publisher
        self._version = version
        self._progress: Any = None

    async def run(self, http: web.BaseRequest) -> web.StreamResponse:
        """Send lines until the reader leaves, this replica leads no more, or a gap would arise."""
        stream = web.StreamResponse(headers={"Content-Type": "application/jsonl"})
        await stream.prepare(http)
        while self._replication.holds_lease:
            if self._version < self._replication.replica.catalogue.oldest_version:
                break
            lines = [json.dumps(form).encode() + b"\n" for form in self._news()]
            await stream.write(b"".join(lines) or b"\n")
            await self._publisher.rollout_changed.wait(HEARTBEAT)
        return stream

    def _news(self) -> list[Any]:
        """Return what the reader was not told yet."""
        catalogue = self._replication.replica.catalogue
        news: list[Any] = [change_form(change) for change in catalogue.history(self._version)]
        self._version = max(self._version, catalogue.version)
        progress = progress_form(
            self._publisher.rollout.progress(catalogue.version, catalogue.accepted_at())
        )
        if progress != self._progress:
            self._progress = progress
            news.append(progress)
        return news

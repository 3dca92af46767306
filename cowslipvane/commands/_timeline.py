"""The time line: events of all processes in one order, so that causes come before effects."""

from __future__ import annotations

import datetime
import json
from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

from cowslipvane.commands._errors import CommandFailed, open_client
from cowslipvane.events import EventForm, read_events, rotated_path


class Filter(NamedTuple):
    """Which events are wanted; empty texts, 0 and None want any. Times are wall seconds."""

    request: str = ""
    version: int = 0
    upstream: str = ""
    since: float | None = None
    until: float | None = None

    def matches(self, event: EventForm) -> bool:
        """Return whether an event is wanted."""
        about = {event["host"], event["detail"].get("owner"), event["detail"].get("member")}
        return (
            self.request in ("", event["request"])
            and self.version in (0, event["version"])
            and (not self.upstream or self.upstream in about)
            and (self.since is None or event["wall"] >= self.since)
            and (self.until is None or event["wall"] <= self.until)
        )


class Timeline(NamedTuple):
    """Events in order, and a sentence for each thing that is missing from them."""

    events: list[EventForm]
    gaps: list[str]

    def as_json(self) -> str:
        """Return the time line for programs."""
        return json.dumps(self._asdict(), indent=2)

    def as_text(self) -> str:
        """Return the time line for people, an event a line."""
        return "\n".join([*map(format_event, self.events), *(f"! {gap}" for gap in self.gaps)])


async def timeline_from_processes(servers: tuple[str, ...], wanted: Filter) -> Timeline:
    """Merge the events that live processes hold in memory."""
    path = f"/v1/events?request={wanted.request}&version={wanted.version}"
    async with open_client(servers) as client:
        found = await client.request_all(path)
    gaps = [f"{host} did not answer: {why}" for host, why in sorted(found.errors.items())]
    for host, answer in sorted(found.responses.items()):
        gaps += [f"{host} {gap}" for gap in _losses(answer["counts"])]
    events = [event for answer in found.responses.values() for event in answer["events"]]
    return Timeline(merge(events, wanted), gaps)


def timeline_from_files(paths: tuple[Path, ...], wanted: Filter) -> Timeline:
    """Merge the events of event files, each with the older file beside it."""
    missing = [str(path) for path in paths if not path.is_file()]
    if missing:
        raise CommandFailed(f"{', '.join(missing)}: no such file; name event files that exist")
    both = {file: None for path in paths for file in (rotated_path(path), path)}
    return Timeline(merge(read_events(both), wanted), [])


def merge(events: Iterable[EventForm], wanted: Filter) -> list[EventForm]:
    """Return the wanted events in the order of their stamps, each once."""
    once = {_order(event): event for event in events if wanted.matches(event)}
    return [once[key] for key in sorted(once)]


def format_event(event: EventForm) -> str:
    """Return one event as a line."""
    moment = datetime.datetime.fromtimestamp(event["wall"], datetime.UTC)
    about = [f"version={event['version']}"] if event["version"] else []
    about += [f"request={event['request']}"] if event["request"] else []
    about += [f"{name}={value}" for name, value in event["detail"].items()]
    stamp = f"{moment:%Y-%m-%dT%H:%M:%S.%f}+{event['logical']}"
    return " ".join([stamp, event["host"], event["kind"], *about])


def _order(event: EventForm) -> tuple[Any, ...]:
    """Return what orders events of all processes, and is the event's own."""
    return event["wall"], event["logical"], event["host"], event["process"], event["kind"]


def _losses(counts: dict[str, int]) -> list[str]:
    """Return a sentence for each kind of loss that a process counts."""
    sentences = {
        "dropped_from_memory": "events are no longer in memory; see its event file",
        "dropped_from_file": "events were deleted with older event files",
        "never_written": "events never reached its event file",
        "never_copied": "refusals have no copy at another process",
    }
    return [f"{counts[name]} {text}" for name, text in sentences.items() if counts.get(name)]

"""The timeline: events of all processes in one order, in which causes precede effects."""

from __future__ import annotations

import datetime
import json
from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

from cowslipvane.commands._errors import CommandFailed, open_client
from cowslipvane.events import EventForm, read_events, rotated_path


class Filter(NamedTuple):
    """Criteria for events; an empty text, 0 or None matches any. Times are wall-clock seconds."""

    request: str = ""
    version: int = 0
    upstream: str = ""
    since: float | None = None
    until: float | None = None

    def matches(self, event: EventForm) -> bool:
        """Return whether an event meets all criteria."""
        related_hosts = {event["host"], event["detail"].get("owner"), event["detail"].get("member")}
        return (
            self.request in ("", event["request"])
            and self.version in (0, event["version"])
            and (not self.upstream or self.upstream in related_hosts)
            and (self.since is None or event["wall"] >= self.since)
            and (self.until is None or event["wall"] <= self.until)
        )


class Timeline(NamedTuple):
    """Events in order, and a sentence for each known gap."""

    events: list[EventForm]
    gaps: list[str]

    def as_json(self) -> str:
        """Return the timeline as JSON."""
        return json.dumps(self._asdict(), indent=2)

    def as_text(self) -> str:
        """Return the timeline as text, with one event per line."""
        return "\n".join([*map(format_event, self.events), *(f"! {gap}" for gap in self.gaps)])


async def timeline_from_processes(servers: tuple[str, ...], criteria: Filter) -> Timeline:
    """Merge the events that running processes hold in memory."""
    path = f"/v1/events?request={criteria.request}&version={criteria.version}"
    async with open_client(servers) as client:
        all_responses = await client.request_all(path)
    gaps = [
        f"{host} did not answer: {reason}" for host, reason in sorted(all_responses.errors.items())
    ]
    for host, response in sorted(all_responses.responses.items()):
        gaps += [f"{host} {gap}" for gap in _losses(response["counts"])]
    events = [
        event for response in all_responses.responses.values() for event in response["events"]
    ]
    return Timeline(merge(events, criteria), gaps)


def timeline_from_files(paths: tuple[Path, ...], criteria: Filter) -> Timeline:
    """Merge the events of event files and of the rotated files beside them."""
    missing = [str(path) for path in paths if not path.is_file()]
    if missing:
        raise CommandFailed(f"{', '.join(missing)}: no such file; name event files that exist")
    with_rotated = {file: None for path in paths for file in (rotated_path(path), path)}
    return Timeline(merge(read_events(with_rotated), criteria), [])


def merge(events: Iterable[EventForm], criteria: Filter) -> list[EventForm]:
    """Return the events that match, without duplicates, in the order of their stamps."""
    unique = {_sort_key(event): event for event in events if criteria.matches(event)}
    return [unique[key] for key in sorted(unique)]


def format_event(event: EventForm) -> str:
    """Return an event as one line of text."""
    moment = datetime.datetime.fromtimestamp(event["wall"], datetime.UTC)
    attributes = [f"version={event['version']}"] if event["version"] else []
    attributes += [f"request={event['request']}"] if event["request"] else []
    attributes += [f"{name}={value}" for name, value in event["detail"].items()]
    stamp = f"{moment:%Y-%m-%dT%H:%M:%S.%f}+{event['logical']}"
    return " ".join([stamp, event["host"], event["kind"], *attributes])


def _sort_key(event: EventForm) -> tuple[Any, ...]:
    """Return a key that identifies an event and orders events of all processes."""
    return event["wall"], event["logical"], event["host"], event["process"], event["kind"]


def _losses(counts: dict[str, int]) -> list[str]:
    """Return a sentence for each kind of event loss that a process counts."""
    sentences = {
        "dropped_from_memory": "events are no longer in memory; see its event file",
        "dropped_from_file": "events were deleted with older event files",
        "never_written": "events never reached its event file",
        "never_copied": "refusals have no copy at another process",
    }
    return [f"{counts[name]} {text}" for name, text in sentences.items() if counts.get(name)]

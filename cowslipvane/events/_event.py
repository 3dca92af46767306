"""Events, with one schema in memory, on links and as JSON."""

from __future__ import annotations

from typing import Literal, NamedTuple, TypedDict, get_args

from cowslipvane.events._clock import Stamp
from cowslipvane.types import DataCentre, HostName

EventKind = Literal[
    "accepted",
    "applied",
    "attempt",
    "broken",
    "cancelled",
    "candidate",
    "contact",
    "cut",
    "departure",
    "disk",
    "eased",
    "failed",
    "fence",
    "floor",
    "folder-refused",
    "folder-set-aside",
    "handed-over",
    "ignored",
    "late",
    "leader",
    "leaving",
    "limited",
    "lost",
    "malformed",
    "member",
    "no-quorum",
    "not-joined",
    "peer",
    "quota-division",
    "quota-holder",
    "quota-share",
    "recovered",
    "refusal",
    "regrouped",
    "rejected",
    "release",
    "reloaded",
    "rollout",
    "stalled",
    "started",
    "stopped",
    "unsubscribed",
    "verdict",
    "worker",
    "worker-leaving",
    "worker-silent",
]
EVENT_KINDS: tuple[str, ...] = get_args(EventKind)


class EventForm(TypedDict):
    """An event as JSON."""

    kind: str
    wall: float
    logical: int
    host: str
    data_centre: str
    process: int
    request: str
    version: int
    detail: dict[str, str]


class Origin(NamedTuple):
    """The process that recorded an event; process is its process ID."""

    host: HostName
    data_centre: DataCentre
    process: int


class Event(NamedTuple):
    """Something that a process did or decided."""

    kind: str
    stamp: Stamp
    request: str
    version: int
    detail: dict[str, str]


def event_form(origin: Origin, event: Event) -> EventForm:
    """Return an event and its origin as JSON."""
    return EventForm(
        kind=event.kind,
        wall=event.stamp.wall,
        logical=event.stamp.logical,
        host=origin.host,
        data_centre=origin.data_centre,
        process=origin.process,
        request=event.request,
        version=event.version,
        detail=event.detail,
    )

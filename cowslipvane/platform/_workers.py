"""Decoding of workers' heartbeats into announcements."""

from __future__ import annotations

import json
import math
from typing import Any

from cowslipvane.membership import MAX_ORDER, Announcement, Worker
from cowslipvane.types import Address, ServiceName

# Each slot costs tasks and connections, so the number that a worker may announce is limited.
_MAX_SLOTS = 1024
# The phases in which a worker takes no new work.
_LEAVING_PHASES = frozenset({"draining"})


def decode_announcement(instance: str, body: bytes) -> Announcement:
    """Return the announcement in a heartbeat; raise ValueError if it describes no valid worker.

    All fields are checked, since one that is odd tells that the heartbeat isn't a worker's.
    """
    try:
        form = json.loads(body)
        info, status = form["info"], form["status"]
        worker = Worker(
            ServiceName(_text(info["service"])),
            Address.parse(form["address"]),
            _count(info["max_concurrency"], _MAX_SLOTS),
            0,
            instance,
            _text(info["version"]),
        )
        if not instance or worker.fault:
            raise ValueError(worker.fault or "the path names no instance")
        _text(info["zone"])
        phase = _text(status["phase"])
        if phase != "ready" and phase not in _LEAVING_PHASES:
            raise ValueError(f"found phase {phase!r}")
        return Announcement(
            worker=worker,
            state="leaving" if phase in _LEAVING_PHASES else "ready",
            # The start of this incarnation of the worker, in milliseconds of Unix time.
            started_at=_count(form.get("born", 0), MAX_ORDER, minimum=0),
            sequence=_count(status["sequence"], MAX_ORDER, minimum=0),
            cold_for=_seconds(status["cold_remaining_s"]),
        )
    except (LookupError, TypeError, AttributeError, RecursionError, OverflowError) as error:
        raise ValueError(f"the heartbeat can't be read: {error!r}") from error


def decode_start(body: bytes) -> int | None:
    """Return when the worker started that reports its end, None if it doesn't tell.

    Raise ValueError if the report can't be read.
    """
    if not body:
        return None
    try:
        form = json.loads(body)
    except RecursionError as error:
        raise ValueError(f"the report can't be read: {error!r}") from error
    if not isinstance(form, dict):
        raise ValueError(f"found {form!r:.80}; allowed is an object")
    return _count(form["born"], MAX_ORDER, minimum=0) if "born" in form else None


def _text(value: Any) -> str:
    """Return a text unchanged; raise ValueError if it is empty or of another type."""
    if not isinstance(value, str) or not value:
        raise ValueError(f"found {value!r:.80}; allowed is a text")
    return value


def _seconds(value: Any) -> float:
    """Return a time in seconds; raise ValueError if a value is none."""
    if type(value) not in (int, float) or not 0 <= value < math.inf:
        raise ValueError(f"found {value!r:.80}; allowed is a time of 0 and more")
    return float(value)


def _count(value: Any, maximum: int, minimum: int = 1) -> int:
    """Return a whole number; raise ValueError if it is out of range or of another type."""
    if type(value) is not int or not minimum <= value <= maximum:
        raise ValueError(
            f"found {value!r:.80}; allowed is a whole number from {minimum} to {maximum}"
        )
    return value

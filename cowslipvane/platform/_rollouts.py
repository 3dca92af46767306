"""Decoding of the platform's orders to move a service to another version, and their states."""

from __future__ import annotations

import json
import math
from typing import Any, NamedTuple, TypedDict

from cowslipvane.catalogue import Rollout
from cowslipvane.platform._known_fields import unread_in_order
from cowslipvane.types import Seconds, ServiceName

_PHASES = {"running": "running", "completed": "completed", "rolled-back": "rolled_back"}


class RolloutOrder(NamedTuple):
    """An order to move a service's requests to upstreams of a version within a time.

    unread are the fields of its document that should be acted on and aren't.
    """

    service: ServiceName
    target_version: str
    duration: Seconds
    unread: tuple[str, ...] = ()


class RolloutForm(TypedDict):
    """The state of a rollout."""

    phase: str
    target_version: str


def decode_rollout(body: bytes) -> RolloutOrder:
    """Return the order in a body; raise ValueError if it can't be read in full."""
    try:
        form = json.loads(body)
        return RolloutOrder(
            ServiceName(_text(form["service"])),
            _text(form["target_version"]),
            _seconds(form["duration_s"]),
            unread_in_order(form),
        )
    except (LookupError, TypeError, RecursionError, OverflowError) as error:
        raise ValueError(f"the order can't be read: {error!r}") from error


def rollout_form(rollout: Rollout) -> RolloutForm:
    """Return the state of a rollout in the platform's words."""
    return RolloutForm(phase=_PHASES[rollout.phase], target_version=rollout.target_version)


def _text(value: Any) -> str:
    """Return a text unchanged; raise ValueError if it is empty or of another type."""
    if not isinstance(value, str) or not value:
        raise ValueError(f"found {value!r:.80}; allowed is a text")
    return value


def _seconds(value: Any) -> float:
    """Return a time in seconds; raise ValueError for any other value."""
    if type(value) not in (int, float) or not math.isfinite(value):
        raise ValueError(f"found {value!r:.80}; allowed is a time in seconds")
    return float(value)

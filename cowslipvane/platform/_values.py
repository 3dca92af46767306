"""Values of the platform's configuration, each checked for its type."""

from __future__ import annotations

import math
from typing import Any

from cowslipvane.types import MAX_INT64, MIN_INT64

_MAX_HOST_CHARACTERS = 1024


def read_text(value: Any) -> str:
    """Return a text unchanged; raise ValueError for any other type."""
    if not isinstance(value, str):
        raise ValueError(f"found {value!r:.80}; allowed is a text")
    return value


def read_host(value: Any) -> str:
    """Return a host; raise ValueError if it is too long for one, since each route repeats it."""
    host = read_text(value)
    if len(host) > _MAX_HOST_CHARACTERS:
        raise ValueError(f"found host {host!r:.80}; allowed are {_MAX_HOST_CHARACTERS} characters")
    return host


def read_rank(value: Any) -> int:
    """Return the rank of a route, the lowest or highest that there is for one beyond it."""
    return min(max(read_whole(value), MIN_INT64), MAX_INT64)


def read_whole(value: Any) -> int:
    """Return a whole number; raise ValueError for any other value, OverflowError if infinite."""
    if type(value) not in (int, float) or value != int(value):
        raise ValueError(f"found {value!r:.80}; allowed is a whole number")
    return int(value)


def read_seconds(value: Any) -> float:
    """Return a time in seconds; raise ValueError if it isn't a finite number.

    An integer that is too large for a float raises OverflowError.
    """
    if type(value) not in (int, float) or not math.isfinite(value):
        raise ValueError(f"found {value!r:.80}; allowed is a time in seconds")
    return float(value)

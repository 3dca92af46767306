"""Internal state of a process for debugging."""

from __future__ import annotations

import asyncio
import dataclasses
import gc
import importlib.metadata
import os
import platform
import resource
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from cowslipvane.events import EventLog
from cowslipvane.membership import Membership
from cowslipvane.settings import Settings
from cowslipvane.tasks.operators._metrics_collector import count_states

_LIBRARIES = ("cowslipvane", "aiohttp", "cattrs", "cbor2", "prometheus_client", "websockets")
_STATM = Path("/proc/self/statm")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def debug_form(
    *,
    settings: Settings,
    membership: Membership,
    events: EventLog,
    connections: Mapping[str, int],
    started_at: float,
) -> dict[str, Any]:
    """Return the internal state of the process as JSON, without secrets."""
    now = time.monotonic()
    return {
        "host": settings.host,
        "process": {"id": os.getpid(), "uptime_seconds": round(now - started_at, 3)},
        "versions": {"python": platform.python_version(), **_library_versions()},
        "settings": dataclasses.asdict(settings),
        "members": dict(count_states(membership, now)),
        "peer_connections": dict(connections),
        "events": events.counts,
        "tasks": len(asyncio.all_tasks()),
        "gc": {"collections": [generation["collections"] for generation in gc.get_stats()]},
        "memory": _memory(),
        "processor_seconds": round(time.process_time(), 3),
    }


def _library_versions() -> dict[str, str]:
    """Return the versions of this program and of its libraries."""
    return {name: importlib.metadata.version(name) for name in _LIBRARIES}


def _memory() -> dict[str, int]:
    """Return the current and the peak resident memory in bytes."""
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
    if not _STATM.exists():
        return {"peak_bytes": peak}
    return {"resident_bytes": int(_STATM.read_text().split()[1]) * _PAGE_BYTES, "peak_bytes": peak}

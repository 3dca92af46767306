"""Events of every process, under one schema and one order."""

from cowslipvane.events._clock import HybridClock, Stamp
from cowslipvane.events._event import EVENT_KINDS, Event, EventForm, EventKind, Origin, event_form
from cowslipvane.events._file import EventFile, open_event_file, read_events, rotated_path
from cowslipvane.events._log import EventLog
from cowslipvane.events._stream import EventStream
from cowslipvane.events._unread import UnreadDetail, unread_detail

__all__ = [
    "EVENT_KINDS",
    "Event",
    "EventFile",
    "EventForm",
    "EventKind",
    "EventLog",
    "EventStream",
    "HybridClock",
    "Origin",
    "Stamp",
    "UnreadDetail",
    "event_form",
    "read_events",
    "rotated_path",
    "unread_detail",
    "open_event_file",
]

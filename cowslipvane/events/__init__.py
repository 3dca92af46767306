"""Events of every process, under one schema and one order."""

from cowslipvane.events._clock import HybridClock, Stamp
from cowslipvane.events._log import Event, EventForm, EventLog

__all__ = ["Event", "EventForm", "EventLog", "HybridClock", "Stamp"]

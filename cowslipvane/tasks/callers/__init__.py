"""Calls of callers: one task for each connection, which routes, dispatches and responds."""

from cowslipvane.tasks.callers._callers import Callers
from cowslipvane.tasks.callers._dispatcher import Dispatcher

__all__ = [
    "Callers",
    "Dispatcher",
]

"""Membership: which processes are up, leaving or gone, and how their records spread."""

from cowslipvane.membership._announcements import Announcement, Announcements
from cowslipvane.membership._facts import (
    MAX_HOST_DEPARTURES,
    Departure,
    FactRegister,
    HostFacts,
    WorkerLimit,
)
from cowslipvane.membership._feed import Feed
from cowslipvane.membership._member import MAX_ORDER, Member, Order, Stamp, Worker
from cowslipvane.membership._membership import SUSPICION_TIMEOUT, Membership
from cowslipvane.membership._messages import Compare, Exchange, ExchangeReply, Hello
from cowslipvane.membership._topology import Neighbour

__all__ = [
    "MAX_HOST_DEPARTURES",
    "MAX_ORDER",
    "SUSPICION_TIMEOUT",
    "Announcement",
    "Announcements",
    "Compare",
    "Departure",
    "FactRegister",
    "Exchange",
    "ExchangeReply",
    "Feed",
    "Hello",
    "HostFacts",
    "Member",
    "Membership",
    "Neighbour",
    "Order",
    "Stamp",
    "Worker",
    "WorkerLimit",
]

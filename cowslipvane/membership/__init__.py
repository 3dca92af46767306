"""Membership: which processes are up, leaving or gone, and how their records spread."""

from cowslipvane.membership._announcements import Announcement, Announcements
from cowslipvane.membership._departures import (
    MAX_HOST_DEPARTURES,
    Departure,
    DepartureRegister,
    HostDepartures,
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
    "DepartureRegister",
    "Exchange",
    "ExchangeReply",
    "Feed",
    "Hello",
    "HostDepartures",
    "Member",
    "Membership",
    "Neighbour",
    "Order",
    "Stamp",
    "Worker",
]

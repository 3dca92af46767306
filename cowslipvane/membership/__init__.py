"""Membership: which processes are up, leaving or gone, and how their records spread."""

from cowslipvane.membership._announcements import Announcement, Announcements
from cowslipvane.membership._feed import Feed
from cowslipvane.membership._member import Member, Order, Stamp, Worker
from cowslipvane.membership._membership import SUSPICION_TIMEOUT, Membership
from cowslipvane.membership._messages import Compare, Exchange, ExchangeReply, Hello
from cowslipvane.membership._topology import Neighbour

__all__ = [
    "SUSPICION_TIMEOUT",
    "Announcement",
    "Announcements",
    "Compare",
    "Exchange",
    "ExchangeReply",
    "Feed",
    "Hello",
    "Member",
    "Membership",
    "Neighbour",
    "Order",
    "Stamp",
    "Worker",
]

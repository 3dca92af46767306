"""Calls, their attempts and verdicts, and the messages between entry proxies and owners."""

from cowslipvane.call._attempts import Attempts, Forgotten, NeverStarted, Over, UnderWay
from cowslipvane.call._body import Arrivals, Arriving, Overflow, parts_of
from cowslipvane.call._call import Call
from cowslipvane.call._head import head_fault
from cowslipvane.call._headers import end_to_end
from cowslipvane.call._messages import (
    Answer,
    AttemptId,
    Cancel,
    Chunk,
    Fence,
    Offer,
    OwnerMessage,
    Refused,
    Reply,
    Request,
)
from cowslipvane.call._names import OWN_NAMES, HeaderNames

__all__ = [
    "Arrivals",
    "Arriving",
    "Overflow",
    "parts_of",
    "Answer",
    "AttemptId",
    "Attempts",
    "Call",
    "Cancel",
    "Chunk",
    "Fence",
    "Forgotten",
    "HeaderNames",
    "NeverStarted",
    "OWN_NAMES",
    "Offer",
    "Over",
    "OwnerMessage",
    "Refused",
    "Reply",
    "Request",
    "UnderWay",
    "end_to_end",
    "head_fault",
]

"""A caller's request: its attempts, their verdicts, and the messages that carry it."""

from cowslipvane.call._call import Call
from cowslipvane.call._headers import end_to_end
from cowslipvane.call._messages import (
    Answer,
    AttemptId,
    Cancel,
    Chunk,
    Offer,
    OwnerMessage,
    Refused,
    Request,
)

__all__ = [
    "Answer",
    "AttemptId",
    "Call",
    "Cancel",
    "Chunk",
    "Offer",
    "OwnerMessage",
    "Refused",
    "Request",
    "end_to_end",
]

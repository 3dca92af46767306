"""Calls, their attempts and verdicts, and the messages between entry proxies and owners."""

from cowslipvane.call._attempts import (
    Attempts,
    Ended,
    FenceOutcome,
    Forgotten,
    NeverStarted,
    Running,
)
from cowslipvane.call._body import Incomplete, OfferAssembler, Overflow, split_offer
from cowslipvane.call._body_account import DEFAULT_BODY_BYTES, MAX_SMALL_BODY_BYTES, BodyAccount
from cowslipvane.call._byte_limit import ByteLimit
from cowslipvane.call._call import Call
from cowslipvane.call._exchange import (
    ClosedByCaller,
    ConnectionEnd,
    Exchange,
    HandlerFailed,
    ProcessExited,
    Progress,
    ResponseBroken,
    describe_end,
)
from cowslipvane.call._head import head_fault
from cowslipvane.call._header_names import DEFAULT_HEADER_NAMES, KEY_FIELD, HeaderNames
from cowslipvane.call._headers import end_to_end_headers
from cowslipvane.call._held_bodies import HeldBodies
from cowslipvane.call._messages import (
    Answer,
    AttemptId,
    Cancel,
    Chunk,
    Fence,
    Offer,
    OwnerMessage,
    Refused,
    Request,
    SendReply,
    payload_size,
)

__all__ = [
    "OfferAssembler",
    "Incomplete",
    "Overflow",
    "split_offer",
    "Answer",
    "AttemptId",
    "Attempts",
    "BodyAccount",
    "ByteLimit",
    "DEFAULT_BODY_BYTES",
    "KEY_FIELD",
    "MAX_SMALL_BODY_BYTES",
    "HeldBodies",
    "Call",
    "Cancel",
    "Chunk",
    "ClosedByCaller",
    "ConnectionEnd",
    "Exchange",
    "Fence",
    "FenceOutcome",
    "Forgotten",
    "HandlerFailed",
    "HeaderNames",
    "NeverStarted",
    "DEFAULT_HEADER_NAMES",
    "Offer",
    "Ended",
    "OwnerMessage",
    "ProcessExited",
    "Progress",
    "Refused",
    "ResponseBroken",
    "SendReply",
    "Request",
    "Running",
    "describe_end",
    "end_to_end_headers",
    "head_fault",
    "payload_size",
]

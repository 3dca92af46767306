"""What becomes of a request: its response has begun, or it is refused."""

from __future__ import annotations

from dataclasses import dataclass

from cowslipvane.call import Call, Exchange
from cowslipvane.refusal import Refusal
from cowslipvane.tasks.callers._dispatcher import StartedResponse


@dataclass(frozen=True, slots=True, kw_only=True)
class CallResponse:
    """The response to a call has begun."""

    exchange: Exchange
    call: Call
    started: StartedResponse


@dataclass(frozen=True, slots=True, kw_only=True)
class CallRefusal:
    """A call is refused; close means that the connection can't be used further."""

    exchange: Exchange
    refusal: Refusal
    close: bool = False

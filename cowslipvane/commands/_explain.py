"""Explanation of what happened to a request."""

from __future__ import annotations

import json
from typing import NamedTuple

from cowslipvane.commands._errors import CommandFailed
from cowslipvane.commands._timeline import Timeline, format_event
from cowslipvane.events import EventForm
from cowslipvane.types import Verdict

_UNKNOWN_OUTCOME = (
    "The request was handed to an upstream, and no answer is on record."
    " The request may have run: check before you send it again."
)


class Account(NamedTuple):
    """What happened to a request, and its events.

    asked is the method and path of the request, decision is its refusal or the status of its
    response, verdict is whether it ran, and sentence is the explanation for the caller.
    """

    request: str
    asked: str
    decision: str
    verdict: str
    sentence: str
    events: list[EventForm]

    def as_json(self) -> str:
        """Return the account as JSON."""
        return json.dumps(self._asdict(), indent=2)

    def as_text(self) -> str:
        """Return the account as text."""
        lines = [
            self.sentence,
            f"  asked:    {self.asked}",
            f"  decided:  {self.decision}",
            f"  whether it ran: {self.verdict}",
        ]
        return "\n".join([*lines, *(f"  {format_event(event)}" for event in self.events)])


def _place(detail: dict[str, str]) -> str:
    """Return by which route and version a request was refused, an empty text if none decided."""
    if not detail.get("route"):
        return ""
    return f" by route {detail['route']} of version {detail['routed_by']}"


def build_account(request: str, timeline: Timeline) -> Account:
    """Build the account of a request from its events; raise CommandFailed if there are none."""
    if not timeline.events:
        gaps = f" ({'; '.join(timeline.gaps)})" if timeline.gaps else ""
        raise CommandFailed(f"no events of request {request} found; check the id{gaps}")
    asked = next(
        (event["detail"]["asked"] for event in timeline.events if "asked" in event["detail"]), "?"
    )
    refusals = [event for event in timeline.events if event["kind"] == "refusal"]
    verdicts = [event for event in timeline.events if event["kind"] == "verdict"]
    late = [event for event in timeline.events if event["kind"] == "late"]
    match refusals, late or verdicts:
        case [first, *_], _:
            # The caller received this refusal, so it takes precedence over all other events.
            detail = first["detail"]
            decision = f"refused as {detail['code']}{_place(detail)}"
            verdict, sentence = detail["verdict"], detail["sentence"]
        case [], [*_, {"kind": "late", "detail": detail}]:
            owner, status = detail["owner"], detail["status"]
            decision = f"answered with HTTP status {status}, late"
            verdict = Verdict.RAN.value
            sentence = (
                f"The upstream on {owner} answered with status {status} after {detail['took']} s;"
                f" the goal is {detail['goal']} s. The request was run."
            )
        case [], [*_, last] if last["detail"]["verdict"] == Verdict.RAN.value:
            owner, status = last["detail"]["owner"], last["detail"]["outcome"]
            decision = f"answered with HTTP status {status}"
            verdict = Verdict.RAN.value
            sentence = (
                f"The upstream on {owner} answered with status {status}. The request was run."
            )
        case _:
            decision, verdict, sentence = "unknown", Verdict.MAY_HAVE_RUN.value, _UNKNOWN_OUTCOME
    return Account(request, asked, decision, verdict, sentence, timeline.events)

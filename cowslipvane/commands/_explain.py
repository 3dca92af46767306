"""The explanation of what became of a request."""

from __future__ import annotations

import json
from pathlib import Path
from typing import NamedTuple

from cowslipvane.commands._errors import CommandFailed
from cowslipvane.commands._timeline import (
    Filter,
    Timeline,
    format_event,
    timeline_from_files,
    timeline_from_processes,
)
from cowslipvane.events import EventForm
from cowslipvane.types import Verdict

_UNKNOWN = (
    "The request was handed to an upstream, and no answer is on record."
    " The request may have run: check before you send it again."
)


class Account(NamedTuple):
    """What was asked, what was decided, whether it ran, and what to tell the caller."""

    request: str
    asked: str
    decision: str
    verdict: str
    sentence: str
    events: list[EventForm]

    def as_json(self) -> str:
        """Return the account for programs."""
        return json.dumps(self._asdict(), indent=2)

    def as_text(self) -> str:
        """Return the account for people."""
        lines = [
            self.sentence,
            f"  asked:    {self.asked}",
            f"  decided:  {self.decision}",
            f"  whether it ran: {self.verdict}",
        ]
        return "\n".join([*lines, *(f"  {format_event(event)}" for event in self.events)])


async def explain(servers: tuple[str, ...], request: str) -> Account:
    """Return the account of a request from every process that remembers it."""
    return build_account(request, await timeline_from_processes(servers, Filter(request=request)))


def explain_from_files(paths: tuple[Path, ...], request: str) -> Account:
    """Return the account of a request from event files or logs."""
    return build_account(request, timeline_from_files(paths, Filter(request=request)))


def build_account(request: str, timeline: Timeline) -> Account:
    """Return the account that the events of a request give; raise CommandFailed without any."""
    if not timeline.events:
        missing = f" ({'; '.join(timeline.gaps)})" if timeline.gaps else ""
        raise CommandFailed(f"no process remembers request {request}; check the id{missing}")
    asked = next((it["detail"]["asked"] for it in timeline.events if "asked" in it["detail"]), "?")
    refusals = [event for event in timeline.events if event["kind"] == "refusal"]
    verdicts = [event for event in timeline.events if event["kind"] == "verdict"]
    late = [event for event in timeline.events if event["kind"] == "late"]
    match refusals, late or verdicts:
        case [first, *_], _:
            # What the caller was told stands, whatever else comes to light.
            detail = first["detail"]
            decision = f"refused as {detail['code']}"
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
            decision, verdict, sentence = "unknown", Verdict.MAY_HAVE_RUN.value, _UNKNOWN
    return Account(request, asked, decision, verdict, sentence, timeline.events)

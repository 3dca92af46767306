"""The promises of the platform's pages, checked over the records of a soak."""

from __future__ import annotations

import signal
from collections import defaultdict
from collections.abc import Iterable, Iterator

from cowslipvane.types import Seconds
from tools.soak._hosts import GRACE
from tools.soak._keys import POSSIBLE_STATUSES, QUOTAS, allowed_teams
from tools.soak._records import (
    HARMED_LINK,
    PROCESSOR_WAIT,
    Answered,
    BrokenOff,
    CallRecord,
    Change,
    Completed,
    Cut,
    Dropped,
    Harm,
    History,
    Left,
    Lifetime,
    Problem,
    RunRecord,
    Silent,
    Span,
)
from tools.soak._windows import Use, busiest_window

# A request that is sent within this time before its connection closes may cross the close.
LOSS_SLACK: Seconds = 0.2
# The effects of an unplanned disturbance last for this time.
TOUCH: Seconds = 3.0
# Requests whose callers have left reach no worker, and leave it, within this time.
LEAVING_TIME: Seconds = 0.5
FEW = 3
OVERSTAYED_SHARE = 0.25
PROPAGATION: Seconds = 2.0
# In a window, a team may get this part of its quota and so many requests more than that.
QUOTA_WINDOW: Seconds = 5.0
QUOTA_OVERSHOOT = 0.1
QUOTA_SLACK = 20
RECOVERY: Seconds = 15.0
# A request that is sent within EARLY of SIGTERM may be cut if its worker still works at LATE_WORK.
EARLY: Seconds = 3.0
LATE_WORK: Seconds = GRACE * 5 / 6
# The share of requests that succeed once all processes are back after the final fault.
SERVED_SHARE = 0.25
# A process that gets SIGTERM within this time of its start may not handle signals yet.
STARTUP: Seconds = 5.0
# The configuration is read several times in this time.
_READING_TIME: Seconds = 1.0
_PROMISES = frozenset({408, 421, 429, 503})
_SIGKILL, _SIGTERM, _SIGSTOP = "SIGKILL", "SIGTERM", "SIGSTOP"
_DISTURBANCES = (_SIGSTOP, signal.SIGCONT.name, PROCESSOR_WAIT, HARMED_LINK)
# A signal may be recorded this long after its effect was seen.
_CLOSE_NOTICE_TIME: Seconds = 0.1
_CLEAN_EXITS = (0, -signal.SIGKILL)
_ROUTE_FAULTS = frozenset({400, 404, 413})

Runs = dict[str, list[RunRecord]]


def find_problems(history: History) -> list[Problem]:
    """Return all broken promises in the order of their times."""
    runs: Runs = defaultdict(list)
    for run in history.runs:
        runs[run.request_id].append(run)
    problems = [
        *check_cut_calls(history.calls, runs, history.lifetimes),
        *check_replaced_answers(history.calls, runs, history.lifetimes),
        *check_left_calls(history.calls, runs, history.lifetimes),
        *check_promises(history.calls, runs),
        *check_answers(history, runs),
        *check_origins(history.runs, history.services),
        *check_teams(history, runs),
        *check_quotas(history),
        *check_configurations(history),
        *check_recovery(history),
        *check_acknowledgements(history),
        *check_traffic(history),
        *check_ends(history.lifetimes),
    ]
    return sorted(problems, key=lambda problem: problem.at)


def check_cut_calls(
    calls: Iterable[CallRecord], runs: Runs, lifetimes: list[Lifetime]
) -> Iterator[Problem]:
    """Find requests that were read whole and have no complete answer."""
    for call in calls:
        own_runs = runs.get(call.request_id, [])
        match call.outcome:
            case Cut(begun=begun, error=error):
                if _may_be_cut(call, own_runs, begun):
                    continue
                reason = f"cut {'midway ' if begun else ''}({error})"
            case Silent():
                reason = "no answer"
            case _:
                continue
        if _was_disturbed(lifetimes, call.host, call.sent_at, call.ended_at):
            continue
        if _was_at_work_to_the_end({call.host}, call, own_runs, lifetimes):
            continue
        yield Problem("LOST", call.ended_at, f"{reason}: {_describe(call, own_runs, lifetimes)}")


def _was_at_work_to_the_end(
    hosts: set[str], call: CallRecord, runs: list[RunRecord], lifetimes: list[Lifetime]
) -> bool:
    """Return whether a worker ran an early request until a host's grace period was nearly over."""
    return any(
        life.host in hosts
        and sent.name == _SIGTERM
        and sent.at - GRACE < call.sent_at <= sent.at + EARLY
        and any(run.began_at < sent.at + LATE_WORK < run.ended_at for run in runs)
        for life in lifetimes
        for sent in life.signals
    )


def _may_be_cut(call: CallRecord, runs: list[RunRecord], begun: bool) -> bool:
    """Return whether a cut of a request breaks no promise, whatever happened to the process."""
    if any(isinstance(run.outcome, BrokenOff) for run in runs):
        return True
    if runs or begun:
        return False
    # It wasn't passed on, and was sent behind another or crossed the close.
    return call.pipelined or call.ended_at - call.sent_at <= LOSS_SLACK


def check_replaced_answers(
    calls: Iterable[CallRecord], runs: Runs, lifetimes: list[Lifetime]
) -> Iterator[Problem]:
    """Find requests whose worker was at work when a stopping process answered in its place."""
    for call in calls:
        match call.outcome:
            case Answered(status=status, signature="") if status >= 500:
                own_runs = runs.get(call.request_id, [])
            case _:
                continue
        replaced = [
            run
            for run in own_runs
            if isinstance(run.outcome, Dropped | Completed) and run.ended_at < call.deadline
        ]
        hosts = {call.host, *(run.host for run in own_runs)}
        is_planned = any(
            life.host in hosts and life.was_sent(_SIGTERM, call.sent_at - GRACE, call.ended_at)
            for life in lifetimes
        )
        is_disturbed = any(
            _was_disturbed(lifetimes, host, call.sent_at, call.ended_at) for host in hosts
        )
        is_late = _was_at_work_to_the_end(hosts, call, own_runs, lifetimes)
        if replaced and is_planned and not is_disturbed and not is_late:
            text = f"{status} of our own: {_describe(call, own_runs, lifetimes)}"
            yield Problem("LOST", call.ended_at, text)


def check_left_calls(
    calls: Iterable[CallRecord], runs: Runs, lifetimes: list[Lifetime]
) -> Iterator[Problem]:
    """Find that requests reach workers, or that these stay at work, after their callers left."""
    late: list[CallRecord] = []
    lasting: list[CallRecord] = []
    overstayed: list[CallRecord] = []
    for call in calls:
        own_runs = runs.get(call.request_id, [])
        end = call.ended_at + LEAVING_TIME
        hosts = {call.host, *(run.host for run in own_runs)}
        if not isinstance(call.outcome, Left) or any(
            _was_disturbed(lifetimes, host, call.sent_at, end) for host in hosts
        ):
            continue
        late += [call for run in own_runs if run.began_at > end]
        if call.idempotent:
            lasting += [call for run in own_runs if run.began_at < end < run.due_at]
            overstayed += [call for run in own_runs if run.began_at < end < run.ended_at]
    for problems, allowed in ((late, FEW), (overstayed, max(FEW, len(lasting) * OVERSTAYED_SHARE))):
        if len(problems) > allowed:
            for call in problems:
                text = _describe(call, runs[call.request_id], lifetimes)
                yield Problem("GONE", call.ended_at, f"one of {len(problems)}: {text}")


def check_promises(calls: Iterable[CallRecord], runs: Runs) -> Iterator[Problem]:
    """Find requests that ran twice, or ran although an answer promised that they never do."""
    for call in calls:
        own_runs = runs.get(call.request_id, [])
        if call.idempotent or not own_runs:
            continue
        if len(own_runs) > 1:
            yield Problem("TWICE", call.ended_at, _describe(call, own_runs, []))
        match call.outcome:
            case Answered(status=status) if status in _PROMISES:
                text = f"{status}: {_describe(call, own_runs, [])}"
                yield Problem("REFUSED", call.ended_at, text)


def check_answers(history: History, runs: Runs) -> Iterator[Problem]:
    """Find successes and failures that aren't what the worker answered, and needless refusals."""
    refusals = {
        (refusal.request_id, refusal.signature, refusal.status)
        for refusal in history.worker_refusals
    }
    for call in history.calls:
        match call.outcome:
            case Answered(status=status, signature=signature) as answer:
                own_runs = runs.get(call.request_id, [])
            case _:
                continue
        is_success = 200 <= status < 300
        is_from_run = any(
            run.answer == answer and not isinstance(run.outcome, BrokenOff) for run in own_runs
        )
        is_from_worker = is_from_run or (call.request_id, signature, status) in refusals
        if (is_success or signature) and not is_from_worker:
            text = f"{answer}: {_describe(call, own_runs, [])}"
            yield Problem("MIXED", call.ended_at, text)
        elif status in _ROUTE_FAULTS and not is_from_worker:
            text = f"{status}: {_describe(call, own_runs, [])}"
            yield Problem("DENIED", call.ended_at, text)


def check_origins(runs: Iterable[RunRecord], services: dict[str, str]) -> Iterator[Problem]:
    """Find requests that reached a worker under a service that runs on no host."""
    known = set(services.values())
    for run in runs:
        if run.origin_service not in known:
            yield Problem("UNASKED", run.began_at, f"{run.request_id} from {run.origin_service!r}")


def check_teams(history: History, runs: Runs) -> Iterator[Problem]:
    """Find keys at workers, runs for a wrong team or without a key, and needless 401s."""
    for call in history.calls:
        own_runs = runs.get(call.request_id, [])
        for run in own_runs:
            text = f"for {run.team!r} by {call.key!r}: {_describe(call, own_runs, [])}"
            if run.shows_key:
                yield Problem("UNASKED", run.began_at, f"the key is at the worker, {text}")
            if run.team not in allowed_teams(call, _possible_changes(history, call, run.began_at)):
                yield Problem("UNASKED", run.began_at, text)
        match call.outcome:
            case Answered(status=401):
                possible = _possible_changes(history, call, call.ended_at)
                if None not in allowed_teams(call, possible):
                    text = f"401 for {call.key!r}: {_describe(call, own_runs, [])}"
                    yield Problem("CONFIG", call.ended_at, text)


def check_quotas(history: History) -> Iterator[Problem]:
    """Find windows in which more of a team's requests were sent and run than its quota allows.

    Every run counts, those of one request, too; quotas don't change, and no fault excuses anything.
    """
    sent_at = {call.request_id: call.sent_at for call in history.calls}
    for team, quota in QUOTAS.items():
        uses = [
            Use(sent_at[run.request_id], run.began_at)
            for run in history.runs
            if run.team == team and run.request_id in sent_at
        ]
        busiest = busiest_window(uses, QUOTA_WINDOW)
        allowed = (quota.rate * QUOTA_WINDOW + quota.burst) * (1 + QUOTA_OVERSHOOT) + QUOTA_SLACK
        if busiest.uses > allowed:
            text = f"{busiest.uses} of {team} in {QUOTA_WINDOW:g} s from here, {allowed:g} allowed"
            yield Problem("QUOTA", busiest.begin, text)


def _possible_changes(history: History, call: CallRecord, until: float) -> list[Change]:
    """Return the changes that may be in force at a request's host until some time."""
    oldest = 0
    if _is_in_touch(history, call):
        oldest = _newest_acknowledged(history.changes, call.sent_at - PROPAGATION)
    return [
        change
        for change in history.changes
        if change.status in POSSIBLE_STATUSES and change.sent_at <= until
        if change.version >= oldest
    ]


def _is_in_touch(history: History, call: CallRecord) -> bool:
    """Return whether nothing kept new versions from a request's host before it was sent.

    A reading tells that there was a leader: a version may be acknowledged right before its loss.
    """
    start = call.sent_at - PROPAGATION
    lifetimes = history.lifetimes
    hosts = {call.host, *(life.host for life in lifetimes if life.is_replica)}
    has_changed = any(
        life.host in hosts and start - TOUCH < at < call.sent_at
        for life in lifetimes
        for at in (life.started_at, life.ended_at)
    )
    has_leader = any(
        reading.version is not None
        and start - _READING_TIME < reading.sent_at
        and reading.answered_at < start
        for reading in history.readings
    )
    is_disturbed = any(_was_disturbed(lifetimes, host, start, call.sent_at) for host in hosts)
    return has_leader and not has_changed and not is_disturbed


def check_configurations(history: History) -> Iterator[Problem]:
    """Find acknowledged configurations that were lost, and readings that are old or altered."""
    sent = {change.version: change for change in history.changes}
    bases: dict[int, int] = {}
    for change in history.changes:
        if change.status == 200 and bases.setdefault(change.based_on, change.version) != (
            change.version
        ):
            text = f"{bases[change.based_on]} and {change.version} build on {change.based_on}"
            yield Problem("CONFIG", change.sent_at, text)
    for reading in history.readings:
        if reading.version is None:
            continue
        acknowledged = _newest_acknowledged(history.changes, reading.sent_at - PROPAGATION)
        change_read = sent.get(reading.version)
        if reading.version < acknowledged or change_read is None or change_read.status == 412:
            text = f"{reading.version} was read after {acknowledged} was acknowledged"
            yield Problem("CONFIG", reading.sent_at, text)
        elif not reading.is_as_sent:
            text = f"{reading.version} was read with another content than was sent"
            yield Problem("CONFIG", reading.sent_at, text)
    if history.final_reading is None:
        yield Problem("LOST", float("inf"), "the configuration doesn't come after the final fault")
    elif history.final_reading.version is not None:
        acknowledged = _newest_acknowledged(history.changes, history.final_reading.sent_at)
        if history.final_reading.version < acknowledged:
            text = f"{history.final_reading.version} is left of {acknowledged}"
            yield Problem("LOST", history.final_reading.sent_at, text)


def _newest_acknowledged(changes: Iterable[Change], before: float) -> int:
    """Return the newest version that was acknowledged before a time, 0 if there is none."""
    return max(
        (
            change.version
            for change in changes
            if change.status == 200 and change.answered_at is not None
            if change.answered_at < before
        ),
        default=0,
    )


def check_recovery(history: History) -> Iterator[Problem]:
    """Find times in which a majority ran and yet served no reading within the recovery time."""
    served = [reading.answered_at for reading in history.readings if reading.version is not None]
    for span in history.majority_spans:
        marks = [span.start, *(at for at in served if span.start <= at <= span.end), span.end]
        for start, end in zip(marks, marks[1:], strict=False):
            if end - start > RECOVERY:
                yield Problem("RECOVER", end, f"no reading was served for {end - start:.1f} s")


def check_acknowledgements(history: History) -> Iterator[Problem]:
    """Find changes that got no clear answer although a majority ran all the while."""
    for change in history.changes:
        if change.status is not None or change.answered_at is None:
            continue
        if any(
            span.start <= change.sent_at and change.answered_at <= span.end
            for span in history.majority_spans
        ):
            text = f"{change.version} got no answer for {change.answered_at - change.sent_at:.1f} s"
            yield Problem("RECOVER", change.answered_at, text)


def check_traffic(history: History) -> Iterator[Problem]:
    """Find that callers are served no more after the final fault."""
    if history.final_reading is None:
        return
    start = history.final_reading.answered_at + PROPAGATION
    late = [call for call in history.calls if call.sent_at > start]
    served = sum(isinstance(call.outcome, Answered) and call.outcome.status == 200 for call in late)
    if served < SERVED_SHARE * len(late):
        yield Problem("RECOVER", start, f"{served} of {len(late)} requests were served")


def majority_spans(lifetimes: Iterable[Lifetime], harms: list[Harm], majority: int) -> list[Span]:
    """Return the times in which at least a majority of the replicas ran with sound links."""
    sound = [
        span
        for life in lifetimes
        if life.is_replica
        for span in _without(
            Span(life.started_at, life.ended_at),
            sorted(harm.span for harm in harms if harm.host == life.host),
        )
    ]
    edges = sorted([(span.start, 1) for span in sound] + [(span.end, -1) for span in sound])
    spans: list[Span] = []
    running, start = 0, 0.0
    for at, step in edges:
        if running + step == majority and step > 0:
            start = at
        elif running == majority and step < 0:
            spans.append(Span(start, at))
        running += step
    return spans


def _without(span: Span, removed: Iterable[Span]) -> Iterator[Span]:
    """Return what is left of a span of time without others, which are in their order."""
    start = span.start
    for each in removed:
        if start < min(each.start, span.end):
            yield Span(start, min(each.start, span.end))
        start = max(start, each.end)
    if start < span.end:
        yield Span(start, span.end)


def check_ends(lifetimes: Iterable[Lifetime]) -> Iterator[Problem]:
    """Find processes that ended by themselves, too late, or with a failure."""
    for life in lifetimes:
        names = {sent.name for sent in life.signals}
        text = f"{life.host} ended with {life.exit_code} after {sorted(names)}"
        early = life.was_sent(_SIGTERM, life.started_at, life.started_at + STARTUP)
        if not names & {_SIGTERM, _SIGKILL}:
            yield Problem("FAULT", life.ended_at, f"by itself: {text}")
        elif life.overdue and _SIGSTOP not in names:
            yield Problem("FAULT", life.ended_at, f"after its grace period: {text}")
        elif life.exit_code not in _CLEAN_EXITS and not (
            early and life.exit_code == -signal.SIGTERM
        ):
            yield Problem("FAULT", life.ended_at, f"with a failure: {text}")


def _was_disturbed(lifetimes: list[Lifetime], host: str, start: float, end: float) -> bool:
    """Return whether a process was killed during a request, or disturbed not long before.

    A killed process may take a request until it has ended.
    """
    return any(
        life.was_sent(_SIGKILL, start, end + _CLOSE_NOTICE_TIME)
        or (life.ended_at >= start and life.was_sent(_SIGKILL, life.started_at, start))
        or any(life.was_sent(name, start - TOUCH, end) for name in _DISTURBANCES)
        for life in lifetimes
        if life.host == host
    )


def _describe(call: CallRecord, runs: list[RunRecord], lifetimes: list[Lifetime]) -> str:
    """Return what happened to a request, with the signals of the hosts around that time."""
    hosts = {call.host, *(run.host for run in runs)}
    signals = [
        f"{sent.name} {life.host} {sent.at - call.sent_at:+.3f}"
        for life in lifetimes
        for sent in life.signals
        if life.host in hosts and call.sent_at - 8 < sent.at < call.ended_at + 1
    ]
    ran = [
        f"{run.host} {run.began_at - call.sent_at:+.3f}..{run.ended_at - call.sent_at:+.3f} "
        f"{run.answer.status} {type(run.outcome).__name__}"
        for run in runs
    ]
    kind = "idempotent" if call.idempotent else "non-idempotent"
    return (
        f"{call.request_id} {call.method} ({kind}{', pipelined' if call.pipelined else ''}) at "
        f"{call.host}, sent {call.sent_at:.3f}, ended {call.ended_at - call.sent_at:+.3f}; "
        f"ran {ran}; signals {signals}"
    )

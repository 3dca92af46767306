"""Tests of the soak's checks, and a short soak from fixed seeds."""

import asyncio
import shutil
import time
import unittest
from dataclasses import replace
from pathlib import Path
from typing import Any

from tools.soak import KINDS, Result, Soak, SoakOptions, find_problems
from tools.soak._checks import (
    QUOTA_OVERSHOOT,
    QUOTA_SLACK,
    QUOTA_WINDOW,
    check_cut_calls,
    check_quotas,
    majority_spans,
)
from tools.soak._hosts import Host, HostProcess
from tools.soak._keys import QUOTAS
from tools.soak._records import (
    HARMED_LINK,
    PROCESSOR_WAIT,
    Answered,
    CallOutcome,
    CallRecord,
    Change,
    Completed,
    Cut,
    Dropped,
    Harm,
    History,
    Left,
    Lifetime,
    Reading,
    RunOutcome,
    RunRecord,
    SignalRecord,
    Silent,
    Span,
)

GOOD = Answered(status=200, signature="s", digest="d")
# Later than all requests.
NO_READING = Reading(1000.0, 1000.0, None)
CUT = Cut(begun=False, error="reset")


def call(outcome: CallOutcome, **changes: Any) -> CallRecord:
    """Return a request that was sent at 100 s."""
    record = CallRecord("r1", "p", "POST", False, False, 100.0, 102.5, 101.0, outcome)
    return record._replace(**changes)


def run(outcome: RunOutcome, **changes: Any) -> RunRecord:
    """Return a run of the request, from 100.1 s to 100.5 s."""
    record = RunRecord("r1", "q", "alpha", 100.1, 100.5, GOOD, 100.5, outcome)
    return record._replace(**changes)


def life(host: str, signals: dict[str, float], exit_code: int = 0) -> Lifetime:
    """Return a process that ran from 0 s to 200 s and got signals."""
    return Lifetime(
        host=host,
        is_replica=host.startswith("replica"),
        started_at=0.0,
        ended_at=200.0,
        exit_code=exit_code,
        signals=[SignalRecord(name, at) for name, at in signals.items()],
    )


def history(**records: Any) -> History:
    """Return a history of some records."""
    services = {"p": "alpha", "q": "beta"}
    return History(**{"services": services, "final_reading": NO_READING, **records})


class ChecksTest(unittest.TestCase):
    """Each check finds what breaks its promise, and nothing else."""

    def rules(self, **records: Any) -> list[str]:
        """Return the rules that a history breaks."""
        return [problem.rule for problem in find_problems(history(**records))]

    def test_an_answer_of_the_worker_breaks_nothing(self) -> None:
        """The answer bears the signature, status and body of its run."""
        self.assertEqual(self.rules(calls=[call(GOOD)], runs=[run(Completed())]), [])

    def test_a_request_that_ran_and_was_cut_is_lost(self) -> None:
        """It doesn't matter how soon after its request the connection ended."""
        cut = call(CUT, ended_at=100.1)
        self.assertEqual(self.rules(calls=[cut], runs=[run(Completed())]), ["LOST"])
        self.assertEqual(
            self.rules(calls=[call(CUT, pipelined=True)], runs=[run(Dropped())]), ["LOST"]
        )

    def test_a_request_that_did_not_run_is_lost_after_the_slack(self) -> None:
        """A request that crosses the close, or waits behind another, isn't."""
        self.assertEqual(self.rules(calls=[call(CUT)]), ["LOST"])
        self.assertEqual(self.rules(calls=[call(CUT, ended_at=100.1)]), [])
        self.assertEqual(self.rules(calls=[call(CUT, pipelined=True)]), [])

    def test_silence_is_a_loss_too(self) -> None:
        """No answer came although the connection stayed open."""
        self.assertEqual(self.rules(calls=[call(Silent())]), ["LOST"])

    def test_only_a_kill_or_standstill_of_its_own_process_excuses_a_cut(self) -> None:
        """SIGTERM, and signals to other processes or their waits for a processor, don't."""
        for host, signals, expected in (
            ("p", {"SIGKILL": 101.0}, []),
            ("p", {"SIGSTOP": 99.0, "SIGTERM": 1.0}, []),
            ("p", {PROCESSOR_WAIT: 99.0, "SIGTERM": 1.0}, []),
            ("p", {HARMED_LINK: 99.0, "SIGTERM": 1.0}, []),
            ("p", {HARMED_LINK: 96.0, "SIGTERM": 1.0}, ["LOST"]),
            ("q", {HARMED_LINK: 99.0, "SIGTERM": 1.0}, ["LOST"]),
            ("p", {PROCESSOR_WAIT: 96.0, "SIGTERM": 1.0}, ["LOST"]),
            ("p", {"SIGTERM": 99.0}, ["LOST"]),
            ("q", {"SIGTERM": 1.0, PROCESSOR_WAIT: 101.0}, ["LOST"]),
            ("q", {"SIGTERM": 1.0, "SIGKILL": 101.0}, ["LOST"]),
        ):
            with self.subTest(host=host, signals=signals):
                lifetimes = [life(host, signals)]
                self.assertEqual(self.rules(calls=[call(CUT)], lifetimes=lifetimes), expected)

    # Guards against a finding where a caller sent a request 4 ms after the SIGKILL of its proxy.
    def test_a_killed_process_may_cut_requests_until_it_has_ended(self) -> None:
        """What comes after its end goes to its successor."""
        for ended_at, expected in ((100.0, []), (99.9, ["LOST"])):
            with self.subTest(ended_at=ended_at):
                killed = life("p", {"SIGKILL": 99.8})
                killed.ended_at = ended_at
                lifetimes = [killed, life("p", {"SIGTERM": 150.0})]
                self.assertEqual(self.rules(calls=[call(CUT)], lifetimes=lifetimes), expected)

    def test_work_that_lasts_as_long_as_the_grace_period_may_be_cut(self) -> None:
        """A request that was sent more than 3 s after SIGTERM may not."""
        runs = [run(Dropped(), ended_at=104.0)]
        for stopped_at, expected in ((98.5, []), (96.5, ["LOST"]), (99.9, ["LOST"])):
            with self.subTest(stopped_at=stopped_at):
                lifetimes = [life("p", {"SIGTERM": stopped_at})]
                problems = self.rules(calls=[call(CUT)], runs=runs, lifetimes=lifetimes)
                self.assertEqual(problems, expected)

    # Guards against a finding where an owner cuts a call at the end of its grace period.
    def test_a_failure_at_the_end_of_the_grace_period_is_allowed(self) -> None:
        """A request that was sent more than 3 s after SIGTERM, or whose work ends early, isn't."""
        failed = call(Answered(status=502, signature="", digest=""), ended_at=102.1)
        for stopped_at, sent_at, expected in (
            (97.05, 100.0, []),
            (97.05, 100.1, ["LOST"]),
            (97.2, 100.0, ["LOST"]),
        ):
            with self.subTest(stopped_at=stopped_at, sent_at=sent_at):
                problems = self.rules(
                    calls=[failed._replace(sent_at=sent_at)],
                    runs=[run(Dropped(), ended_at=102.06)],
                    lifetimes=[life("q", {"SIGTERM": stopped_at})],
                )
                self.assertEqual(problems, expected)

    def test_callers_are_served_after_the_final_fault(self) -> None:
        """A quarter of the requests succeed."""
        failed = call(Answered(status=503, signature="", digest=""), request_id="r2")
        calls, final_reading = [failed] * 3, Reading(90.0, 90.0, None)
        problems = self.rules(calls=[*calls, failed], final_reading=final_reading)
        self.assertEqual(problems, ["RECOVER"])
        served = {"calls": [*calls, call(GOOD)], "runs": [run(Completed())]}
        self.assertEqual(self.rules(**served, final_reading=final_reading), [])

    def test_a_failure_in_place_of_the_answer_after_sigterm_is_a_loss(self) -> None:
        """It isn't if there was no SIGTERM."""
        failed = call(Answered(status=502, signature="", digest=""))
        stopped = {"lifetimes": [life("q", {"SIGTERM": 100.2})]}
        self.assertEqual(self.rules(calls=[failed], runs=[run(Dropped())], **stopped), ["LOST"])
        self.assertEqual(self.rules(calls=[failed], runs=[run(Dropped())]), [])

    def test_requests_end_when_their_callers_leave(self) -> None:
        """A few may not; those that aren't idempotent go on once they run."""
        left = call(Left(), idempotent=True, ended_at=100.2)
        for began_at, ended_at, idempotent, count, expected in (
            (100.8, 101.0, False, 4, ["GONE"] * 4),
            (100.8, 101.0, False, 3, []),
            (100.1, 100.8, True, 4, ["GONE"] * 4),
            (100.1, 100.8, False, 4, []),
            (100.1, 100.6, True, 4, []),
        ):
            with self.subTest(began_at=began_at, idempotent=idempotent, count=count):
                ids = [f"r{index}" for index in range(count)]
                calls = [left._replace(request_id=name, idempotent=idempotent) for name in ids]
                ran = run(Dropped(), began_at=began_at, ended_at=ended_at, due_at=102.0)
                runs = [ran._replace(request_id=name) for name in ids]
                self.assertEqual(self.rules(calls=calls, runs=runs), expected)

    def test_promises(self) -> None:
        """A request that isn't idempotent runs once at most, and not at all after a promise."""
        runs = [run(Completed()), run(Completed())]
        self.assertEqual(self.rules(calls=[call(GOOD)], runs=runs), ["TWICE"])
        self.assertEqual(self.rules(calls=[call(GOOD, idempotent=True)], runs=runs), [])
        refused = call(Answered(status=503, signature="", digest=""))
        self.assertEqual(self.rules(calls=[refused], runs=runs[:1]), ["REFUSED"])

    def test_successes_are_those_of_the_worker(self) -> None:
        """Signature, status and body belong to a run of the same request."""
        for changed in ({"signature": "t"}, {"digest": "e"}, {"status": 500}):
            with self.subTest(changed=changed):
                runs = [run(Completed(), answer=replace(GOOD, **changed))]
                self.assertEqual(self.rules(calls=[call(GOOD)], runs=runs), ["MIXED"])

    def test_an_acknowledged_configuration_stays(self) -> None:
        """Readings are never older, and only one change of a version is acknowledged."""
        changes = [Change(3, 0, 1.0, 2.0, 200), Change(5, 3, 3.0, 4.0, 200)]
        old, new = Reading(10.0, 10.1, 3), Reading(10.0, 10.1, 5)
        self.assertEqual(self.rules(changes=changes, readings=[new], final_reading=new), [])
        self.assertEqual(self.rules(changes=changes, readings=[old]), ["CONFIG"])
        altered = new._replace(is_as_sent=False)
        self.assertEqual(self.rules(changes=changes, readings=[altered]), ["CONFIG"])
        self.assertEqual(self.rules(changes=changes, final_reading=old), ["LOST"])
        self.assertEqual(self.rules(changes=changes, final_reading=None), ["LOST"])
        both = [*changes, Change(6, 3, 3.0, 4.0, 200)]
        self.assertEqual(self.rules(changes=both, final_reading=Reading(10.0, 10.1, 6)), ["CONFIG"])

    def test_requests_run_for_the_team_of_their_key(self) -> None:
        """The team is that of a version that may be in force, and the key doesn't come along."""
        changes = [
            Change(3, 0, 1.0, 2.0, 200, {"k": "red", "lasting": "blue"}),
            Change(5, 3, 3.0, 4.0, 412, {"k": "green"}),
            Change(6, 3, 100.2, None, None, {"k": "blue", "lasting": "blue"}),
        ]
        for key, needs_key, team, expected in (
            ("k", True, "red", []),
            ("k", True, "green", ["UNASKED"]),
            ("k", True, "blue", ["UNASKED"]),
            ("k", True, "", ["UNASKED"]),
            ("k", False, "", ["UNASKED"]),
            ("k", False, "red", []),
            ("", True, "", ["UNASKED"]),
            ("other", True, "red", ["UNASKED"]),
            ("other", False, "", []),
            ("", False, "red", ["UNASKED"]),
        ):
            with self.subTest(key=key, needs_key=needs_key, team=team):
                sent = call(GOOD, key=key, needs_key=needs_key)
                ran = run(Completed(), team=team)
                problems = self.rules(calls=[sent], runs=[ran], changes=changes)
                self.assertEqual(problems, expected)
        shown = run(Completed(), team="red", shows_key=True)
        sent = call(GOOD, key="k", needs_key=True)
        self.assertEqual(self.rules(calls=[sent], runs=[shown], changes=changes), ["UNASKED"])

    # Guards against a soak that lets a team have more than its quota (issue 55).
    def test_a_team_gets_no_more_than_its_quota_in_any_window(self) -> None:
        """What was run after the window doesn't count, and all runs of one request do."""
        quota = QUOTAS["red"]
        allowed = (quota.rate * QUOTA_WINDOW + quota.burst) * (1 + QUOTA_OVERSHOOT) + QUOTA_SLACK
        ran = run(Completed(), team="red")
        for count, began_at, expected in (
            (int(allowed), 101.0, []),
            (int(allowed) + 1, 101.0, ["QUOTA"]),
            (int(allowed) + 1, 100.1 + QUOTA_WINDOW, []),
        ):
            runs = [ran._replace(began_at=began_at) for _ in range(count)]
            problems = check_quotas(history(calls=[call(GOOD)], runs=runs))
            self.assertEqual([problem.rule for problem in problems], expected)

    def test_a_key_that_all_versions_hold_is_not_refused(self) -> None:
        """A request without a key isn't either, on a route that needs none."""
        changes = [
            Change(3, 0, 1.0, 2.0, 200, {"k": "red", "lasting": "blue"}),
            Change(5, 3, 100.8, None, None, {"lasting": "blue"}),
        ]
        unknown = call(Answered(status=401, signature="", digest=""), ended_at=100.9)
        for key, needs_key, expected in (
            ("lasting", True, ["CONFIG"]),
            ("k", True, []),
            ("k", False, ["CONFIG"]),
            ("", True, []),
            ("", False, ["CONFIG"]),
        ):
            with self.subTest(key=key, needs_key=needs_key):
                refused = unknown._replace(key=key, needs_key=needs_key)
                self.assertEqual(self.rules(calls=[refused], changes=changes), expected)

    def test_a_key_is_withdrawn_within_the_propagation_time(self) -> None:
        """Unless the host, or what it gets versions from, was disturbed since."""
        changes = [
            Change(3, 0, 1.0, 2.0, 200, {"k": "red"}),
            Change(5, 3, 97.0, 97.9, 200, {}),
        ]
        reading = Reading(97.7, 97.8, 5)
        ran = run(Completed(), team="red")
        for sent_at, signals, readings, expected in (
            (100.0, {}, [reading], ["UNASKED"]),
            (99.8, {}, [reading], []),
            (100.0, {"SIGSTOP": 96.0}, [reading], []),
            (100.0, {"SIGSTOP": 90.0}, [reading], ["UNASKED"]),
            (100.0, {}, [], []),
        ):
            for host in ("p", "replica-0"):
                with self.subTest(sent_at=sent_at, signals=signals, host=host):
                    sent = call(GOOD, key="k", needs_key=True, sent_at=sent_at)
                    problems = self.rules(
                        calls=[sent],
                        runs=[ran],
                        changes=changes,
                        readings=readings,
                        lifetimes=[life(host, {"SIGTERM": 150.0, **signals})],
                        final_reading=Reading(1000.0, 1000.0, 5),
                    )
                    self.assertEqual(problems, expected)

    def test_a_majority_serves_within_the_recovery_time(self) -> None:
        """A failed reading isn't one that is served."""
        spans = [Span(0.0, 20.0)]
        failed = Reading(9.0, 9.1, None)
        self.assertEqual(self.rules(majority_spans=spans, readings=[failed]), ["RECOVER"])
        self.assertEqual(
            self.rules(majority_spans=spans, readings=[failed._replace(version=0)]), ["CONFIG"]
        )

    def test_a_majority_answers_each_change(self) -> None:
        """One that the end of the faults cuts short isn't judged, nor one without a majority."""
        for span, answered_at, expected in (
            (Span(0.0, 15.0), 14.0, ["RECOVER"]),
            (Span(0.0, 13.0), 14.0, []),
            (Span(0.0, 15.0), None, []),
        ):
            with self.subTest(span=span, answered_at=answered_at):
                changes = [Change(1, 0, 1.0, answered_at, None)]
                self.assertEqual(self.rules(changes=changes, majority_spans=[span]), expected)

    # Guards against a finding where the links of a majority were cut.
    def test_a_majority_has_sound_links(self) -> None:
        """A replica whose link is harmed doesn't count while it is."""
        lives = [life(f"replica-{index}", {}) for index in range(3)]
        harms = [Harm("replica-0", Span(50.0, 60.0)), Harm("replica-0", Span(55.0, 70.0))]
        self.assertEqual(majority_spans(lives, harms, 2), [Span(0.0, 200.0)])
        self.assertEqual(majority_spans(lives, harms, 3), [Span(0.0, 50.0), Span(70.0, 200.0)])

    def test_processes_end_only_when_they_are_told_to(self) -> None:
        """They end with status 0."""
        self.assertEqual(self.rules(lifetimes=[life("p", {"SIGHUP": 3.0})]), ["FAULT"])
        self.assertEqual(self.rules(lifetimes=[life("p", {"SIGTERM": 100.0})]), [])
        self.assertEqual(
            self.rules(lifetimes=[life("p", {"SIGTERM": 100.0}, exit_code=1)]), ["FAULT"]
        )


class WaitTest(unittest.TestCase):
    """A wait for a processor is recorded with its begin and its end."""

    # Guards against a request that ends within a wait, before the wait is noticed.
    def test_a_wait_excuses_what_ends_within_it(self) -> None:
        """The wait is recorded only when the process is sampled."""
        now = time.monotonic()
        host = Host("p", "127.0.0.1", "north", "alpha")
        process = HostProcess(host=host, folder=Path(), seeds=[])
        process.lifetimes = [life("p", {})]
        process.record_wait(0.5)
        for ended_at, expected in ((now - 0.1, []), (now - 0.6, ["LOST"])):
            with self.subTest(ended_at=ended_at):
                cut = call(CUT, sent_at=now - 1.0, ended_at=ended_at)
                problems = check_cut_calls([cut], {}, process.lifetimes)
                self.assertEqual([problem.rule for problem in problems], expected)


class SoakTest(unittest.TestCase):
    """Promises hold under faults from fixed seeds."""

    def assert_holds(self, options: SoakOptions) -> None:
        """Run one soak; keep its files if a promise is broken."""
        result = asyncio.run(run_soak(options))
        self.assertGreater(len(result.history.calls), 500)
        self.assertEqual(result.problems, [], f"files: {result.folder}")
        shutil.rmtree(result.folder)

    def test_sound_workers_and_single_stops(self) -> None:
        """Workers break off no responses, and no process gets a second SIGTERM."""
        kinds = tuple(kind for kind in KINDS if kind != "double-restart")
        self.assert_holds(
            SoakOptions(seed=7, duration=6.0, proxies=4, kinds=kinds, broken_share=0.0)
        )

    def test_all_faults(self) -> None:
        """All kinds of faults come, and overlap."""
        self.assert_holds(SoakOptions(seed=8, duration=6.0, proxies=4))

    def test_slow_links(self) -> None:
        """Links are harmed, those of replicas are slow all the while, and releases are large."""
        kinds = ("slow-links", "cut-links", "reset-links", "silence-links", "resize", "restart")
        options = SoakOptions(seed=9, duration=6.0, proxies=4, kinds=kinds, replica_rate=1e6)
        self.assert_holds(options)


async def run_soak(options: SoakOptions) -> Result:
    """Run one soak."""
    return await Soak(options=options).run()


if __name__ == "__main__":
    unittest.main()

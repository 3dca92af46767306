"""Tests of the closed set of refusals and of their documentation."""

import unittest
from pathlib import Path
from typing import get_args

from cowslipvane.refusal import (
    AnswerLost,
    BodyTooLarge,
    CallerGone,
    DeadlinePassed,
    Draining,
    KeyRefused,
    KeysUnconfirmed,
    MalformedRequest,
    NoConfiguration,
    NoRoute,
    NoUpstream,
    Overloaded,
    OverQuota,
    OwnerUnreachable,
    ProxyFailed,
    ProxyLeaving,
    QueueFull,
    QuotaUnconfirmed,
    Refusal,
    Rejected,
    RouteOutdated,
    UpstreamLost,
    Withdrawn,
    explain,
)
from cowslipvane.types import HostName, Quota, ServiceName, TeamName, Verdict, Version

PAGE = Path(__file__).resolve().parent.parent / "docs" / "REFUSALS.md"
SERVICE = ServiceName("SERVICE")
TEAM = TeamName("TEAM")
UNKNOWN = Verdict.MAY_HAVE_RUN
EXAMPLES: tuple[Refusal, ...] = (
    NoConfiguration(),
    NoRoute(host="HOST", path="PATH"),
    RouteOutdated(version=Version(7)),
    KeyRefused(fault="missing", version=Version(7)),
    KeyRefused(fault="unreadable", version=Version(7)),
    KeyRefused(fault="unknown", version=Version(7)),
    KeysUnconfirmed(host=HostName("HOST")),
    OverQuota(team=TEAM, quota=Quota(20, 10), version=Version(7), retry_after=1.0),
    QuotaUnconfirmed(team=TEAM, version=Version(7), retry_after=1.0),
    MalformedRequest(reason="REASON"),
    NoUpstream(service=SERVICE),
    Draining(service=SERVICE),
    QueueFull(service=SERVICE, retry_after=1.0),
    Overloaded(service=SERVICE, retry_after=1.0),
    DeadlinePassed(service=SERVICE, verdict=UNKNOWN),
    BodyTooLarge(limit=1000),
    UpstreamLost(service=SERVICE, verdict=UNKNOWN),
    Rejected(service=SERVICE, retry_after=1.0),
    OwnerUnreachable(host=HostName("HOST"), verdict=UNKNOWN),
    Withdrawn(service=SERVICE),
    AnswerLost(service=SERVICE, verdict=UNKNOWN),
    CallerGone(verdict=UNKNOWN),
    ProxyLeaving(verdict=UNKNOWN),
    ProxyFailed(verdict=UNKNOWN),
)


def row(refusal: Refusal) -> str:
    """Return the row of the page for a refusal."""
    explanation = explain(refusal)
    varies = hasattr(refusal, "verdict")
    verdict = "as far as is known" if varies else explanation.verdict.value
    advice = "none" if explanation.retry_after is None else "after `Retry-After`"
    cause = explanation.sentence.partition(". ")[0] + "."
    return f"| `{explanation.code}` | {explanation.status} | {cause} | {verdict} | {advice} |"


class RefusalsTest(unittest.TestCase):
    """Tests that the page and the code agree."""

    def test_examples_are_complete(self) -> None:
        """The examples cover the closed set, and all codes differ."""
        self.assertEqual({type(refusal) for refusal in EXAMPLES}, set(get_args(Refusal)))
        codes = {explain(refusal).code for refusal in EXAMPLES}
        self.assertEqual(len(codes), len(EXAMPLES))

    def test_page_agrees_with_the_code(self) -> None:
        """The page has exactly one row for each refusal, in order."""
        lines = PAGE.read_text().splitlines()
        listed = [line for line in lines if line.startswith("| `")]
        self.assertEqual(listed, [row(refusal) for refusal in EXAMPLES])


if __name__ == "__main__":
    unittest.main()

"""Subscriptions: the configuration version in force on each proxy, and its updates."""

from cowslipvane.subscription._backoff import Backoff
from cowslipvane.subscription._contact import Contact, Proof
from cowslipvane.subscription._convergence import Convergence, Lag, Progress, Proxies
from cowslipvane.subscription._messages import (
    WATCH_ONLY,
    WATCH_WAIT_FACTOR,
    AskFloor,
    AskLeader,
    AskNewest,
    ComeAgain,
    Current,
    FactsKept,
    Floor,
    KeepFacts,
    Lagging,
    Newest,
    Pull,
    PullDelta,
    PullReply,
    PullSnapshot,
    ReportAnswers,
    Reports,
    ReportsTaken,
)
from cowslipvane.subscription._subscription import Applied, Rejected, Subscription

__all__ = [
    "WATCH_ONLY",
    "WATCH_WAIT_FACTOR",
    "Applied",
    "AskFloor",
    "AskLeader",
    "AskNewest",
    "Backoff",
    "ComeAgain",
    "Contact",
    "Current",
    "FactsKept",
    "Floor",
    "KeepFacts",
    "Lag",
    "Lagging",
    "Newest",
    "Progress",
    "Proof",
    "Proxies",
    "Pull",
    "PullDelta",
    "PullReply",
    "PullSnapshot",
    "Rejected",
    "ReportAnswers",
    "Reports",
    "ReportsTaken",
    "Convergence",
    "Subscription",
]

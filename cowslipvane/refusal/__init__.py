"""The closed set of refusals, and the one table that words them."""

from cowslipvane.refusal._refusals import (
    BodyTooLarge,
    CallerGone,
    DeadlinePassed,
    Draining,
    Explanation,
    NoConfiguration,
    NoRoute,
    NoUpstream,
    OwnerUnreachable,
    QueueFull,
    Refusal,
    UpstreamLost,
    explain,
)

__all__ = [
    "BodyTooLarge",
    "CallerGone",
    "DeadlinePassed",
    "Draining",
    "Explanation",
    "NoConfiguration",
    "NoRoute",
    "NoUpstream",
    "OwnerUnreachable",
    "QueueFull",
    "Refusal",
    "UpstreamLost",
    "explain",
]

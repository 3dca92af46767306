"""The closed set of refusals, and the one table that words them."""

from cowslipvane.refusal._refusals import (
    AnswerLost,
    BodyTooLarge,
    CallerGone,
    DeadlinePassed,
    Draining,
    Explanation,
    MalformedRequest,
    NoConfiguration,
    NoRoute,
    NoUpstream,
    OwnerUnreachable,
    QueueFull,
    Refusal,
    UpstreamLost,
    Withdrawn,
    explain,
)

__all__ = [
    "AnswerLost",
    "BodyTooLarge",
    "CallerGone",
    "DeadlinePassed",
    "Draining",
    "Explanation",
    "MalformedRequest",
    "NoConfiguration",
    "NoRoute",
    "NoUpstream",
    "OwnerUnreachable",
    "QueueFull",
    "Refusal",
    "UpstreamLost",
    "Withdrawn",
    "explain",
]

"""A proxy's subscription: the version that it has in force, and how it moves on."""

from cowslipvane.subscription._messages import Current, Pull, PullDelta, PullReply, PullSnapshot
from cowslipvane.subscription._subscription import Applied, Rejected, Subscription

__all__ = [
    "Applied",
    "Current",
    "Pull",
    "PullDelta",
    "PullReply",
    "PullSnapshot",
    "Rejected",
    "Subscription",
]

"""The clock for leases between replicas."""

from __future__ import annotations

import time


def lease_now() -> float:
    """Return seconds of a monotonic clock that includes time while the host is suspended.

    With a clock that stops during suspension, an expired lease would still look valid.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


# When this process started, in seconds of lease_now().
STARTED_AT = lease_now()

"""An entry proxy's side of quotas for tests in which no team has one."""

import random

from cowslipvane.events import EventLog, HybridClock, Origin
from cowslipvane.subscription import Subscription
from cowslipvane.tasks._signal import Signal
from cowslipvane.tasks.quotas import QuotaClient
from cowslipvane.types import DataCentre, HostName


def uncounted() -> QuotaClient:
    """Return a client that counts no request."""
    return QuotaClient(
        subscription=Subscription(),
        configuration_applied=Signal(),
        events=EventLog(origin=Origin(HostName("a"), DataCentre("here"), 1), clock=HybridClock()),
        rng=random.Random(1),
    )

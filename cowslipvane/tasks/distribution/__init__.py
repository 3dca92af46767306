"""Distribution of versions: the publisher of a replica, the subscriptions of a proxy."""

from cowslipvane.tasks.distribution._fact_keeper import FactKeeper
from cowslipvane.tasks.distribution._publisher import Publisher
from cowslipvane.tasks.distribution._subscriber import Subscriber
from cowslipvane.tasks.distribution._watch import Watch

__all__ = [
    "FactKeeper",
    "Publisher",
    "Subscriber",
    "Watch",
]

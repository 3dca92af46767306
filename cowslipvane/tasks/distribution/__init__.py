"""Distribution of versions: the publisher of a replica, the subscriptions of a proxy; rollouts."""

from cowslipvane.tasks.distribution._answer_reporter import AnswerReporter
from cowslipvane.tasks.distribution._fact_keeper import FactKeeper
from cowslipvane.tasks.distribution._publisher import Publisher
from cowslipvane.tasks.distribution._rollouts import InProgress, NoRollout, NoService, Rollouts
from cowslipvane.tasks.distribution._subscriber import Subscriber
from cowslipvane.tasks.distribution._watch import Watch

__all__ = [
    "AnswerReporter",
    "FactKeeper",
    "InProgress",
    "NoRollout",
    "NoService",
    "Publisher",
    "Rollouts",
    "Subscriber",
    "Watch",
]

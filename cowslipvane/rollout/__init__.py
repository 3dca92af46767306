"""Rollouts: moving a service's requests to upstreams of another version, step by step."""

from cowslipvane.rollout._answers import AnswerCounts, AnswerLog, WorkerAnswers
from cowslipvane.rollout._assessor import Assessment, Assessor
from cowslipvane.rollout._judgement import Bad, Judgement, Sound, TooFewAnswers
from cowslipvane.rollout._observations import Observations
from cowslipvane.rollout._plan import Plan, RolloutView

__all__ = [
    "AnswerCounts",
    "AnswerLog",
    "Assessment",
    "Assessor",
    "Bad",
    "Judgement",
    "Observations",
    "Plan",
    "RolloutView",
    "Sound",
    "TooFewAnswers",
    "WorkerAnswers",
]

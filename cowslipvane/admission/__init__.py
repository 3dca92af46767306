"""Admission control at the owner: the upstream's slots, their queue, and draining."""

from cowslipvane.admission._admission import Admission, Fair, FirstComeFirstServed, Policy
from cowslipvane.admission._first_answer import FirstAnswer
from cowslipvane.admission._rate_limit import RateLimit
from cowslipvane.admission._service_times import request_kind
from cowslipvane.admission._work import Work

__all__ = [
    "Admission",
    "Fair",
    "FirstAnswer",
    "FirstComeFirstServed",
    "Policy",
    "RateLimit",
    "Work",
    "request_kind",
]

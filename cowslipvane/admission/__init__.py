"""The owner's admission: the slots of its upstream, the queue before them, and its drain."""

from cowslipvane.admission._admission import Admission, Fair, FirstComeFirstServed, Policy, Work
from cowslipvane.admission._service_times import request_kind

__all__ = ["Admission", "Fair", "FirstComeFirstServed", "Policy", "Work", "request_kind"]

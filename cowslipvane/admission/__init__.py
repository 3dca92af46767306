"""The owner's admission: the slots of its upstream, the queue before them, and its drain."""

from cowslipvane.admission._admission import Admission, Fair, FirstComeFirstServed, Policy, Work

__all__ = ["Admission", "Fair", "FirstComeFirstServed", "Policy", "Work"]

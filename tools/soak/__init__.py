"""A randomized soak of real processes under faults; `python -m tools.soak --help` runs it."""

from tools.soak._checks import find_problems
from tools.soak._faults import KINDS
from tools.soak._soak import Result, Soak, SoakOptions

__all__ = ["KINDS", "Result", "Soak", "SoakOptions", "find_problems"]

"""The command line: it parses, calls, and prints."""

from cowslipvane.cmdline._main import main

__all__ = ["main"]

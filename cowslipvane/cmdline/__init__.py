"""The command line: parses arguments, calls the commands, and prints their results."""

from cowslipvane.cmdline._main import main

__all__ = ["main"]

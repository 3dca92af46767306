"""A stall of the process, as when it has no processor time, for tests of timeouts."""

import time


def stall(seconds: float) -> None:
    """Let no task of this process run for some time."""
    time.sleep(seconds)

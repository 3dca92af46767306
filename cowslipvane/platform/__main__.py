"""Runs the daemon with the settings file that the platform names in the environment."""

from __future__ import annotations

import gc
import signal
import sys

SETTINGS_VARIABLE = "COWSLIPVANE_BOOT"


def main() -> int:
    """Run until the process is stopped, and return its exit status."""
    # Until the event loop handles SIGHUP, its default action would end the process. So it is
    # ignored before the modules of the program are loaded, which takes a while.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # What the modules create lives as long as the process, so there is no garbage to look for yet.
    gc.disable()
    from cowslipvane.platform._process import run_process  # noqa: PLC0415

    return run_process(SETTINGS_VARIABLE)


if __name__ == "__main__":
    sys.exit(main())

"""Runs the daemon with the settings file that the platform names in the environment."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
from pathlib import Path

from cowslipvane.daemon import Daemon
from cowslipvane.platform import PlatformFrontEnd
from cowslipvane.settings import SettingsFault

SETTINGS_VARIABLE = "COWSLIPVANE_BOOT"


def main() -> int:
    """Run until the process is stopped, and return its exit status."""
    try:
        front_end = PlatformFrontEnd(path=Path(os.environ[SETTINGS_VARIABLE]))
    except (KeyError, SettingsFault) as error:
        print(
            f"the settings that {SETTINGS_VARIABLE} names can't be used: {error}", file=sys.stderr
        )
        return 2
    # Until the event loop handles SIGHUP, its default action would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Objects loaded at startup live as long as the process, so garbage collections can skip them.
    gc.freeze()
    asyncio.run(Daemon(settings=front_end.settings, front_end=front_end).run())
    return 0


if __name__ == "__main__":
    sys.exit(main())

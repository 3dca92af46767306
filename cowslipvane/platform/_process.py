"""The process on the users' platform, once its modules are loaded."""

from __future__ import annotations

import asyncio
import gc
import os
import sys
from pathlib import Path

from cowslipvane.daemon import Daemon
from cowslipvane.platform._front_end import PlatformFrontEnd
from cowslipvane.settings import SettingsFault


def run_process(settings_variable: str) -> int:
    """Run the daemon until it is stopped, and return the exit status of the process."""
    try:
        front_end = PlatformFrontEnd(path=Path(os.environ[settings_variable]))
    except (KeyError, SettingsFault) as error:
        print(
            f"the settings that {settings_variable} names can't be used: {error}", file=sys.stderr
        )
        return 2
    # Objects loaded at startup live as long as the process, so garbage collections can skip them.
    gc.freeze()
    gc.enable()
    asyncio.run(Daemon(settings=front_end.settings, front_end=front_end).run())
    return 0

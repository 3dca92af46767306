"""What another interface to the same product brings: header names, listeners and settings."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

from cowslipvane.call import HeaderNames
from cowslipvane.settings import Settings
from cowslipvane.tasks._http import HttpListener
from cowslipvane.tasks._owner import Owner
from cowslipvane.tasks._releases import Releases


class Components(NamedTuple):
    """The parts of a process that a front end may call; a role that isn't there is None."""

    releases: Releases | None
    owner: Owner | None
    is_ready: Callable[[], bool]


class FrontEnd(Protocol):
    """An interface beside the product's own."""

    @property
    def header_names(self) -> HeaderNames:
        """Return the names of the header fields towards callers and workers."""

    def listeners(self, components: Components) -> list[HttpListener]:
        """Return the listeners that translate to the parts."""

    def has_new_settings(self) -> bool:
        """Return whether the settings have changed since they were last read."""

    def reload(self) -> Settings:
        """Read the settings again; raise SettingsFault when they can't be used."""

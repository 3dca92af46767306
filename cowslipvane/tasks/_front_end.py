"""The interface of a front end: its header names, its listeners and its settings."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol, TypedDict

from cowslipvane.call import HeaderNames
from cowslipvane.settings import Settings
from cowslipvane.tasks.distribution import Rollouts
from cowslipvane.tasks.http import HttpListener
from cowslipvane.tasks.replication import Derivation, Releases
from cowslipvane.tasks.upstreams import Owner


class Components(NamedTuple):
    """The components of a process that a front end may call; those of absent roles are None."""

    releases: Releases | None
    rollouts: Rollouts | None
    owner: Owner | None
    is_ready: Callable[[], bool]


class SettingsDetail(TypedDict, total=False):
    """The detail that names settings without an effect."""

    unread: str
    reason: str


class FrontEnd(Protocol):
    """An additional external interface of a process."""

    @property
    def header_names(self) -> HeaderNames:
        """Return the names of the header fields used with callers and workers."""

    @property
    def unread_settings(self) -> tuple[str, ...]:
        """Return the settings that this build should act on and doesn't, without their values."""

    def derive(self, document: str) -> Derivation:
        """Return what a release's document leads to; raise ValueError if it isn't accepted."""

    def listeners(self, components: Components) -> list[HttpListener]:
        """Return the listeners that translate requests into calls of the components."""

    def has_new_settings(self) -> bool:
        """Return whether the settings have changed since they were last read."""

    def reload(self) -> Settings:
        """Reload the settings; raise SettingsFault when they are invalid."""


def settings_detail(front_end: FrontEnd | None, pending: Sequence[str] = ()) -> SettingsDetail:
    """Return the detail of events that names the settings that this process doesn't act on.

    Those that are pending have changed, and take effect at the next start.
    """
    detail = SettingsDetail()
    if front_end is not None and front_end.unread_settings:
        detail["unread"] = ", ".join(front_end.unread_settings)
    if pending:
        detail["reason"] = f"takes effect at the next start: {', '.join(pending)}"
    return detail

"""Which upstreams of a service may get a request, by their versions and the service's rollout."""

from __future__ import annotations

import math
import random
import zlib
from collections.abc import Sequence
from typing import NamedTuple

from cowslipvane.catalogue import Rollout
from cowslipvane.membership import Member
from cowslipvane.types import Seconds, ServiceName

# A version that appears at a service, and that no rollout names, gets nothing for this time. The
# order for it may have been accepted, and not be in force here yet.
NEW_VERSION_DELAY: Seconds = 5.0
# Upstreams that a trial takes at least, so that one that is sick can be told from a bad version.
MIN_TRIED = 3
# How long an upstream has its turn in a trial. All processes take the same turns, by wall time.
TURN: Seconds = 1.0


class _Split(NamedTuple):
    """The owners of a service for one state of its members and its rollout.

    Those that are tried get a share of the requests, the usual ones the rest.
    """

    owners: Sequence[Member]
    rollout: Rollout | None
    valid_until: float
    share: float
    tried: Sequence[Member]
    turn_size: int
    usual: Sequence[Member]

    def in_turn(self, wall_time: float) -> Sequence[Member]:
        """Return those of the owners on trial whose turn it is."""
        if self.turn_size >= len(self.tried):
            return self.tried
        first = int(wall_time / TURN) * self.turn_size
        return [self.tried[(first + n) % len(self.tried)] for n in range(self.turn_size)]


class _Trial(NamedTuple):
    """The owners on trial, and how many of them have a turn at a time."""

    tried: Sequence[Member]
    turn_size: int


class _Seen:
    """The versions that were seen at a service."""

    def __init__(self) -> None:
        # When each was first seen, in time.monotonic seconds; those seen first are in use.
        self._since: dict[str, float] = {}
        self._retired: frozenset[str] = frozenset()
        self._completed: Rollout | None = None

    def note(self, versions: set[str], now: float) -> None:
        """Note the versions that are there now."""
        first_at = now if self._since else -math.inf
        for version in versions - self._since.keys():
            self._since[version] = first_at
        for version in [known for known in self._since if known not in versions]:
            if len(self._since) > 1:
                del self._since[version]

    def note_completed(self, rollout: Rollout) -> None:
        """Note that a rollout is completed, by which all other versions seen so far are retired."""
        if self._completed != rollout:
            self._completed = rollout
            self._retired = frozenset(self._since) - {rollout.target_version}

    def is_in_use(self, version: str, now: float) -> bool:
        """Return whether requests may go to a version that no running rollout names."""
        return version not in self._retired and now >= self._since[version] + NEW_VERSION_DELAY

    def next_in_use(self, now: float) -> float:
        """Return when the next version comes into use by itself, infinity for none."""
        due = (since + NEW_VERSION_DELAY for since in self._since.values())
        return min((at for at in due if at > now), default=math.inf)


class UpstreamVersions:
    """Splits the requests of services between versions of their upstreams."""

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._seen: dict[ServiceName, _Seen] = {}
        self._splits: dict[ServiceName, _Split] = {}

    def candidates(
        self,
        service: ServiceName,
        owners: Sequence[Member],
        rollout: Rollout | None,
        now: float,
        *,
        wall_time: float,
        is_first: bool,
    ) -> tuple[Sequence[Member], ...]:
        """Return the owners for an attempt; those of a later group are for want of the earlier.

        Only the first attempt of a call may go to a version on trial. now is in time.monotonic
        seconds, wall_time in seconds of wall time.
        """
        split = self._splits.get(service)
        if (
            split is None
            or split.owners is not owners
            or split.rollout is not rollout
            or now >= split.valid_until
        ):
            split = self._splits[service] = self._split(service, owners, rollout, now)
        if is_first and split.share and self._rng.random() < split.share:
            return split.in_turn(wall_time), split.usual
        return (split.usual,)

    def _split(
        self, service: ServiceName, owners: Sequence[Member], rollout: Rollout | None, now: float
    ) -> _Split:
        """Return the split of a service's owners."""
        seen = self._seen.setdefault(service, _Seen())
        if owners:
            seen.note({_version(owner) for owner in owners}, now)
        if rollout is not None and rollout.phase == "completed":
            seen.note_completed(rollout)
        target_version = None if rollout is None else rollout.target_version
        target = [owner for owner in owners if _version(owner) == target_version]
        others = [owner for owner in owners if _version(owner) != target_version]
        in_use = [owner for owner in others if seen.is_in_use(_version(owner), now)]
        share, trial = 0.0, _Trial(target, len(target))
        match rollout:
            case Rollout(phase="running", share=moved) if moved >= 1:
                usual = target or others
            case Rollout(phase="running", share=share):
                trial = _trial(service, target, others, share)
                usual = others or target
            case Rollout(phase="rolled-back"):
                usual = in_use or others
            case _:
                usual = [*target, *in_use] or others
        return _Split(owners, rollout, seen.next_in_use(now), share, *trial, usual)


def _version(owner: Member) -> str:
    """Return the version of an owner's upstream."""
    return owner.worker.version if owner.worker else ""


def _trial(
    service: ServiceName, target: Sequence[Member], others: Sequence[Member], share: float
) -> _Trial:
    """Return the upstreams of a version that are tried, the same in all processes.

    So many have a turn at a time that the share of the requests loads them as the rest loads the
    others: a version that is bad under load would seem sound otherwise.
    """
    slots, other_slots = sum(map(_slots, target)), sum(map(_slots, others))
    if not slots:
        return _Trial(target, len(target))
    needed = share * other_slots / (1 - share) * len(target) / slots
    turn_size = max(1, round(needed))
    ranked = sorted(target, key=lambda owner: zlib.crc32(f"{service} {owner.host}".encode()))
    return _Trial(ranked[: max(MIN_TRIED, turn_size)], turn_size)


def _slots(owner: Member) -> int:
    """Return the slots of an owner's upstream."""
    return owner.worker.slots if owner.worker else 0

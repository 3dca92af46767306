"""What one connection has told, and has still to tell, of the members."""

from __future__ import annotations

from collections.abc import Iterable

from cowslipvane.membership._member import Member, Order, Stamp
from cowslipvane.membership._membership import Membership
from cowslipvane.membership._messages import Compare, Exchange, ExchangeReply
from cowslipvane.types import DataCentre, Digest, HostName, Seconds

# Digests that differ this often in a row, with no news under way, call for a comparison.
MISMATCHES = 2
# While the digests differ, the next exchange comes this soon, and twice as late each time.
FIRST_PAUSE: Seconds = 0.1
_MOST_DOUBLINGS = 10
# Data centres hold different records, so that they compare by time and not by digest.
COMPARE_ABROAD: Seconds = 60.0


class Feed:
    """Sends each change once over one connection, and finds what got lost."""

    def __init__(
        self, *, membership: Membership, data_centre: DataCentre | None, guest: bool = False
    ) -> None:
        self._membership = membership
        # A guest asks for members of its data centre; others shall not learn of all that ask.
        self._guest_of = data_centre if guest else None
        self._here = data_centre == membership.own.data_centre
        # What was there before the connection is found by the first comparison.
        self._cursor = membership.revision
        self._known: dict[HostName, Order] = {}
        self._wanted: set[HostName] = set()
        self._mismatches = MISMATCHES - 1
        # Exchanges in a row after which the digests differed, news or not.
        self._differing = 0
        self._compared_at: float | None = None

    @property
    def has_updates(self) -> bool:
        """Return whether there is something to send before the next heartbeat."""
        return bool(self._wanted) or self._has_diverged() or bool(self._unsent())

    def next_exchange_delay(self, heartbeat_interval: Seconds) -> Seconds:
        """Return the time until the next exchange, when heartbeats are a time apart."""
        return (
            min(heartbeat_interval, FIRST_PAUSE * 2 ** min(self._differing, _MOST_DOUBLINGS))
            if self._differing
            else heartbeat_interval
        )

    @property
    def is_synchronized(self) -> bool:
        """Return whether both sides have compared and nothing is left to send."""
        compared = self._compared_at is not None or self._mismatches == 0
        return compared and not self.has_updates

    def next_message(self, now: float) -> Exchange | Compare:
        """Return what the opener of the connection sends next."""
        if self._must_compare(now):
            self._compared_at = now
            self._mismatches = 0
            held = self._membership.members
            return Compare(
                stamps=tuple(
                    Stamp(item.host, item.order)
                    for item in held
                    if self._may_tell(item, self._known)
                )
            )
        return Exchange(digest=self._membership.digest, members=self._take_news())

    def handle_message(
        self, message: Exchange | Compare, now: float
    ) -> tuple[ExchangeReply, list[Member]]:
        """Return the reply to the opener's message, and the records that were news here."""
        match message:
            case Exchange(members=members):
                newer = self._hear(members, now)
                reply = ExchangeReply(digest=self._membership.digest, members=self._take_news())
            case Compare(stamps=stamps):
                newer = []
                self._known.update((stamp.host, stamp.order) for stamp in stamps)
                missing = self._membership.newer_than(stamps)
                told = tuple(item for item in missing if self._may_tell(item, self._known))
                self._known.update((item.host, item.order) for item in told)
                wanted = self._membership.lacking(stamps)
                reply = ExchangeReply(digest=self._membership.digest, members=told, wanted=wanted)
        return reply, newer

    def handle_reply(
        self, sent: Exchange | Compare, reply: ExchangeReply, now: float
    ) -> list[Member]:
        """Take a reply in, and return the records that were news."""
        idle = _says_no_news(sent, self._membership.digest) and not reply.members
        newer = self._hear(reply.members, now)
        self._wanted.update(reply.wanted)
        if reply.digest == self._membership.digest:
            self._mismatches = 0
            self._differing = 0
        elif self._here:
            self._mismatches += idle
            self._differing += 1
        return newer

    def _has_diverged(self) -> bool:
        """Return whether the digests have differed without news under way."""
        return self._here and self._mismatches >= MISMATCHES

    def _must_compare(self, now: float) -> bool:
        """Return whether it is time to list all records held."""
        if self._here:
            return self._has_diverged()
        return self._compared_at is None or now >= self._compared_at + COMPARE_ABROAD

    def _hear(self, members: Iterable[Member], now: float) -> list[Member]:
        """Merge records, and want those corrected that are older than the ones held."""
        heard = [record for record in members if not self._is_of_guest(record)]
        newer = self._membership.merge(heard, now)
        for record in heard:
            held = self._membership.member(record.host)
            self._known[record.host] = record.order
            if held is not None and held.order > record.order:
                self._wanted.add(record.host)
        return newer

    def _is_of_guest(self, record: Member) -> bool:
        """Return whether a guest's record isn't needed, since its data centre is known here."""
        return (
            not self._here
            and record.data_centre == self._guest_of
            and self._membership.member(record.host) is None
            and self._membership.knows_gateways(record.data_centre)
        )

    def _take_news(self) -> tuple[Member, ...]:
        """Return what the other side lacks, and count it as told."""
        news = {member.host: member for member in self._unsent()}
        for host in self._wanted:
            member = self._membership.member(host)
            if member is not None and self._may_tell(member, self._known):
                news[host] = member
        self._wanted.clear()
        self._cursor = self._membership.revision
        if self._here:
            # The cursor says all that must be known of a side that gets every change.
            self._known.clear()
        else:
            self._known.update((host, member.order) for host, member in news.items())
        return tuple(news.values())

    def _unsent(self) -> list[Member]:
        """Return the changed records that the other side isn't known to hold."""
        if self._cursor == self._membership.revision:
            return []
        if self._here:
            changed = self._membership.changed_since(self._cursor)
        else:
            changed = [item for item in self._abroad() if self._may_tell(item, self._known)]
        return [item for item in changed if not self._is_known(item)]

    def _is_known(self, record: Member) -> bool:
        """Return whether the other side holds a record, or a newer one."""
        known = self._known.get(record.host)
        return known is not None and known >= record.order

    def _abroad(self) -> list[Member]:
        """Return the records that may be told abroad, the dead among them only if known there."""
        held = {member.host: member for member in self._membership.members}
        for host in self._known:
            member = self._membership.member(host)
            if member is not None:
                held[host] = member
        return list(held.values())

    def _may_tell(self, record: Member, listed: Iterable[HostName]) -> bool:
        """Return whether the other side is told of a record."""
        return (
            self._here
            or record.data_centre != self._membership.own.data_centre
            or record.host in self._membership.exported_hosts
            or record.host in listed
        )


def _says_no_news(sent: Exchange | Compare, digest: Digest) -> bool:
    """Return whether a message had no records and its sender has learnt nothing since."""
    match sent:
        case Exchange(digest=told, members=members):
            return not members and told == digest
        case Compare():
            return False

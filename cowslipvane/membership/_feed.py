"""The exchange of member records over one connection: what was sent and what is still due."""

from __future__ import annotations

from collections.abc import Iterable

from cowslipvane.membership._member import Member, Order, Stamp
from cowslipvane.membership._membership import Membership
from cowslipvane.membership._messages import Compare, Exchange, ExchangeReply
from cowslipvane.types import DataCentre, Digest, HostName, Seconds

# After this many successive digest mismatches with no updates in flight, all records are compared.
MISMATCHES_BEFORE_COMPARE = 2
# While the digests differ, the delay between exchanges is this, doubled once for each successive
# exchange after which they differed, but never longer than the interval between heartbeats.
BASE_MISMATCH_DELAY: Seconds = 0.1
# Keeps the power of two within the range of a float.
MAX_DELAY_DOUBLINGS = 10
# Data centres hold different sets of records, so their digests always differ: they compare
# periodically instead.
REMOTE_COMPARE_INTERVAL: Seconds = 60.0


class Feed:
    """Sends each change once over one connection, and detects lost updates."""

    def __init__(
        self, *, membership: Membership, data_centre: DataCentre | None, guest: bool = False
    ) -> None:
        self._membership = membership
        # A guest only asks for members. Records of its data centre are ignored once the gateways of
        # that data centre are known, so that others don't learn of every process that asks.
        self._guest_data_centre = data_centre if guest else None
        self._same_data_centre = data_centre == membership.own.data_centre
        # Records from before the connection are sent by the first comparison.
        self._cursor = membership.revision
        self._peer_orders: dict[HostName, Order] = {}
        self._to_resend: set[HostName] = set()
        self._idle_mismatches = MISMATCHES_BEFORE_COMPARE - 1
        # Successive exchanges after which the digests differed, with or without updates.
        self._differing_exchanges = 0
        self._compared_at: float | None = None

    @property
    def has_updates(self) -> bool:
        """Return whether a message has to be sent before the next heartbeat."""
        return bool(self._to_resend) or self._has_diverged() or bool(self._unsent())

    def next_exchange_delay(self, heartbeat_interval: Seconds) -> Seconds:
        """Return the time until the next exchange, given the interval between heartbeats."""
        return (
            min(
                heartbeat_interval,
                BASE_MISMATCH_DELAY * 2 ** min(self._differing_exchanges, MAX_DELAY_DOUBLINGS),
            )
            if self._differing_exchanges
            else heartbeat_interval
        )

    @property
    def is_synchronized(self) -> bool:
        """Return whether both sides have compared their records and no update is due."""
        compared = self._compared_at is not None or self._idle_mismatches == 0
        return compared and not self.has_updates

    def next_message(self, now: float) -> Exchange | Compare:
        """Return the next message that the side that opened the connection sends."""
        if self._compare_is_due(now):
            self._compared_at = now
            self._idle_mismatches = 0
            records = self._membership.members
            return Compare(
                stamps=tuple(
                    Stamp(item.host, item.order)
                    for item in records
                    if self._may_send(item, self._peer_orders)
                )
            )
        return Exchange(digest=self._membership.digest, members=self._take_updates())

    def handle_message(
        self, message: Exchange | Compare, now: float
    ) -> tuple[ExchangeReply, list[Member]]:
        """Return the reply to a message of the opener, and the records that were new here."""
        match message:
            case Exchange(members=members):
                newer = self._merge_received(members, now)
                reply = ExchangeReply(digest=self._membership.digest, members=self._take_updates())
            case Compare(stamps=stamps):
                newer = []
                self._peer_orders.update((stamp.host, stamp.order) for stamp in stamps)
                missing = self._membership.newer_than(stamps)
                sent_records = tuple(
                    item for item in missing if self._may_send(item, self._peer_orders)
                )
                self._peer_orders.update((item.host, item.order) for item in sent_records)
                requested = self._membership.outdated_hosts(stamps)
                reply = ExchangeReply(
                    digest=self._membership.digest, members=sent_records, wanted=requested
                )
        return reply, newer

    def handle_reply(
        self, sent: Exchange | Compare, reply: ExchangeReply, now: float
    ) -> list[Member]:
        """Merge a reply, and return the records that were new here."""
        idle = _carries_no_updates(sent, self._membership.digest) and not reply.members
        newer = self._merge_received(reply.members, now)
        self._to_resend.update(reply.wanted)
        if reply.digest == self._membership.digest:
            self._idle_mismatches = 0
            self._differing_exchanges = 0
        elif self._same_data_centre:
            self._idle_mismatches += idle
            self._differing_exchanges += 1
        return newer

    def _has_diverged(self) -> bool:
        """Return whether the digests keep differing although no updates are in flight."""
        return self._same_data_centre and self._idle_mismatches >= MISMATCHES_BEFORE_COMPARE

    def _compare_is_due(self, now: float) -> bool:
        """Return whether the next message has to be a Compare."""
        if self._same_data_centre:
            return self._has_diverged()
        return self._compared_at is None or now >= self._compared_at + REMOTE_COMPARE_INTERVAL

    def _merge_received(self, members: Iterable[Member], now: float) -> list[Member]:
        """Merge received records, and mark the hosts whose records here are newer for resending."""
        received = [record for record in members if not self._is_ignored(record)]
        newer = self._membership.merge(received, now)
        for record in received:
            held = self._membership.member(record.host)
            self._peer_orders[record.host] = record.order
            if held is not None and held.order > record.order:
                self._to_resend.add(record.host)
        return newer

    def _is_ignored(self, record: Member) -> bool:
        """Return whether to ignore a guest's record, as its data centre's gateways are known."""
        return (
            not self._same_data_centre
            and record.data_centre == self._guest_data_centre
            and self._membership.member(record.host) is None
            and self._membership.knows_gateways(record.data_centre)
        )

    def _take_updates(self) -> tuple[Member, ...]:
        """Return the records that the other side lacks, and mark them as sent."""
        updates = {member.host: member for member in self._unsent()}
        for host in self._to_resend:
            member = self._membership.member(host)
            if member is not None and self._may_send(member, self._peer_orders):
                updates[host] = member
        self._to_resend.clear()
        self._cursor = self._membership.revision
        if self._same_data_centre:
            # A peer in this data centre receives every change, so the cursor is enough.
            self._peer_orders.clear()
        else:
            self._peer_orders.update((host, member.order) for host, member in updates.items())
        return tuple(updates.values())

    def _unsent(self) -> list[Member]:
        """Return the changed records that the other side isn't known to hold."""
        if self._cursor == self._membership.revision:
            return []
        if self._same_data_centre:
            changed = self._membership.changed_since(self._cursor)
        else:
            changed = [
                item
                for item in self._records_for_remote()
                if self._may_send(item, self._peer_orders)
            ]
        return [item for item in changed if not self._peer_holds(item)]

    def _peer_holds(self, record: Member) -> bool:
        """Return whether the other side holds a record, or a newer one."""
        known = self._peer_orders.get(record.host)
        return known is not None and known >= record.order

    def _records_for_remote(self) -> list[Member]:
        """Return the records to consider for a remote peer; dead members only if it knows them."""
        records = {member.host: member for member in self._membership.members}
        for host in self._peer_orders:
            member = self._membership.member(host)
            if member is not None:
                records[host] = member
        return list(records.values())

    def _may_send(self, record: Member, peer_hosts: Iterable[HostName]) -> bool:
        """Return whether a record may be sent to the other side."""
        return (
            self._same_data_centre
            or record.data_centre != self._membership.own.data_centre
            or record.host in self._membership.exported_hosts
            or record.host in peer_hosts
        )


def _carries_no_updates(sent: Exchange | Compare, digest: Digest) -> bool:
    """Return whether a message carried no records and the sender's digest is unchanged since."""
    match sent:
        case Exchange(digest=sent_digest, members=members):
            return not members and sent_digest == digest
        case Compare():
            return False

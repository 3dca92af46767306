"""The entry proxy's side of quotas: a token for each request of a team that has one."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass

from cowslipvane.access import Admitted, OfTeam
from cowslipvane.catalogue import QuotaHolder
from cowslipvane.events import EventLog
from cowslipvane.quotas import Grant, Unused, Want
from cowslipvane.refusal import OverQuota, QuotaUnconfirmed
from cowslipvane.subscription import Subscription
from cowslipvane.tasks._signal import Signal
from cowslipvane.tasks.quotas._holder_link import HolderLink
from cowslipvane.types import Quota, Seconds, TeamName, Verdict

# The share of a call's remaining time that it waits for a holder while none can be asked.
HOLDER_WAIT_SHARE = 0.25
# How often holders that answered without a share are asked again meanwhile.
ASK_AGAIN_INTERVAL: Seconds = 0.1
# When a request may come back that was refused since no holder could be asked.
UNCONFIRMED_RETRY_DELAY: Seconds = 0.3
# Refused callers come back within this multiple of the time after which there is room for them.
RETRY_SPREAD = 1.5


@dataclass(frozen=True, slots=True, kw_only=True)
class Token:
    """A token for one run of a team's request, and whom to give it back to."""

    team: TeamName
    grant: Grant
    link: HolderLink

    def give_back(self) -> None:
        """Give back the token, because no upstream has run the request."""
        self.link.give_back(Unused(self.team, self.grant))


class QuotaClient:
    """Asks the holders of quotas, by turns, for a token for each request that is counted."""

    def __init__(
        self,
        *,
        subscription: Subscription,
        configuration_applied: Signal,
        events: EventLog,
        rng: random.Random,
    ) -> None:
        self._subscription = subscription
        self._configuration_applied = configuration_applied
        self._events = events
        self._rng = rng
        self._links: dict[QuotaHolder, HolderLink] = {}
        self._usable = Signal()
        self._turn = rng.randrange(1 << 16)

    async def run(self) -> None:
        """Keep a connection to each holder, until cancelled."""
        try:
            while True:
                self._connect_holders()
                await self._configuration_applied.wait()
        finally:
            await asyncio.gather(*(link.close() for link in self._links.values()))

    def token_for(self, access: Admitted) -> CallToken:
        """Return the token of a call, which has to be taken before its first attempt."""
        match access:
            case OfTeam(team=team) if self._quota(team) is not None:
                return CallToken(client=self, team=team)
            case _:
                # Nested calls belong to a request that was counted.
                return CallToken(client=self, team=None)

    async def take(
        self, team: TeamName, time_remaining: Seconds
    ) -> Token | OverQuota | QuotaUnconfirmed | None:
        """Return a token or why there is none, None if the team has no quota any more."""
        give_up_at = time.monotonic() + time_remaining * HOLDER_WAIT_SHARE
        while (quota := self._quota(team)) is not None:
            found = await self._ask_holders(team, quota)
            if found is not None:
                return found
            remaining = give_up_at - time.monotonic()
            if remaining <= 0:
                return self._unconfirmed(team)
            await self._usable.wait(min(remaining, ASK_AGAIN_INTERVAL))
        return None

    async def _ask_holders(
        self, team: TeamName, quota: Quota
    ) -> Token | OverQuota | QuotaUnconfirmed | None:
        """Ask one holder after another for a token; return None if none of them knows."""
        links = self._links_by_turn()
        asked = [link for link in links if link.is_usable]
        stands_in = len(asked) < len(links)
        refused: list[Grant] = []
        empty: list[HolderLink] = []
        for link in asked:
            match await link.ask(Want(team, stands_in)):
                case Grant(state="granted" | "stood in" | "no quota") as grant:
                    return Token(team=team, grant=grant, link=link)
                case Grant(state="refused") as grant:
                    refused.append(grant)
                    if grant.is_exceeded:
                        return self._over_quota(team, quota, refused)
                    if not stands_in:
                        empty.append(link)
                case _:
                    stands_in = True
        if not refused:
            return None
        if not stands_in:
            return self._over_quota(team, quota, refused)
        # These were asked before it was known that others have to be stood in for.
        for link in empty:
            match await link.ask(Want(team, stands_in=True)):
                case Grant(state="granted" | "stood in" | "no quota") as grant:
                    return Token(team=team, grant=grant, link=link)
        return self._unconfirmed(team)

    def _links_by_turn(self) -> list[HolderLink]:
        """Return all links, each time beginning with another one, so that all are used alike."""
        links = list(self._links.values())
        self._turn += 1
        first = self._turn % len(links) if links else 0
        return links[first:] + links[:first]

    def _quota(self, team: TeamName) -> Quota | None:
        """Return the quota of a team by the version in force."""
        table = self._subscription.table
        return None if table is None else table.quota(team)

    def _over_quota(self, team: TeamName, quota: Quota, refused: list[Grant]) -> OverQuota:
        """Return the refusal of a request beyond the quota."""
        delay = min(grant.retry_after for grant in refused)
        return OverQuota(
            team=team,
            quota=quota,
            version=self._subscription.version,
            retry_after=delay * self._rng.uniform(1.0, RETRY_SPREAD),
        )

    def _unconfirmed(self, team: TeamName) -> QuotaUnconfirmed:
        """Return the refusal of a request whose team's quota is counted out of reach."""
        return QuotaUnconfirmed(
            team=team,
            version=self._subscription.version,
            retry_after=UNCONFIRMED_RETRY_DELAY * self._rng.uniform(1.0, RETRY_SPREAD),
        )

    def _connect_holders(self) -> None:
        """Connect to the holders of the version in force, and to no others."""
        table = self._subscription.table
        holders = () if table is None else table.quota_holders
        for holder in [holder for holder in self._links if holder not in holders]:
            self._links.pop(holder).start_closing()
        for holder in holders:
            if holder not in self._links:
                self._links[holder] = HolderLink(
                    holder=holder, events=self._events, usable=self._usable
                )


class CallToken:
    """The token of one call: taken before an attempt, and used up by one that may have run."""

    def __init__(self, *, client: QuotaClient, team: TeamName | None) -> None:
        self._client = client
        self._team = team
        self._token: Token | None = None

    async def hold(self, time_remaining: Seconds) -> OverQuota | QuotaUnconfirmed | None:
        """Have a token for the next attempt, or return why there is none."""
        if self._team is None or self._token is not None:
            return None
        match await self._client.take(self._team, time_remaining):
            case Token() as token:
                self._token = token
                return None
            case refusal:
                return refusal

    def spend(self) -> Token | None:
        """Begin an attempt, which uses the token up unless it is kept."""
        token, self._token = self._token, None
        return token

    def keep(self, spent: Token | None, verdict: Verdict) -> None:
        """Keep the token of an attempt that wasn't run, for the next one."""
        if verdict is Verdict.NOT_RUN:
            self._token = spent

    def release(self) -> None:
        """Give back a token that no attempt has used."""
        if self._token is not None:
            self._token.give_back()
            self._token = None

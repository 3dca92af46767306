"""Weigh ways to count quotas over all proxies, in simulated time without a network.

Each way decides about the same requests. What it lets through is held against what the quotas
allow in any window, and against one bucket that all proxies would share without any delay.
"""

from __future__ import annotations

import argparse
import random
import time
from abc import abstractmethod
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from typing import NamedTuple, Protocol

from cowslipvane.quotas import QuotaLedger, TakeTokens, Want
from cowslipvane.settings import DEFAULT_QUOTAS
from cowslipvane.token_bucket import TokenBucket
from cowslipvane.types import Quota, Seconds, TeamName
from cowslipvane.wire import encode
from tools.soak._windows import Use, busiest_window

PROXIES = 65
DATA_CENTRES = 3
HOLDERS = 3
# Requests a second that all teams together usually send, and the quota of a team by its usual.
USUAL_PER_S = 955.0
QUOTA_FACTOR = 1.6
# The share of the n-th largest team falls as n to the power of this.
SKEW = 1.2
DURATION: Seconds = 20.0
GOSSIP_DELAY: Seconds = 0.5
BATCH_TIME: Seconds = 0.5
FAULT = (8.0, 14.0)


class Request(NamedTuple):
    """A request of a team at a proxy."""

    at: float
    proxy: int
    team: int

    @property
    def data_centre(self) -> int:
        """Return the data centre of the proxy."""
        return self.proxy % DATA_CENTRES


class Scenario(NamedTuple):
    """The load, relative to what teams usually send, and what fails during FAULT."""

    name: str
    load: float
    hot: int = 0
    moving: bool = False
    lost_holder: bool = False
    cut: bool = False

    def reaches(self, request: Request, holder: int) -> bool:
        """Return whether a proxy reaches a holder; the first one is lost, or the last cut off."""
        if not FAULT[0] <= request.at < FAULT[1]:
            return True
        if self.lost_holder:
            return holder != 0
        if self.cut:
            return (holder == HOLDERS - 1) == (request.data_centre == DATA_CENTRES - 1)
        return True


SCENARIOS = (
    Scenario("usual", 1.0),
    Scenario("usual, each team at one proxy, another each second", 1.0, moving=True),
    Scenario("0.95 of all quotas", 0.95 * QUOTA_FACTOR),
    Scenario("ten teams send six times their usual", 1.0, hot=10),
    Scenario("usual, one holder lost for 6 s", 1.0, lost_holder=True),
    Scenario("usual, a data centre cut off for 6 s", 1.0, cut=True),
    Scenario("hot, a data centre cut off for 6 s", 1.0, hot=10, cut=True),
)


class Way(Protocol):
    """A way to count; messages counts those sent, busiest those of the busiest process."""

    messages: int

    @abstractmethod
    def admits(self, request: Request) -> bool:
        """Return whether a request may run."""


class SharedBucket:
    """One bucket that all proxies use without any delay: what the others are held against."""

    def __init__(self, quotas: list[Quota], _: Scenario) -> None:
        self.messages = 0
        self._buckets = [bucket(quota, 1.0) for quota in quotas]

    def admits(self, request: Request) -> bool:
        """Take a token of the only bucket."""
        return self._buckets[request.team].spend(request.at)


class FixedShares:
    """Each proxy has its part of each quota for good."""

    def __init__(self, quotas: list[Quota], _: Scenario) -> None:
        self.messages = 0
        self._buckets = [[bucket(quota, 1 / PROXIES) for quota in quotas] for _ in range(PROXIES)]

    def admits(self, request: Request) -> bool:
        """Take a token of this proxy's part."""
        return self._buckets[request.proxy][request.team].spend(request.at)


class Gossip:
    """Each proxy has the whole quota, and hears of what others let through a while later."""

    def __init__(self, quotas: list[Quota], scenario: Scenario) -> None:
        self.messages = 0
        self._scenario = scenario
        self._quotas = quotas
        # What each proxy knows of a team: tokens at a time, up to which it has heard of all.
        self._known: dict[tuple[int, int], tuple[float, float]] = {}
        self._heard: Counter[tuple[int, int]] = Counter()
        self._passed: dict[int, list[Request]] = defaultdict(list)

    def admits(self, request: Request) -> bool:
        """Count what was heard and what passed here since, then take a token if there is one."""
        key = request.proxy, request.team
        quota = self._quotas[request.team]
        tokens, known_at = self._known.get(key, (quota.burst, 0.0))
        passed = self._passed[request.team]
        heard = self._heard[key]
        while heard < len(passed) and passed[heard].at <= request.at - GOSSIP_DELAY:
            other = passed[heard]
            tokens = _filled(quota, tokens, other.at - known_at) - self._is_heard(request, other)
            known_at = other.at
            heard += 1
        self._known[key] = tokens, known_at
        self._heard[key] = heard
        # Each proxy sends what it has counted twice a second to a neighbour.
        self.messages = int(request.at / GOSSIP_DELAY) * PROXIES
        own = sum(other.proxy == request.proxy for other in passed[heard:])
        is_admitted = _filled(quota, tokens, request.at - known_at) - own >= 1
        if is_admitted:
            passed.append(request)
        return is_admitted

    def _is_heard(self, request: Request, other: Request) -> bool:
        """Return whether no cut is between two proxies."""
        is_cut = self._scenario.cut and FAULT[0] <= other.at < FAULT[1]
        edge = DATA_CENTRES - 1
        return not is_cut or (request.data_centre == edge) == (other.data_centre == edge)


def _filled(quota: Quota, tokens: float, elapsed: Seconds) -> float:
    """Return the tokens of a bucket after some time."""
    return min(quota.burst, tokens + elapsed * quota.rate)


class HomeBatches:
    """One home counts; a proxy asks it for as many tokens as it needed in the last half second."""

    def __init__(self, quotas: list[Quota], scenario: Scenario) -> None:
        self.messages = 0
        self._scenario = scenario
        self._buckets = [bucket(quota, 1.0) for quota in quotas]
        self._held: dict[tuple[int, int], tuple[int, float]] = {}
        self._recent: dict[tuple[int, int], list[float]] = defaultdict(list)

    def admits(self, request: Request) -> bool:
        """Use a token that is held, or ask for some."""
        key = request.proxy, request.team
        recent = [at for at in self._recent[key] if at > request.at - BATCH_TIME] + [request.at]
        self._recent[key] = recent
        held, until = self._held.get(key, (0, 0.0))
        if held < 1 or request.at >= until:
            if not self._scenario.reaches(request, 0):
                return False
            self.messages += 2
            home = self._buckets[request.team]
            held = sum(home.spend(request.at) for _ in recent)
            until = request.at + BATCH_TIME
        self._held[key] = max(0, held - 1), until
        return held > 0


class ReplicaShares:
    """Each replica has an equal part; a proxy asks one after another for one token a request.

    A replica that stands in for one that can't be reached uses its reserve.
    """

    def __init__(self, quotas: list[Quota], scenario: Scenario) -> None:
        self.messages = 0
        self.processor: Seconds = 0.0
        self._scenario = scenario
        self._ledgers = [
            QuotaLedger(settings=DEFAULT_QUOTAS, quota_of=lambda team: quotas[int(team)])
            for _ in range(HOLDERS)
        ]
        for ledger in self._ledgers:
            ledger.set_part(1 / HOLDERS, 0.0, since=-10.0)
        self._turns = Counter({proxy: proxy for proxy in range(PROXIES)})

    def admits(self, request: Request) -> bool:
        """Ask the holders in turn."""
        began_at = time.process_time()
        turn = self._turns[request.proxy] = self._turns[request.proxy] + 1
        holders = [(turn + at) % HOLDERS for at in range(HOLDERS)]
        reached = [holder for holder in holders if self._scenario.reaches(request, holder)]
        want = Want(TeamName(str(request.team)), stands_in=len(reached) < HOLDERS)
        try:
            for holder in reached:
                self.messages += 2
                taken = self._ledgers[holder].take(TakeTokens(wants=(want,)), request.at)
                if taken.grants[0].state != "refused":
                    return True
                if taken.grants[0].is_exceeded:
                    return False
            return False
        finally:
            self.processor += time.process_time() - began_at


WAYS: dict[str, Callable[[list[Quota], Scenario], Way]] = {
    "fixed shares of proxies": FixedShares,
    "counters by gossip": Gossip,
    "a home, batches": HomeBatches,
    "shares of replicas": ReplicaShares,
}


def bucket(quota: Quota, part: float) -> TokenBucket:
    """Return a bucket with a part of a quota, with room for a request at least."""
    return TokenBucket(
        tokens_per_s=quota.rate * part, capacity=max(1.0, quota.burst * part), now=0.0
    )


def usual_rates(teams: int) -> list[float]:
    """Return what each team usually sends a second."""
    shares = [1 / (rank + 1) ** SKEW for rank in range(teams)]
    return [USUAL_PER_S * share / sum(shares) for share in shares]


def make_requests(rates: list[float], scenario: Scenario, rng: random.Random) -> Iterator[Request]:
    """Yield the requests of all teams in the order of their times."""
    requests = []
    for team, usual in enumerate(rates):
        is_hot = team < scenario.hot
        rate = usual * scenario.load * (6.0 if is_hot else 1.0)
        at = rng.expovariate(rate)
        while at < DURATION:
            place = hash((team, int(at))) if scenario.moving else rng.randrange(PROXIES)
            requests.append(Request(at, place % PROXIES, team))
            at += rng.expovariate(rate)
    return iter(sorted(requests))


def worst_window(admitted: dict[int, list[float]], quotas: list[Quota]) -> float:
    """Return the most that a team got in a window, relative to what its quota alone allows."""
    window = DEFAULT_QUOTAS.window
    return max(
        busiest_window([Use(at, at) for at in times], window).uses
        / (quotas[team].rate * window + quotas[team].burst)
        for team, times in admitted.items()
    )


def broken_teams(admitted: dict[int, list[float]], quotas: list[Quota]) -> int:
    """Return how many teams got more in a window than quota, overshoot and slack allow."""
    settings = DEFAULT_QUOTAS
    return sum(
        busiest_window([Use(at, at) for at in times], settings.window).uses
        > (quotas[team].rate * settings.window + quotas[team].burst) * (1 + settings.overshoot)
        + settings.slack
        for team, times in admitted.items()
    )


def measure(scenario: Scenario, teams: int, seed: int) -> None:
    """Print how each way does in a scenario."""
    rates = usual_rates(teams)
    quotas = [Quota(rate * QUOTA_FACTOR, rate * QUOTA_FACTOR) for rate in rates]
    requests = list(make_requests(rates, scenario, random.Random(seed)))
    shared = SharedBucket(quotas, scenario)
    owed = Counter(request.team for request in requests if shared.admits(request))
    print(f"{scenario.name}: {len(requests) / DURATION:.0f} requests/s")
    for name, make in WAYS.items():
        way = make(quotas, scenario)
        admitted: dict[int, list[float]] = defaultdict(list)
        for request in requests:
            if way.admits(request):
                admitted[request.team].append(request.at)
        missing = sum(max(0, owed[team] - len(admitted[team])) for team in owed)
        cost = ""
        if isinstance(way, ReplicaShares):
            cost = f", {way.processor / len(requests) * 1e6:.0f} us of decisions a request"
        print(
            f"  {name:24} worst window {worst_window(admitted, quotas):5.2f} of the quota,"
            f" {broken_teams(admitted, quotas):2} teams beyond the rule,"
            f" {missing / owed.total():7.2%} missing,"
            f" {way.messages / DURATION:6.0f} messages/s{cost}"
        )


def main() -> None:
    """Print the figures of all scenarios."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--teams", type=int, default=74)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    size = len(encode(TakeTokens(wants=(Want(TeamName("team-0001")),))))
    print(f"{arguments.teams} teams, {PROXIES} proxies; a question for one token: {size} bytes")
    for scenario in SCENARIOS:
        measure(scenario, arguments.teams, arguments.seed)


if __name__ == "__main__":
    main()

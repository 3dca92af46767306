"""Model of how shares of quotas move between replicas, so that none is granted twice.

A division is accepted by the group, and names the holders of equal parts. Each holder asks the
leader for its part, and has it for a lease; questions and answers may be late or lost. The leader
may change at any time, and processes may restart. Time passes in ticks, the same for all: that
clocks run at different rates is allowed for by waiting longer than a lease.

How a holder divides its part among requests isn't modelled: it is a bucket of one process.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from fractions import Fraction
from typing import NamedTuple

from minicheck import Protocol  # type: ignore[import-untyped]

# A lease in ticks. Longer ones only delay steps that are allowed here.
LEASE = 1

Hosts = frozenset[int]


class Division(NamedTuple):
    """The holders of one of several equal parts, and who may act on the division before."""

    holders: Hosts
    parts: int
    former: Hosts


class Share(NamedTuple):
    """What one process has: of how many parts one, 0 for none, and for how many ticks.

    is_newest tells whether it is of the newest division.
    """

    parts: int = 0
    left: int = 0
    is_newest: bool = False


class Message(NamedTuple):
    """A renewal under way, which began age ticks ago.

    A question tells whether its sender acts on the newest division; an answer has the parts.
    """

    is_answer: bool
    age: int
    is_newest: bool
    parts: int = 0


class State(NamedTuple):
    """The newest division, the processes, and what the leader knows.

    confirmed are the hosts that it knows to act on the newest division, and since is how many ticks
    ago it learned of that. target counts the targets of the scope that have come up so far.
    """

    division: Division
    shares: tuple[Share, ...]
    messages: tuple[Message | None, ...]
    confirmed: Hosts
    since: int
    target: int
    elections: int
    restarts: int


class Scope(NamedTuple):
    """The first holders, those that are to hold shares later, and what else may happen."""

    hosts: int
    first: Hosts
    targets: tuple[Hosts, ...]
    elections: int = 0
    restarts: int = 0


class Rules(NamedTuple):
    """The rules of the design; a mutation disables one of them."""

    waits_for_holders: bool = True
    takes_before_giving: bool = True
    lease_from_question: bool = True
    new_leader_waits: bool = True


Step = tuple[str, State]
Properties = dict[str, Callable[[dict[str, object]], bool]]


def make_protocol(scope: Scope, rules: Rules) -> Protocol:
    """Return the protocol limited to a scope, in which all first holders have their shares."""
    parts = len(scope.first)
    shares = tuple(
        Share(parts, LEASE, is_newest=True) if host in scope.first else Share()
        for host in range(scope.hosts)
    )
    initial = State(
        division=Division(scope.first, parts, frozenset()),
        shares=shares,
        messages=(None,) * scope.hosts,
        confirmed=frozenset(),
        since=LEASE,
        target=0,
        elections=scope.elections,
        restarts=scope.restarts,
    )
    return Protocol(
        name="quotas",
        candidate=False,
        fields=State._fields,
        initial=initial,
        transitions=lambda state: list(_steps(state, scope, rules)),
        invariants=PROPERTIES,
    )


def _steps(state: State, scope: Scope, rules: Rules) -> Iterator[Step]:
    """Yield each possible next step and the state after it."""
    yield "time passes", _tick(state)
    if state.target + 1 < len(scope.targets):
        yield "another target", state._replace(target=state.target + 1)
    following = _next_division(state, scope.targets[state.target], rules)
    if following is not None:
        yield f"divides {sorted(following.holders)} of {following.parts}", _divide(state, following)
    if state.elections:
        elected = state._replace(
            elections=state.elections - 1,
            since=0 if rules.new_leader_waits else LEASE,
            confirmed=frozenset(),
        )
        yield "another leader", elected
    for host in range(scope.hosts):
        yield from _host_steps(state, host, rules)


def _tick(state: State) -> State:
    """Return the state a tick later; a renewal that is older than a lease is of no use."""
    messages = tuple(
        None if message is None or message.age >= LEASE else message._replace(age=message.age + 1)
        for message in state.messages
    )
    shares = tuple(
        share._replace(left=share.left - 1) if share.left > 1 else Share() for share in state.shares
    )
    since = min(state.since + 1, LEASE)
    return state._replace(shares=shares, messages=messages, since=since)


def _divide(state: State, division: Division) -> State:
    """Return the state after a division, on which no process acts yet."""
    return state._replace(
        division=division,
        since=0,
        confirmed=frozenset(),
        shares=tuple(share._replace(is_newest=False) for share in state.shares),
        messages=tuple(
            None if message is None else message._replace(is_newest=False)
            for message in state.messages
        ),
    )


def _next_division(state: State, target: Hosts, rules: Rules) -> Division | None:
    """Return the next division towards a target, None while the one in force stays."""
    holders, parts, former = state.division
    if (holders, parts) == (target, len(target)):
        return None
    is_confirmed = holders | former <= state.confirmed
    if rules.waits_for_holders and state.since < LEASE and not is_confirmed:
        return None
    kept = Division(holders & target, max(parts, len(target)), holders)
    if rules.takes_before_giving and kept[:2] != (holders, parts):
        return kept
    return Division(target, len(target), holders)


def _host_steps(state: State, host: int, rules: Rules) -> Iterator[Step]:
    """Yield each possible step of one process and of its renewal."""
    share, message = state.shares[host], state.messages[host]
    if state.restarts:
        restarted = _with_share(_with_message(state, host, None), host, Share())
        yield f"{host} restarts", restarted._replace(restarts=state.restarts - 1)
    if message is None:
        question = Message(is_answer=False, age=0, is_newest=share.is_newest)
        yield f"{host} asks", _with_message(state, host, question)
        return
    yield f"the renewal of {host} is lost", _with_message(state, host, None)
    if not message.is_answer:
        parts = state.division.parts if host in state.division.holders else 0
        answer = Message(is_answer=True, age=message.age, is_newest=True, parts=parts)
        confirmed = state.confirmed | ({host} if message.is_newest else set())
        answered = _with_message(state, host, answer)._replace(confirmed=confirmed)
        yield f"the leader answers {host}", answered
        return
    left = LEASE - (message.age if rules.lease_from_question else 0)
    parts = message.parts if left > 0 else 0
    taken = Share(parts, max(left, 0), message.is_newest)
    yield f"{host} takes {parts}", _with_share(_with_message(state, host, None), host, taken)


def _with_share(state: State, host: int, share: Share) -> State:
    """Return the state with the share of one process replaced."""
    return state._replace(shares=_replaced(state.shares, host, share))


def _with_message(state: State, host: int, message: Message | None) -> State:
    """Return the state with the renewal of one process replaced."""
    return state._replace(messages=_replaced(state.messages, host, message))


def _replaced(items: tuple, host: int, item: object) -> tuple:  # type: ignore[type-arg]
    """Return a tuple with one item replaced."""
    return (*items[:host], item, *items[host + 1 :])


def _granted_once(state: dict[str, object]) -> bool:
    """Return whether all shares that may be granted now are at most the whole."""
    shares: tuple[Share, ...] = state["shares"]  # type: ignore[assignment]
    return sum(Fraction(1, share.parts) for share in shares if share.parts and share.left) <= 1


PROPERTIES: Properties = {"no part of a quota is granted twice": _granted_once}

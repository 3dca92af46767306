"""The protocol of acceptance: elections, commitment, a lost disk, changes of the group.

An action is a whole exchange between two replicas, of which the answer may be the last that
happens. Time isn't modelled: pre-votes and leases only delay or refuse what is allowed here.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from minicheck import Protocol  # type: ignore[import-untyped]

# Founders are replicas 0, 1 and 2; replica 3 is the identity of a disk that replaces a lost one.
FOUNDERS = frozenset({0, 1, 2})
NEWCOMER = 3
NOBODY = -1


class Group(NamedTuple):
    """Who votes, and who only learns."""

    voters: frozenset[int]
    learners: frozenset[int]


class Entry(NamedTuple):
    """An entry of the log, with the group that it puts in force, if any."""

    term: int
    group: Group | None


Entries = tuple[Entry, ...]


class Replica(NamedTuple):
    """A replica; votes and matches are what a candidate and a leader were told."""

    term: int = 0
    vote: int = NOBODY
    role: str = "follower"
    votes: frozenset[int] = frozenset()
    matches: tuple[int, ...] = (0, 0, 0, 0)
    log: Entries = ()
    lost: bool = False


class State(NamedTuple):
    """All replicas, what was ever accepted, who led each term, and what may still happen."""

    replicas: tuple[Replica, ...]
    accepted: Entries
    accepted_in: int
    leaders: tuple[int, ...]
    overruled: bool
    two_leaders: bool
    writes: int
    losses: int
    changes: int


class Scope(NamedTuple):
    """How much happens at most, and the steps that it opens with."""

    terms: int
    writes: int
    losses: int = 0
    changes: int = 0
    opening: tuple[str, ...] = ()


class Rules(NamedTuple):
    """The protections, of which a mutation takes one out."""

    syncs_votes: bool = True
    new_identity: bool = True
    commits_own_term_only: bool = True
    one_change_at_once: bool = True


Step = tuple[str, State]


def make_protocol(scope: Scope, rules: Rules) -> Protocol:
    """Return the state machine within a scope, with its invariants."""
    initial = State(
        replicas=(Replica(),) * 4,
        accepted=(),
        accepted_in=0,
        leaders=(NOBODY,) * (scope.terms + 1),
        overruled=False,
        two_leaders=False,
        writes=scope.writes,
        losses=scope.losses,
        changes=scope.changes,
    )
    for wanted in scope.opening:
        initial = next(state for step, state in _steps(initial, scope, rules) if step == wanted)
    return Protocol(
        name="acceptance",
        candidate=False,
        fields=State._fields,
        initial=initial,
        transitions=lambda state: list(_steps(state, scope, rules)),
        invariants=INVARIANTS,
    )


def group_of(log: Entries) -> Group:
    """Return the group that the last entry of its kind puts in force."""
    named = [entry.group for entry in log if entry.group is not None]
    return named[-1] if named else Group(FOUNDERS, frozenset())


def _last(log: Entries) -> tuple[int, int]:
    """Return term and index of the last entry, by which logs are compared."""
    return (log[-1].term if log else 0), len(log)


def _commit(replica: Replica, number: int, rules: Rules) -> int:
    """Return up to which index a leader knows that its log is accepted."""
    voters = group_of(replica.log).voters
    matches = [len(replica.log) if voter == number else replica.matches[voter] for voter in voters]
    index = sorted(matches)[-(len(voters) // 2 + 1)]
    if index and rules.commits_own_term_only and replica.log[index - 1].term != replica.term:
        return 0
    return index


def _with(state: State, changed: dict[int, Replica]) -> State:
    """Return the state with some replicas changed."""
    replicas = tuple(changed.get(number, old) for number, old in enumerate(state.replicas))
    return state._replace(replicas=replicas)


def _accept(state: State, leader: int, rules: Rules) -> State:
    """Return the state with what a leader now knows to be accepted."""
    replica = state.replicas[leader]
    known = replica.log[: _commit(replica, leader, rules)]
    shared = min(len(known), len(state.accepted))
    if known[:shared] != state.accepted[:shared]:
        return state._replace(overruled=True)
    if len(known) <= len(state.accepted):
        return state
    return state._replace(accepted=known, accepted_in=replica.term)


def _steps(state: State, scope: Scope, rules: Rules) -> Iterator[Step]:
    """Yield what can happen next."""
    if state.overruled or state.two_leaders:
        return
    for number, replica in enumerate(state.replicas):
        if replica.lost:
            continue
        if replica.term < scope.terms and number in group_of(replica.log).voters:
            yield f"{number} stands", _stand(state, number)
        match replica.role:
            case "candidate":
                yield from _ask_votes(state, number)
            case "leader":
                yield from _lead(state, number, rules)
        if replica.role != "follower" or not rules.syncs_votes:
            yield f"{number} restarts", _restart(state, number, rules)
        if state.losses and number in FOUNDERS and replica != Replica():
            yield f"{number} loses its disk", _lose(state, number, rules)


def _stand(state: State, number: int) -> State:
    """Return the state after a replica has become a candidate in its next term."""
    replica = state.replicas[number]
    candidate = Replica(
        term=replica.term + 1,
        vote=number,
        role="candidate",
        votes=frozenset({number}),
        log=replica.log,
    )
    return _elect(_with(state, {number: candidate}), number)


def _restart(state: State, number: int, rules: Rules) -> State:
    """Return the state after a replica has lost what it hadn't synced."""
    replica = state.replicas[number]
    vote = replica.vote if rules.syncs_votes else NOBODY
    return _with(state, {number: Replica(term=replica.term, vote=vote, log=replica.log)})


def _lose(state: State, number: int, rules: Rules) -> State:
    """Return the state after a replica has lost its disk."""
    after = Replica(lost=rules.new_identity)
    return _with(state, {number: after})._replace(losses=state.losses - 1)


def _ask_votes(state: State, number: int) -> Iterator[Step]:
    """Yield each vote that a candidate can get."""
    candidate = state.replicas[number]
    for other in group_of(candidate.log).voters - candidate.votes:
        voter = state.replicas[other]
        free = voter.term < candidate.term or (
            voter.term == candidate.term and voter.vote in (NOBODY, number)
        )
        if voter.lost or not free or _last(candidate.log) < _last(voter.log):
            continue
        changed = {
            other: Replica(term=candidate.term, vote=number, log=voter.log),
            number: candidate._replace(votes=candidate.votes | {other}),
        }
        yield f"{other} votes for {number}", _elect(_with(state, changed), number)


def _elect(state: State, number: int) -> State:
    """Return the state in which a candidate leads, if a majority voted for it."""
    candidate = state.replicas[number]
    voters = group_of(candidate.log).voters
    if len(candidate.votes & voters) < len(voters) // 2 + 1:
        return state
    leaders = list(state.leaders)
    second = leaders[candidate.term] != NOBODY
    leaders[candidate.term] = number
    leader = candidate._replace(role="leader", votes=frozenset())
    return _with(state, {number: leader})._replace(leaders=tuple(leaders), two_leaders=second)


def _lead(state: State, number: int, rules: Rules) -> Iterator[Step]:
    """Yield what a leader can do."""
    leader = state.replicas[number]
    if state.writes:
        written = _append(state, number, None, rules)
        yield f"{number} writes", written._replace(writes=state.writes - 1)
    if state.changes and _may_regroup(leader, number, rules):
        for what, group in _regroups(state, number, rules):
            changed = _append(state, number, group, rules)
            yield f"{number} {what}", changed._replace(changes=state.changes - 1)
    group = group_of(leader.log)
    for other in (group.voters | group.learners) - {number}:
        follower = state.replicas[other]
        if not follower.lost and follower.term <= leader.term:
            yield f"{number} sends to {other}", _send(state, number, other, rules)


def _append(state: State, number: int, group: Group | None, rules: Rules) -> State:
    """Return the state after a leader has appended an entry."""
    leader = state.replicas[number]
    log = (*leader.log, Entry(leader.term, group))
    return _accept(_with(state, {number: leader._replace(log=log)}), number, rules)


def _may_regroup(leader: Replica, number: int, rules: Rules) -> bool:
    """Return whether a leader may change the group now."""
    if not rules.one_change_at_once:
        return True
    commit = _commit(leader, number, rules)
    pending = any(entry.group is not None for entry in leader.log[commit:])
    return commit > 0 and not pending


def _regroups(state: State, number: int, rules: Rules) -> Iterator[tuple[str, Group]]:
    """Yield the changes of at most one voter that a leader can make."""
    leader = state.replicas[number]
    voters, learners = group_of(leader.log)
    if NEWCOMER in learners and leader.matches[NEWCOMER] >= _commit(leader, number, rules) > 0:
        yield "promotes", Group(voters | {NEWCOMER}, frozenset())
    for other in sorted(voters - {number, NEWCOMER}):
        if state.replicas[other].lost:
            yield f"replaces {other}", Group(voters - {other}, frozenset({NEWCOMER}))
        elif not state.losses and not learners:
            yield f"removes {other}", Group(voters - {other}, learners)


def _send(state: State, number: int, other: int, rules: Rules) -> State:
    """Return the state after a follower has taken the next entry that it lacks."""
    leader, follower = state.replicas[number], state.replicas[other]
    shared = 0
    pairs = zip(leader.log, follower.log, strict=False)
    while (pair := next(pairs, None)) is not None and pair[0] == pair[1]:
        shared += 1
    index = min(shared + 1, len(leader.log))
    log = follower.log if index == shared else leader.log[:index]
    vote = follower.vote if follower.term == leader.term else NOBODY
    matches = list(leader.matches)
    matches[other] = max(matches[other], index)
    changed = {
        other: Replica(term=leader.term, vote=vote, log=log),
        number: leader._replace(matches=tuple(matches)),
    }
    return _accept(_with(state, changed), number, rules)


def _nothing_lost(state: dict[str, object]) -> bool:
    """Return whether each later leader has all that was accepted before it."""
    found = State(**state)  # type: ignore[arg-type]
    return all(
        replica.log[: len(found.accepted)] == found.accepted
        for replica in found.replicas
        if replica.role == "leader" and replica.term > found.accepted_in
    )


INVARIANTS: dict[str, Callable[[dict[str, object]], bool]] = {
    "accepted is never lost": _nothing_lost,
    "one order": lambda state: not state["overruled"],
    "one leader in a term": lambda state: not state["two_leaders"],
}

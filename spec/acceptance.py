"""Model of how a change is accepted: elections, commitment, lost disks, group changes and leases.

A request and its response form one step. Starting an election, appending an entry, restarting and
losing a disk are steps of their own. Time isn't modelled: pre-votes and leases only delay or
prevent steps that are allowed here. In scopes with leases, a voter that accepts a message promises
its leader no vote to others; the end of that promise is a step, with which its leader stops
counting on it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from minicheck import Protocol  # type: ignore[import-untyped]

# Replicas 0, 1 and 2 are the founders; replica 3 is the new identity that replaces a lost disk, or
# a machine that joins at a new address.
FOUNDERS = frozenset({0, 1, 2})
REPLACEMENT = 3
NO_REPLICA = -1


class Group(NamedTuple):
    """The replicas that vote, and the learners that only receive the log."""

    voters: frozenset[int]
    learners: frozenset[int]


class Entry(NamedTuple):
    """A log entry, with the group that it puts in force, if any."""

    term: int
    group: Group | None


Entries = tuple[Entry, ...]


class Replica(NamedTuple):
    """A replica; votes, matches and leases are those that a candidate or leader has received.

    promised is the leader that counts on this replica's lease. released tells that a candidate was
    asked to take over by a leader that has stepped down.
    """

    term: int = 0
    vote: int = NO_REPLICA
    role: str = "follower"
    votes: frozenset[int] = frozenset()
    matches: tuple[int, ...] = (0, 0, 0, 0)
    log: Entries = ()
    lost: bool = False
    promised: int = NO_REPLICA
    leases: frozenset[int] = frozenset()
    released: bool = False


class State(NamedTuple):
    """All replicas, the accepted entries, the leader of each term, and the steps that remain.

    diverged and two_leaders record a violation. writes, losses and changes are the numbers of
    writes, lost disks and group changes that may still happen.
    """

    replicas: tuple[Replica, ...]
    accepted: Entries
    accepted_in_term: int
    leaders: tuple[int, ...]
    diverged: bool
    two_leaders: bool
    writes: int
    losses: int
    changes: int


class Scope(NamedTuple):
    """The maximum numbers of terms, writes, lost disks and group changes, and the first steps.

    joins tells whether a new machine joins and takes the place of a voter, which then is a learner;
    without it, voters are removed. leases tells whether leases are modelled.
    """

    terms: int
    writes: int
    losses: int = 0
    changes: int = 0
    initial_steps: tuple[str, ...] = ()
    joins: bool = False
    leases: bool = False


class Rules(NamedTuple):
    """The safety rules; a mutation of the protocol disables one of them."""

    syncs_votes: bool = True
    lost_disk_gets_new_identity: bool = True
    commits_own_term_only: bool = True
    one_change_at_a_time: bool = True
    changes_one_voter: bool = True
    keeps_promises: bool = True
    steps_down_first: bool = True


Step = tuple[str, State]


def make_protocol(scope: Scope, rules: Rules) -> Protocol:
    """Return the protocol limited to a scope, with its invariants."""
    initial = State(
        replicas=(Replica(),) * 4,
        accepted=(),
        accepted_in_term=0,
        leaders=(NO_REPLICA,) * (scope.terms + 1),
        diverged=False,
        two_leaders=False,
        writes=scope.writes,
        losses=scope.losses,
        changes=scope.changes,
    )
    for initial_step in scope.initial_steps:
        initial = next(
            state for step, state in _steps(initial, scope, rules) if step == initial_step
        )
    return Protocol(
        name="acceptance",
        candidate=False,
        fields=State._fields,
        initial=initial,
        transitions=lambda state: list(_steps(state, scope, rules)),
        invariants=INVARIANTS,
    )


def group_of(log: Entries) -> Group:
    """Return the group in force according to a log."""
    groups = [entry.group for entry in log if entry.group is not None]
    return groups[-1] if groups else Group(FOUNDERS, frozenset())


def _last_position(log: Entries) -> tuple[int, int]:
    """Return the term and index of the last entry, by which elections compare logs."""
    return (log[-1].term if log else 0), len(log)


def _commit_index(replica: Replica, number: int, rules: Rules) -> int:
    """Return the index up to which a leader knows that its log is committed."""
    voters = group_of(replica.log).voters
    matches = [len(replica.log) if voter == number else replica.matches[voter] for voter in voters]
    index = sorted(matches)[-(len(voters) // 2 + 1)]
    if index and rules.commits_own_term_only and replica.log[index - 1].term != replica.term:
        return 0
    return index


def _replace_replicas(state: State, changed: dict[int, Replica]) -> State:
    """Return the state with some replicas replaced."""
    replicas = tuple(changed.get(number, old) for number, old in enumerate(state.replicas))
    return state._replace(replicas=replicas)


def _accept(state: State, leader: int, rules: Rules) -> State:
    """Return the state with the entries that a leader now knows to be accepted."""
    replica = state.replicas[leader]
    known = replica.log[: _commit_index(replica, leader, rules)]
    shared = min(len(known), len(state.accepted))
    if known[:shared] != state.accepted[:shared]:
        return state._replace(diverged=True)
    if len(known) <= len(state.accepted):
        return state
    return state._replace(accepted=known, accepted_in_term=replica.term)


def _steps(state: State, scope: Scope, rules: Rules) -> Iterator[Step]:
    """Yield each possible next step and the state after it."""
    if state.diverged or state.two_leaders:
        return
    for number, replica in enumerate(state.replicas):
        if replica.lost:
            continue
        is_bound = rules.keeps_promises and replica.promised != NO_REPLICA
        is_voter = number in group_of(replica.log).voters
        if replica.term < scope.terms and is_voter and not is_bound:
            yield f"{number} starts an election", _start_election(state, number)
        match replica.role:
            case "candidate":
                yield from _request_votes(state, number, rules)
            case "leader":
                yield from _leader_steps(state, number, scope, rules)
        if replica.role != "follower" or not rules.syncs_votes:
            yield f"{number} restarts", _restart(state, number, rules)
        if state.losses and number in FOUNDERS and replica != Replica():
            yield f"{number} loses its disk", _lose_disk(state, number, rules)
        if replica.promised != NO_REPLICA:
            yield f"the promise of {number} ends", _end_promise(state, number)


def _start_election(state: State, number: int, *, released: bool = False) -> State:
    """Return the state after a replica became a candidate in its next term."""
    replica = state.replicas[number]
    candidate = Replica(
        term=replica.term + 1,
        vote=number,
        role="candidate",
        votes=frozenset({number}),
        log=replica.log,
        promised=replica.promised,
        released=released,
    )
    return _elect(_replace_replicas(state, {number: candidate}), number)


def _end_promise(state: State, number: int) -> State:
    """Return the state after the lease of a voter has run out, and its leader counts it no more."""
    replica = state.replicas[number]
    leader = state.replicas[replica.promised]
    changed = {
        replica.promised: leader._replace(leases=leader.leases - {number}),
        number: replica._replace(promised=NO_REPLICA),
    }
    return _replace_replicas(state, changed)


def _restart(state: State, number: int, rules: Rules) -> State:
    """Return the state after a restart, which loses everything that wasn't synced."""
    replica = state.replicas[number]
    vote = replica.vote if rules.syncs_votes else NO_REPLICA
    # A process that starts keeps the promise that it may have made before.
    restarted = Replica(term=replica.term, vote=vote, log=replica.log, promised=replica.promised)
    return _replace_replicas(state, {number: restarted})


def _lose_disk(state: State, number: int, rules: Rules) -> State:
    """Return the state after a replica lost its disk."""
    after = Replica(lost=rules.lost_disk_gets_new_identity)
    return _replace_replicas(state, {number: after})._replace(losses=state.losses - 1)


def _request_votes(state: State, number: int, rules: Rules) -> Iterator[Step]:
    """Yield a step for each vote that a candidate can get."""
    candidate = state.replicas[number]
    for other in group_of(candidate.log).voters - candidate.votes:
        voter = state.replicas[other]
        can_vote = voter.term < candidate.term or (
            voter.term == candidate.term and voter.vote in (NO_REPLICA, number)
        )
        if voter.lost or not can_vote or _last_position(candidate.log) < _last_position(voter.log):
            continue
        is_released = candidate.released and voter.term < candidate.term
        if rules.keeps_promises and voter.promised != NO_REPLICA and not is_released:
            continue
        changed = {
            other: Replica(
                term=candidate.term, vote=number, log=voter.log, promised=voter.promised
            ),
            number: candidate._replace(votes=candidate.votes | {other}),
        }
        yield f"{other} votes for {number}", _elect(_replace_replicas(state, changed), number)


def _elect(state: State, number: int) -> State:
    """Return the state with a candidate as leader, if a majority voted for it."""
    candidate = state.replicas[number]
    voters = group_of(candidate.log).voters
    if len(candidate.votes & voters) < len(voters) // 2 + 1:
        return state
    leaders = list(state.leaders)
    has_other_leader = leaders[candidate.term] != NO_REPLICA
    leaders[candidate.term] = number
    leader = candidate._replace(role="leader", votes=frozenset(), released=False)
    return _replace_replicas(state, {number: leader})._replace(
        leaders=tuple(leaders), two_leaders=has_other_leader
    )


def _leader_steps(state: State, number: int, scope: Scope, rules: Rules) -> Iterator[Step]:
    """Yield each possible step of a leader."""
    leader = state.replicas[number]
    if state.writes:
        written = _append(state, number, None, rules)
        yield f"{number} writes", written._replace(writes=state.writes - 1)
    if state.changes and _may_change_group(leader, number, rules):
        for change, group in _group_changes(state, number, scope, rules):
            changed = _append(state, number, group, rules)
            yield f"{number} {change}", changed._replace(changes=state.changes - 1)
    group = group_of(leader.log)
    for other in sorted((group.voters | group.learners) - {number}):
        follower = state.replicas[other]
        if not follower.lost and follower.term <= leader.term:
            yield f"{number} sends to {other}", _send(state, number, other, scope, rules)
        is_complete = leader.matches[other] == len(leader.log)
        can_take_over = is_complete and other in group.voters and follower.term == leader.term
        if scope.leases and can_take_over and leader.term < scope.terms:
            yield f"{number} hands over to {other}", _hand_over(state, number, other, rules)


def _hand_over(state: State, number: int, other: int, rules: Rules) -> State:
    """Return the state after a leader stepped down, and a voter with its log took over."""
    if rules.steps_down_first:
        leader = state.replicas[number]
        follower = leader._replace(role="follower", matches=Replica().matches, leases=frozenset())
        state = _replace_replicas(state, {number: follower})
    return _start_election(state, other, released=True)


def _append(state: State, number: int, group: Group | None, rules: Rules) -> State:
    """Return the state after a leader appended an entry."""
    leader = state.replicas[number]
    log = (*leader.log, Entry(leader.term, group))
    return _accept(_replace_replicas(state, {number: leader._replace(log=log)}), number, rules)


def _may_change_group(leader: Replica, number: int, rules: Rules) -> bool:
    """Return whether a leader may change the group now."""
    if not rules.one_change_at_a_time:
        return True
    commit_index = _commit_index(leader, number, rules)
    pending = any(entry.group is not None for entry in leader.log[commit_index:])
    return commit_index > 0 and not pending


def _group_changes(
    state: State, number: int, scope: Scope, rules: Rules
) -> Iterator[tuple[str, Group]]:
    """Yield each group change that a leader can make, which affects at most one voter."""
    leader = state.replicas[number]
    voters, learners = group_of(leader.log)
    commit_index = _commit_index(leader, number, rules)
    caught_up = [item for item in learners if leader.matches[item] >= commit_index > 0]
    for learner in sorted(caught_up):
        yield f"promotes {learner}", Group(voters | {learner}, learners - {learner})
    if scope.joins and REPLACEMENT not in voters | learners:
        yield f"adds {REPLACEMENT}", Group(voters, learners | {REPLACEMENT})
    for other in sorted(voters - {number, REPLACEMENT}):
        rest = voters - {other}
        if state.replicas[other].lost:
            yield f"replaces {other}", Group(rest, frozenset({REPLACEMENT}))
        elif scope.joins:
            yield f"demotes {other}", Group(rest, learners | {other})
            if not rules.changes_one_voter and learners:
                yield f"swaps {other}", Group(rest | learners, frozenset({other}))
        elif not state.losses and not learners:
            yield f"removes {other}", Group(rest, learners)


def _send(state: State, number: int, other: int, scope: Scope, rules: Rules) -> State:
    """Return the state after a follower accepted the next entry that it lacks."""
    leader, follower = state.replicas[number], state.replicas[other]
    shared = 0
    pairs = zip(leader.log, follower.log, strict=False)
    while (pair := next(pairs, None)) is not None and pair[0] == pair[1]:
        shared += 1
    index = min(shared + 1, len(leader.log))
    log = follower.log if index == shared else leader.log[:index]
    vote = follower.vote if follower.term == leader.term else NO_REPLICA
    matches = list(leader.matches)
    matches[other] = max(matches[other], index)
    changed = {
        other: Replica(term=leader.term, vote=vote, log=log),
        number: leader._replace(matches=tuple(matches)),
    }
    if scope.leases:
        changed[other] = changed[other]._replace(promised=number)
        changed[number] = changed[number]._replace(leases=leader.leases | {other})
    return _accept(_replace_replicas(state, changed), number, rules)


def _holds_lease(number: int, replica: Replica) -> bool:
    """Return whether a leader may answer reads."""
    if replica.role != "leader" or not replica.leases:
        return False
    voters = group_of(replica.log).voters
    has_committed = _commit_index(replica, number, Rules()) > 0
    return has_committed and len((replica.leases | {number}) & voters) > len(voters) // 2


def _leases_are_exclusive(state: dict[str, object]) -> bool:
    """Return whether at most one leader holds a lease, and has all accepted entries."""
    current = State(**state)  # type: ignore[arg-type]
    holders = [
        replica for number, replica in enumerate(current.replicas) if _holds_lease(number, replica)
    ]
    has_all = all(item.log[: len(current.accepted)] == current.accepted for item in holders)
    return len(holders) <= 1 and has_all


def _accepted_is_kept(state: dict[str, object]) -> bool:
    """Return whether each leader of a later term has all accepted entries."""
    current = State(**state)  # type: ignore[arg-type]
    return all(
        replica.log[: len(current.accepted)] == current.accepted
        for replica in current.replicas
        if replica.role == "leader" and replica.term > current.accepted_in_term
    )


INVARIANTS: dict[str, Callable[[dict[str, object]], bool]] = {
    "accepted is never lost": _accepted_is_kept,
    "one order": lambda state: not state["diverged"],
    "one leader in a term": lambda state: not state["two_leaders"],
    "one lease at a time": _leases_are_exclusive,
}

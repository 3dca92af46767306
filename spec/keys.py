"""Model of how requests are decided about while keys move between teams and routes change.

A proxy applies versions at its own pace, never an older one, also across a restart. The entry proxy
decides when it has read the head, and offers the request later; the owner decides again when the
request starts, by what the offer carries. A refusal of the owner, the loss of an attempt and a
retry at the other owner are steps of their own. Time isn't modelled: a body, a queue and a lost
message only delay steps that are allowed here.

What the design doesn't promise is in LIMITS.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from minicheck import Protocol  # type: ignore[import-untyped]

NO_TEAM = ""
ENTRY = 0
OWNERS = (1, 2)
NOWHERE = -1
# At how many owners one request is tried.
MAX_OFFERS = 2


class Config(NamedTuple):
    """What one version says: how the route uses keys, and which team has the key, if any."""

    use: str
    holder: str = NO_TEAM


class Proxy(NamedTuple):
    """A proxy: its version, 0 after a restart, and the one below which it applies none then."""

    version: int = 1
    floor: int = 1


class Call(NamedTuple):
    """A request and its newest decision.

    shows tells whether it shows the key, parent is the team of the request that it is nested in.
    version is that of the decision, or the one that is waited for. has_digest tells whether the
    offer carries the digest of the key, and has_key whether the key itself goes along.
    """

    phase: str = "none"
    shows: bool = False
    parent: str = NO_TEAM
    entry: int = ENTRY
    owner: int = NOWHERE
    offers: int = 0
    version: int = 0
    team: str = NO_TEAM
    has_digest: bool = False
    has_key: bool = False


class State(NamedTuple):
    """The accepted versions, the proxies, a request, a call nested in it, and what was violated.

    accepted is the newest version that is accepted, known the newest that the entry proxy knows to
    be. restarts is the number of restarts that may still happen.
    """

    accepted: int
    known: int
    proxies: tuple[Proxy, ...]
    call: Call
    nested: Call
    restarts: int
    violated: frozenset[str]


class Scope(NamedTuple):
    """The versions in the order of their acceptance, and what else may happen."""

    configs: tuple[Config, ...]
    shows: bool = True
    restarts: int = 0
    nested: bool = False


class Rules(NamedTuple):
    """The rules of the design; a mutation disables one of them."""

    owner_decides_again: bool = True
    waits_for_newest: bool = True
    withholds_keys: bool = True
    sends_unknown_keys: bool = True
    nested_needs_public_route: bool = True


class Decision(NamedTuple):
    """An admission: the team, whether the offer has the digest, and whether the key goes along."""

    team: str
    has_digest: bool
    has_key: bool


Step = tuple[str, State]
Properties = dict[str, Callable[[dict[str, object]], bool]]


def make_protocol(scope: Scope, rules: Rules, properties: Properties) -> Protocol:
    """Return the protocol limited to a scope; each path ends where it violates a property."""
    initial = State(
        accepted=1,
        known=1,
        proxies=(Proxy(),) * 3,
        call=Call(phase="new", shows=scope.shows),
        nested=Call(),
        restarts=scope.restarts,
        violated=frozenset(),
    )
    return Protocol(
        name="keys",
        candidate=False,
        fields=State._fields,
        initial=initial,
        transitions=lambda state: list(_steps(state, scope, rules, properties)),
        invariants=properties,
    )


def _decide(config: Config, call: Call, rules: Rules) -> Decision | None:
    """Return the entry proxy's decision by a version, None for a refusal."""
    if config.use == "ignored":
        return Decision(NO_TEAM, has_digest=False, has_key=call.shows)
    has_key = call.shows and not rules.withholds_keys
    if call.shows and config.holder:
        return Decision(config.holder, has_digest=True, has_key=has_key)
    if config.use == "optional" or (call.parent and not rules.nested_needs_public_route):
        has_digest = call.shows and rules.sends_unknown_keys
        return Decision(call.parent, has_digest, has_key)
    return None


def _is_outdated(config: Config, call: Call) -> bool:
    """Return whether an owner's newer version treats a request otherwise than its offer says."""
    if config.use == "ignored":
        return call.team != NO_TEAM
    if call.has_key:
        return True
    if call.has_digest and config.holder:
        return call.team != config.holder
    if config.use == "optional":
        return call.has_digest and call.team != NO_TEAM
    return True


def _teams(config: Config, call: Call) -> frozenset[str]:
    """Return the teams for which a version lets a request run: none, or exactly one.

    This is what the version means, whatever an offer carries.
    """
    match config:
        case Config(use="ignored"):
            return frozenset({NO_TEAM})
        case Config(holder=holder) if holder and call.shows:
            return frozenset({holder})
        case Config(use="optional"):
            return frozenset({call.parent})
        case _:
            return frozenset()


def _replace_proxy(state: State, number: int, proxy: Proxy) -> State:
    """Return the state with one proxy replaced."""
    proxies = tuple(proxy if at == number else old for at, old in enumerate(state.proxies))
    known = max(state.known, proxies[ENTRY].version)
    return state._replace(proxies=proxies, known=known)


def _steps(state: State, scope: Scope, rules: Rules, properties: Properties) -> Iterator[Step]:
    """Yield each possible next step and the state after it."""
    if state.violated:
        return
    if state.accepted < len(scope.configs):
        yield "a version is accepted", state._replace(accepted=state.accepted + 1)
    if state.known < state.accepted:
        yield "the entry hears of a version", state._replace(known=state.known + 1)
    for number, proxy in enumerate(state.proxies):
        # Several versions at once are the same as one after another with nothing in between.
        following = proxy.version + 1 if proxy.version else proxy.floor
        if following <= state.accepted:
            applied = _replace_proxy(state, number, Proxy(following, floor=1))
            yield f"{number} applies {following}", applied
        if state.restarts:
            yield f"{number} restarts", _restart(state, number)
    for field, call in (("call", state.call), ("nested", state.nested)):
        for label, changed, violated in _call_steps(state, call, scope, rules):
            after = state._replace(violated=violated.intersection(properties))
            match field:
                case "call":
                    yield f"the request {label}", after._replace(call=changed)
                case "nested":
                    yield f"the nested call {label}", after._replace(nested=changed)
    if scope.nested and state.call.phase == "running" and state.nested.phase == "none":
        nested = Call(phase="new", parent=state.call.team, entry=state.call.owner)
        yield "the upstream makes a call", state._replace(nested=nested)


def _restart(state: State, number: int) -> State:
    """Return the state after a proxy's restart, which ends what it was doing.

    It applies no version older than the newest one that was accepted before it asked.
    """
    restarted = Proxy(0, floor=state.accepted)
    state = _replace_proxy(state, number, restarted)._replace(restarts=state.restarts - 1)
    if number == ENTRY:
        # It knows nothing until it applies a version, which is at least its floor.
        state = state._replace(known=state.accepted)
    return state._replace(
        call=_after_restart(state.call, number), nested=_after_restart(state.nested, number)
    )


def _after_restart(call: Call, number: int) -> Call:
    """Return a request after the restart of a proxy, which it may be waiting at."""
    is_begun = call.phase in ("routed", "queued", "running", "waiting")
    if call.entry == number and is_begun:
        return Call(phase="ended")
    if call.owner == number and call.phase in ("queued", "running"):
        return _lost(call)
    return call


def _lost(call: Call) -> Call:
    """Return a request whose attempt is lost: it is offered to the other owner, or ends."""
    if call.offers >= MAX_OFFERS:
        return Call(phase="ended")
    return call._replace(phase="routed")


CallStep = tuple[str, Call, frozenset[str]]


def _call_steps(state: State, call: Call, scope: Scope, rules: Rules) -> Iterator[CallStep]:
    """Yield each possible step of a request, the request after it, and what it violates."""
    entry = state.proxies[call.entry]
    fine: frozenset[str] = frozenset()
    match call.phase:
        case "new" if entry.version:
            yield _route(state, call, scope, rules)
        case "waiting" if entry.version >= call.version:
            yield _route(state, call, scope, rules)
        case "waiting":
            yield "is refused with 503", Call(phase="ended"), fine
        case "routed":
            for owner in OWNERS:
                # A call that an upstream makes is for the upstream of another host here.
                if owner not in (call.owner, call.entry):
                    offered = call._replace(phase="queued", owner=owner, offers=call.offers + 1)
                    yield f"is offered to {owner}", offered, fine
        case "queued":
            yield "is turned away", _lost(call), fine
            yield _start(state, call, scope, rules)
        case "running":
            yield "is answered", Call(phase="ended"), fine
            yield "loses its attempt", _lost(call), fine


def _route(state: State, call: Call, scope: Scope, rules: Rules) -> CallStep:
    """Decide about a request at its entry proxy by the version in force there."""
    version = state.proxies[call.entry].version
    known = state.known if call.entry == ENTRY else version
    has_waited = call.phase == "waiting"
    decision = _decide(scope.configs[version - 1], call, rules)
    if decision is not None:
        team, has_digest, has_key = decision
        routed = call._replace(
            phase="routed", version=version, team=team, has_digest=has_digest, has_key=has_key
        )
        return f"is routed by {version}", routed._replace(owner=NOWHERE, offers=0), frozenset()
    if known > version and (rules.waits_for_newest or not has_waited):
        return f"waits for {known}", _waiting(call, known), frozenset()
    violated = {"no refusal by a version known to be replaced"} if known > version else set()
    return f"is refused with 401 by {version}", Call(phase="ended"), frozenset(violated)


def _waiting(call: Call, version: int) -> Call:
    """Return a request that waits for a version, without its earlier decision."""
    return Call("waiting", call.shows, call.parent, call.entry, version=version)


def _start(state: State, call: Call, scope: Scope, rules: Rules) -> CallStep:
    """Start a request at its owner, unless a newer version there treats it otherwise."""
    version = state.proxies[call.owner].version
    is_newer = version > call.version
    if is_newer and rules.owner_decides_again and _is_outdated(scope.configs[version - 1], call):
        return f"is outdated by {version}", _waiting(call, version), frozenset()
    running = call._replace(phase="running")
    return "starts", running, frozenset(_violations(state, call, scope))


def _violations(state: State, call: Call, scope: Scope) -> Iterator[str]:
    """Yield the names of the properties that the start of a request violates."""
    owned = state.proxies[call.owner].version
    first, last = sorted((call.version, owned or call.version))
    between = scope.configs[first - 1 : last]
    if all(call.team not in _teams(config, call) for config in between):
        yield "runs only for a team of the versions in between"
    if owned > call.version:
        teams = _teams(scope.configs[owned - 1], call)
        if not teams:
            yield "no start that the owner's version refuses"
        elif call.team not in teams and not call.shows:
            yield "a call without a key runs for the team of the owner's version"
        elif call.team not in teams:
            yield "a key that was unknown runs for its team in the owner's version"
    if not call.has_key:
        return
    if scope.configs[last - 1].use != "ignored":
        yield "no key goes along by the newer version"
    versions = (call.version, owned, state.proxies[call.entry].version)
    if any(version and scope.configs[version - 1].use != "ignored" for version in versions):
        yield "no key goes along by any version in force"


def _never(name: str) -> Callable[[dict[str, object]], bool]:
    """Return the invariant that a property is never violated."""
    return lambda state: name not in state["violated"]  # type: ignore[operator]


PROPERTIES: Properties = {
    name: _never(name)
    for name in (
        "runs only for a team of the versions in between",
        "no start that the owner's version refuses",
        "no key goes along by the newer version",
        "no refusal by a version known to be replaced",
        "a key that was unknown runs for its team in the owner's version",
    )
}
# What the design doesn't promise. An offer doesn't carry the parent's team by a route that ignored
# keys. An entry proxy calls no offer back, and an owner doesn't check a request by a version that
# is older than the entry's.
LIMITS: Properties = {
    name: _never(name)
    for name in (
        "a call without a key runs for the team of the owner's version",
        "no key goes along by any version in force",
    )
}

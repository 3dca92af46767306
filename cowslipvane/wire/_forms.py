"""JSON forms of resources, changes, convergence and rollouts, for operators."""

from __future__ import annotations

from typing import Any, TypedDict, get_args, get_origin

from cattrs import Converter, transform_error
from cattrs.cols import (
    namedtuple_dict_structure_factory,
    namedtuple_dict_unstructure_factory,
)
from cattrs.errors import ForbiddenExtraKeysError, IterableValidationError, IterableValidationNote
from cattrs.gen import make_dict_structure_fn, override

from cowslipvane.catalogue import (
    KINDS,
    SYSTEM_KINDS,
    Accepted,
    AcceptedChange,
    Change,
    Conflict,
    Effect,
    Fault,
    Invalid,
    Key,
    Outcome,
    QuotaHolder,
    Release,
    Resource,
    Rollout,
    Spec,
    Target,
    Team,
    document_digest,
)
from cowslipvane.subscription import Convergence, Progress
from cowslipvane.types import Header, KeyDigest, OperationId, Version

MAX_TEXT_CHARACTERS = 1024


class ResourceForm(TypedDict):
    """A resource, as operators read and write it."""

    kind: str
    name: str
    spec: dict[str, Any]
    version: int


class ReleaseForm(TypedDict):
    """A release without its document, in which operators of the platform send keys."""

    number: int
    based_on: int
    document_characters: int
    document_digest: str


class FaultForm(TypedDict):
    """A fault in a change or a specification, with its path."""

    path: str
    message: str


class OutcomeForm(TypedDict, total=False):
    """The response to a change."""

    outcome: str
    version: int
    accepted_at: float
    conflict: str
    winner: str
    faults: list[FaultForm]
    sentence: str


class LagForm(TypedDict):
    """A proxy that is behind the accepted version, and since when."""

    host: str
    version: int
    since: float | None
    rejected: str


class StatusForm(TypedDict, total=False):
    """The convergence status of the version that last changed a resource."""

    accepted_at: float | None
    in_force: int
    proxies: int
    everywhere_at: float | None
    behind: list[LagForm]


class ProgressForm(TypedDict):
    """The convergence progress of a version."""

    version: int
    in_force: int
    proxies: int
    everywhere_at: float | None
    behind: list[LagForm]
    silent: list[str]


class ChangedForm(TypedDict):
    """A resource that a change wrote, or deleted when the specification is None."""

    kind: str
    name: str
    spec: dict[str, Any] | None


class ChangeForm(TypedDict):
    """An accepted change."""

    accepted: int
    accepted_at: float
    operation_id: str
    resources: list[ChangedForm]


class RolloutForm(TypedDict):
    """A rollout; times are in seconds, ordered_at is wall time."""

    service: str
    target_version: str
    duration: float
    ordered_at: float
    phase: str
    share: float
    reason: str


class EffectForm(TypedDict):
    """The specification of a resource before and after a change; None if there is no resource."""

    kind: str
    name: str
    before: dict[str, Any] | None
    after: dict[str, Any] | None


def status_form(
    version: Version, acceptance_times: dict[Version, float], convergence: Convergence
) -> StatusForm:
    """Return the convergence status of the version that last changed a resource as JSON."""
    return StatusForm(
        accepted_at=acceptance_times.get(version),
        in_force=convergence.in_force(version),
        proxies=convergence.live_proxy_count,
        everywhere_at=convergence.everywhere_at(version),
    )


def progress_form(progress: Progress) -> ProgressForm:
    """Return the progress of a version as JSON."""
    return ProgressForm(
        version=progress.version,
        in_force=progress.in_force,
        proxies=progress.proxies,
        everywhere_at=progress.everywhere_at,
        behind=[
            LagForm(host=lag.host, version=lag.version, since=lag.since, rejected=lag.rejected)
            for lag in progress.behind
        ],
        silent=list(progress.silent),
    )


def change_form(change: AcceptedChange) -> ChangeForm:
    """Return an accepted change as JSON."""
    return ChangeForm(
        accepted=change.version,
        accepted_at=change.accepted_at,
        operation_id=change.operation_id,
        resources=[
            ChangedForm(kind=key.kind, name=key.name, spec=_spec_form(resource and resource.spec))
            for key, resource in sorted(change.after.items())
        ],
    )


def effect_form(effect: Effect) -> EffectForm:
    """Return the effect of a change on a resource as JSON."""
    return EffectForm(
        kind=effect.key.kind,
        name=effect.key.name,
        before=_spec_form(effect.before),
        after=_spec_form(effect.after),
    )


def rollout_form(service: str, rollout: Rollout) -> RolloutForm:
    """Return a rollout of a service as JSON."""
    return RolloutForm(
        service=service,
        target_version=rollout.target_version,
        duration=rollout.duration,
        ordered_at=rollout.ordered_at,
        phase=rollout.phase,
        share=rollout.share,
        reason=rollout.reason,
    )


def _spec_form(spec: Spec | None) -> dict[str, Any] | None:
    """Return a specification as JSON, or None if there is none."""
    return None if spec is None else _form_of(spec)


def _form_of(spec: Spec) -> dict[str, Any]:
    """Return a specification as JSON; of a release, its document and pieces are left out."""
    match spec:
        case Release() as release:
            return {**_release_form(release)}
        case _:
            form: dict[str, Any] = _CONVERTER.unstructure(spec)
            return form


def _release_form(release: Release) -> ReleaseForm:
    """Return a release as JSON."""
    return ReleaseForm(
        number=release.number,
        based_on=release.based_on,
        document_characters=len(release.document),
        document_digest=document_digest(release),
    )


def resource_form(resource: Resource) -> ResourceForm:
    """Return a resource as JSON."""
    return ResourceForm(
        kind=resource.key.kind,
        name=resource.key.name,
        spec=_form_of(resource.spec),
        version=resource.version,
    )


def outcome_form(outcome: Outcome) -> OutcomeForm:
    """Return the outcome of a change as JSON."""
    match outcome:
        case Accepted(version=version, accepted_at=accepted_at):
            sentence = f"accepted as version {version}"
            return OutcomeForm(
                outcome="accepted", version=version, accepted_at=accepted_at, sentence=sentence
            )
        case Conflict(key=key, winner=winner, version=version):
            return OutcomeForm(
                outcome="conflict",
                conflict=str(key),
                winner=winner,
                version=version,
                sentence=(
                    f"not run: {_conflict_reason(key, winner, version)};"
                    " read it again and base the change on that version"
                ),
            )
        case Invalid(faults=faults):
            return OutcomeForm(
                outcome="invalid",
                faults=fault_forms(faults),
                sentence=f"not run: {len(faults)} faults; mend them all and apply again",
            )


def _conflict_reason(key: Key, winner: OperationId, version: Version) -> str:
    """Return why a change conflicts with a version."""
    if winner:
        return f"{key} was changed by operation {winner} in version {version}"
    return f"it isn't known any more whether {key} was deleted up to version {version}"


def fault_forms(faults: tuple[Fault, ...]) -> list[FaultForm]:
    """Return faults as JSON."""
    return [FaultForm(path=fault.path, message=fault.message) for fault in faults]


def read_change(form: Any) -> Change | Invalid:
    """Parse a change from a JSON value; return all its faults if it is invalid."""
    if not isinstance(form, dict):
        return Invalid(faults=(Fault("$", "must be an object"),))
    faults: list[Fault] = []
    unknown = form.keys() - {"operation_id", "based_on", "resources", "deletes", "dry_run"}
    faults += [Fault(name, "is no known key") for name in sorted(unknown)]
    operation_id = form.get("operation_id")
    if not _is_text(operation_id) or not operation_id:
        faults.append(Fault("operation_id", "must be a text that names this change"))
    based_on = form.get("based_on")
    if type(based_on) is not int or based_on < 0:
        faults.append(Fault("based_on", "must be the version that the change is based on"))
    puts = _read_puts(form.get("resources", []), faults)
    deletes = _read_deletes(form.get("deletes", []), faults)
    conflicting = {key for key, _ in puts} & set(deletes)
    faults += [Fault(str(key), "is both written and deleted") for key in sorted(conflicting)]
    if faults:
        return Invalid(faults=tuple(faults))
    return Change(OperationId(str(operation_id)), Version(int(based_on or 0)), puts, deletes)


def read_spec(key: Key, form: Any) -> Spec | Invalid:
    """Parse a specification from a JSON value; return all its faults if it is invalid."""
    faults: list[Fault] = []
    if _read_key({"kind": key.kind, "name": key.name}, "resource", faults) is None:
        return Invalid(faults=tuple(faults))
    spec = _read_spec(key, form, faults)
    return Invalid(faults=tuple(faults)) if spec is None else spec


def _is_text(value: Any) -> bool:
    """Return whether a value is a text that any message can carry: printable, and not too long."""
    return isinstance(value, str) and len(value) <= MAX_TEXT_CHARACTERS and value.isprintable()


def _read_puts(forms: Any, faults: list[Fault]) -> tuple[tuple[Key, Spec], ...]:
    """Parse the resources to write, and append their faults to `faults`."""
    if not isinstance(forms, list):
        faults.append(Fault("resources", "must be a list"))
        return ()
    puts: dict[Key, Spec] = {}
    for position, form in enumerate(forms):
        key = _read_key(form, f"resources[{position}]", faults)
        if key is None:
            continue
        if key in puts:
            faults.append(Fault(str(key), "is written twice; keep one"))
        spec = _read_spec(key, form.get("spec", {}), faults)
        if spec is not None:
            puts[key] = spec
    return tuple(puts.items())


def _read_deletes(forms: Any, faults: list[Fault]) -> tuple[Key, ...]:
    """Parse the keys to delete, and append their faults to `faults`."""
    if not isinstance(forms, list):
        faults.append(Fault("deletes", "must be a list"))
        return ()
    keys = [_read_key(form, f"deletes[{position}]", faults) for position, form in enumerate(forms)]
    return tuple(key for key in keys if key is not None)


def _read_key(form: Any, path: str, faults: list[Fault]) -> Key | None:
    """Parse a kind and name, and append their faults to `faults`."""
    if not isinstance(form, dict):
        faults.append(Fault(path, "must be an object with kind and name"))
        return None
    kind, name = form.get("kind"), form.get("name")
    if not isinstance(kind, str) or kind not in KINDS:
        faults.append(Fault(f"{path}.kind", f"found {kind!r}; allowed are {', '.join(KINDS)}"))
        return None
    if kind in SYSTEM_KINDS:
        faults.append(Fault(f"{path}.kind", f"found {kind}, which replicas write by themselves"))
        return None
    if not _is_text(name) or not name or "/" in name:
        faults.append(Fault(f"{path}.name", f"found {name!r:.80}; allowed is a text without /"))
        return None
    unknown = form.keys() - {"kind", "name", "spec", "status", "version"}
    faults += [Fault(f"{kind}/{name}.{extra}", "is no known field") for extra in sorted(unknown)]
    return Key(kind, name)


def _read_spec(key: Key, form: Any, faults: list[Fault]) -> Spec | None:
    """Parse a specification, and append its faults to `faults`."""
    if not isinstance(form, dict):
        found = _found(form, is_secret=KINDS[key.kind] is Team)
        faults.append(Fault(str(key), f"{found}allowed is an object of fields"))
        return None
    try:
        spec: Spec = _CONVERTER.structure(form, KINDS[key.kind])
    except Exception as error:
        for line in transform_error(error, path=str(key), format_exception=_format_error):
            message, _, path = line.rpartition(" @ ")
            faults.append(Fault(path, message))
        return None
    return spec


def _format_error(error: BaseException, _: type | None) -> str:
    """Return the message of an error for the author of the resource."""
    match error:
        case KeyError():
            return f"needs a field {error.args[0]}"
        case ForbiddenExtraKeysError():
            return f"has no field {', '.join(sorted(error.extra_fields))}"
        case _:
            return str(error)


def _strict_hook(kind: type, *allowed: type) -> Any:
    """Return a hook that accepts only values of the given types, and coerces no others."""

    def structure(value: Any, _: Any) -> Any:
        if type(value) not in (kind, *allowed):
            raise ValueError(f"found {value!r}; allowed is a {kind.__name__}")
        return kind(value)

    return structure


def _structure_text(value: Any, _: Any) -> str:
    """Return a printable text of limited length unchanged; raise ValueError for other values."""
    if not _is_text(value):
        limit = f"a printable text of at most {MAX_TEXT_CHARACTERS} characters"
        raise ValueError(f"found {value!r:.80}; allowed is {limit}")
    return str(value)


def _structure_key_digest(value: Any, _: Any) -> KeyDigest:
    """Return a text unchanged; raise ValueError for other values, which may hold a key."""
    if not _is_text(value):
        raise ValueError("allowed is a digest in hexadecimal digits")
    return KeyDigest(value)


def _found(value: Any, *, is_secret: bool) -> str:
    """Return the beginning of a fault that tells what was found, unless that may hold a key."""
    return "" if is_secret else f"found {value!r:.80}; "


def _is_variadic_tuple(kind: Any) -> bool:
    """Return whether a type is a tuple of variable length, such as tuple[str, ...]."""
    return get_origin(kind) is tuple and get_args(kind)[-1] is Ellipsis


def _sequence_hook(converter: Converter, kind: Any) -> Any:
    """Return a hook that reads a tuple from a list only, and collects the faults of all items."""
    item_type = get_args(kind)[0]
    read_item = converter.get_structure_hook(item_type)

    def structure(value: Any, _: Any) -> Any:
        if not isinstance(value, list):
            found = _found(value, is_secret=item_type is KeyDigest)
            raise ValueError(f"{found}allowed is a list")
        faults: list[Exception] = []
        items = []
        for position, element in enumerate(value):
            try:
                items.append(read_item(element, item_type))
            except Exception as error:
                note = IterableValidationNote(f"item {position}", position, item_type)
                error.__notes__ = [*getattr(error, "__notes__", []), note]
                faults.append(error)
        if faults:
            raise IterableValidationError("items", faults, kind)
        return tuple(items)

    return structure


def _make_converter() -> Converter:
    """Return the converter between specifications and JSON values."""
    converter = Converter(detailed_validation=True, forbid_extra_keys=True)
    converter.register_structure_hook(int, _strict_hook(int))
    converter.register_structure_hook(str, _structure_text)
    converter.register_structure_hook(KeyDigest, _structure_key_digest)
    converter.register_structure_hook_factory(
        _is_variadic_tuple, lambda kind: _sequence_hook(converter, kind)
    )
    converter.register_structure_hook(bool, _strict_hook(bool))
    converter.register_structure_hook(float, _strict_hook(float, int))
    for kind in (Target, Header, QuotaHolder):
        converter.register_structure_hook(
            kind, namedtuple_dict_structure_factory(kind, converter, "from_converter", True)
        )
        converter.register_unstructure_hook(
            kind, namedtuple_dict_unstructure_factory(kind, converter)
        )
    # The digest of a document that an operator makes of pieces of another would tell its text.
    read_release = make_dict_structure_fn(
        Release, converter, pieces=override(omit=True), _cattrs_forbid_extra_keys=True
    )
    converter.register_structure_hook(Release, read_release)
    return converter


_CONVERTER = _make_converter()

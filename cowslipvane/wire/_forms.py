"""Resources and changes as JSON, for operators."""

from __future__ import annotations

from typing import Any, TypedDict

from cattrs import Converter, transform_error
from cattrs.cols import namedtuple_dict_structure_factory, namedtuple_dict_unstructure_factory
from cattrs.errors import ForbiddenExtraKeysError

from cowslipvane.catalogue import (
    KINDS,
    Accepted,
    Change,
    Conflict,
    Fault,
    Invalid,
    Key,
    Outcome,
    Resource,
    Spec,
    Target,
)
from cowslipvane.types import Header, OperationId, Version


class ResourceForm(TypedDict):
    """A resource as operators read and write it."""

    kind: str
    name: str
    spec: dict[str, Any]
    version: int


class FaultForm(TypedDict):
    """A fault as operators read it."""

    path: str
    message: str


class OutcomeForm(TypedDict, total=False):
    """The answer to a change."""

    outcome: str
    version: int
    accepted_at: float
    conflict: str
    winner: str
    faults: list[FaultForm]
    sentence: str


def resource_form(resource: Resource) -> ResourceForm:
    """Return a resource as JSON."""
    return ResourceForm(
        kind=resource.key.kind,
        name=resource.key.name,
        spec=_CONVERTER.unstructure(resource.spec),
        version=resource.version,
    )


def outcome_form(outcome: Outcome) -> OutcomeForm:
    """Return the answer to a change as JSON."""
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
                    f"not run: {key} was changed by operation {winner} in version {version};"
                    " read it again and base the change on that version"
                ),
            )
        case Invalid(faults=faults):
            return OutcomeForm(
                outcome="invalid",
                faults=fault_forms(faults),
                sentence=f"not run: {len(faults)} faults; mend them all and apply again",
            )


def fault_forms(faults: tuple[Fault, ...]) -> list[FaultForm]:
    """Return faults as JSON."""
    return [FaultForm(path=fault.path, message=fault.message) for fault in faults]


def read_change(form: Any) -> Change | Invalid:
    """Return the change in a JSON value, or everything that is wrong with it."""
    if not isinstance(form, dict):
        return Invalid(faults=(Fault("$", "must be an object"),))
    faults: list[Fault] = []
    unknown = form.keys() - {"operation_id", "based_on", "resources", "deletes", "dry_run"}
    faults += [Fault(name, "is no known key") for name in sorted(unknown)]
    operation_id = form.get("operation_id")
    if not isinstance(operation_id, str) or not operation_id:
        faults.append(Fault("operation_id", "must be a text that names this change"))
    based_on = form.get("based_on")
    if type(based_on) is not int or based_on < 0:
        faults.append(Fault("based_on", "must be the version that the change is based on"))
    puts = _read_puts(form.get("resources", []), faults)
    deletes = _read_deletes(form.get("deletes", []), faults)
    if faults:
        return Invalid(faults=tuple(faults))
    return Change(OperationId(str(operation_id)), Version(int(based_on or 0)), puts, deletes)


def _read_puts(forms: Any, faults: list[Fault]) -> tuple[tuple[Key, Spec], ...]:
    """Return the resources to write, and add what is wrong with them to the faults."""
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
    """Return the keys to delete, and add what is wrong with them to the faults."""
    if not isinstance(forms, list):
        faults.append(Fault("deletes", "must be a list"))
        return ()
    keys = [_read_key(form, f"deletes[{at}]", faults) for at, form in enumerate(forms)]
    return tuple(key for key in keys if key is not None)


def _read_key(form: Any, path: str, faults: list[Fault]) -> Key | None:
    """Return the kind and name in a form."""
    if not isinstance(form, dict):
        faults.append(Fault(path, "must be an object with kind and name"))
        return None
    kind, name = form.get("kind"), form.get("name")
    if kind not in KINDS:
        faults.append(Fault(f"{path}.kind", f"found {kind!r}; allowed are {', '.join(KINDS)}"))
        return None
    if not isinstance(name, str) or not name or "/" in name:
        faults.append(Fault(f"{path}.name", f"found {name!r}; allowed is a text without /"))
        return None
    unknown = form.keys() - {"kind", "name", "spec", "version"}
    faults += [Fault(f"{kind}/{name}.{extra}", "is no known field") for extra in sorted(unknown)]
    return Key(kind, name)


def _read_spec(key: Key, form: Any, faults: list[Fault]) -> Spec | None:
    """Return the specification in a form."""
    try:
        spec: Spec = _CONVERTER.structure(form, KINDS[key.kind])
    except Exception as error:
        for line in transform_error(error, path=str(key), format_exception=_worded):
            message, _, path = line.rpartition(" @ ")
            faults.append(Fault(path, message))
        return None
    return spec


def _worded(error: BaseException, _: type | None) -> str:
    """Return what an error says to whoever wrote the resource."""
    match error:
        case KeyError():
            return f"needs a field {error.args[0]}"
        case ForbiddenExtraKeysError():
            return f"has no field {', '.join(sorted(error.extra_fields))}"
        case _:
            return str(error)


def _exactly(kind: type, *also: type) -> Any:
    """Return a hook that takes a value of a type as it is."""

    def structure(value: Any, _: Any) -> Any:
        if type(value) not in (kind, *also):
            raise ValueError(f"found {value!r}; allowed is a {kind.__name__}")
        return kind(value)

    return structure


def _make_converter() -> Converter:
    """Return the converter between specifications and JSON values."""
    converter = Converter(detailed_validation=True, forbid_extra_keys=True)
    converter.register_structure_hook(int, _exactly(int))
    converter.register_structure_hook(str, _exactly(str))
    converter.register_structure_hook(bool, _exactly(bool))
    converter.register_structure_hook(float, _exactly(float, int))
    for kind in (Target, Header):
        converter.register_structure_hook(
            kind, namedtuple_dict_structure_factory(kind, converter, "from_converter", True)
        )
        converter.register_unstructure_hook(
            kind, namedtuple_dict_unstructure_factory(kind, converter)
        )
    return converter


_CONVERTER = _make_converter()

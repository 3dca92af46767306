"""Reading settings; all faults are reported at once, each on a line of its own."""

from __future__ import annotations

import dataclasses
import ipaddress
import tomllib
from pathlib import Path
from typing import Any, TypeVar, get_args, get_type_hints

from cattrs import Converter, transform_error
from cattrs.errors import ForbiddenExtraKeysError
from cattrs.gen import make_dict_structure_fn

from cowslipvane.settings._settings import (
    Formation,
    Limits,
    Listen,
    NumberRange,
    Quotas,
    Retries,
    Revocation,
    Role,
    Rollouts,
    Security,
    Settings,
    Timing,
    ValueDescription,
)
from cowslipvane.types import Address

T = TypeVar("T", Timing, Limits, Retries, Rollouts, Revocation, Quotas)


class SettingsFault(Exception):
    """Settings that can't be used; faults has one line for each fault."""

    def __init__(self, *, faults: tuple[str, ...]) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults


def load(path: Path) -> Settings:
    """Return the settings in a file; raise SettingsFault with all their faults."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsFault(faults=(f"{path}: can't be read: {error}",)) from error
    try:
        values = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsFault(faults=(f"{path}: is not valid TOML: {error}",)) from error
    return parse(values, str(path))


def parse(values: dict[str, Any], source: str) -> Settings:
    """Return settings from TOML values; source is the file that faults name."""
    try:
        settings = _CONVERTER.structure(values, Settings)
    except Exception as error:
        faults = transform_error(error, path="", format_exception=_fault_message)
        raise SettingsFault(
            faults=tuple(f"{source}: {_key_first(fault)}" for fault in faults)
        ) from None
    faults = [f"{source}: {fault}" for fault in _combination_faults(settings)]
    if faults:
        raise SettingsFault(faults=tuple(faults))
    return settings


def _combination_faults(settings: Settings) -> list[str]:
    """Return the faults in combinations of settings that are each valid alone."""
    faults = []
    if not settings.roles:
        faults.append(f"roles: found none; allowed are {', '.join(get_args(Role))}")
    if "replica" in settings.roles and not settings.data_folder:
        faults.append("data_folder: found none; a replica needs a folder on a disk")
    if "proxy" in settings.roles and settings.listen.callers is None:
        faults.append("listen.callers: found none; a proxy needs IP:PORT for its callers")
    security = settings.security
    if not security.token_file and not security.allow_unauthenticated:
        faults += [
            f"listen.{name}: found {address}; beyond loopback set security.token_file, or"
            " security.allow_unauthenticated = true"
            for name, address in (
                ("operators", settings.listen.operators),
                ("peers", settings.listen.peers),
            )
            if not ipaddress.ip_address(address.ip).is_loopback
        ]
    if settings.timing.heartbeat * 2 > settings.timing.election_timeout:
        faults.append(
            f"timing.heartbeat: found {settings.timing.heartbeat}; allowed is at most half of"
            f" timing.election_timeout ({settings.timing.election_timeout})"
        )
    return faults


def _structure_address(value: Any, _: Any) -> Address:
    """Return the address in a text IP:PORT."""
    return Address.parse(value)


def _structure_text(value: Any, _: Any) -> str:
    """Return a text unchanged; raise ValueError for any other type."""
    if not isinstance(value, str):
        raise ValueError(f"found {value!r}; allowed is a text")
    return value


def _structure_flag(value: Any, _: Any) -> bool:
    """Return true or false unchanged; raise ValueError for any other type."""
    if not isinstance(value, bool):
        raise ValueError(f"found {value!r}; allowed is true or false")
    return value


def _structure_role(value: Any, _: Any) -> Any:
    """Return the name of a role; raise ValueError for any other value."""
    if value not in get_args(Role):
        raise ValueError(f"found {value!r}; allowed are {', '.join(get_args(Role))}")
    return value


def _structure_values(value: Any, kind: type[T]) -> T:
    """Return a table of numbers and flags.

    Raise ValueError if the value isn't a table, and ExceptionGroup with a fault for each invalid
    key.
    """
    table = kind.__name__.lower()
    fields = {
        field.name: field.metadata.get("allowed") or field.metadata["described"]
        for field in dataclasses.fields(kind)
    }
    if not isinstance(value, dict):
        raise ValueError(f"found {value!r}; allowed is a table")
    faults = [
        ValueError(f"{table}.{name}: no such key is known") for name in value if name not in fields
    ]
    for name in value.keys() & fields.keys():
        fault = _value_fault(value[name], fields[name])
        if fault:
            faults.append(ValueError(f"{table}.{name}: {fault}"))
    if faults:
        raise ExceptionGroup(table, faults)
    values: dict[str, Any] = {
        name: item if isinstance(item, bool) else float(item) for name, item in value.items()
    }
    return kind(**values)


def _value_fault(value: Any, allowed: NumberRange | ValueDescription) -> str:
    """Return why a number or a flag isn't allowed, or an empty text."""
    match allowed:
        case NumberRange():
            return "" if _in_range(value, allowed) else _range_fault(value, allowed)
        case ValueDescription(values=values):
            return "" if isinstance(value, bool) else f"found {value!r}; allowed is {values}"


def _in_range(value: Any, allowed: NumberRange) -> bool:
    """Return whether a value is a number within its range."""
    return type(value) in (int, float) and allowed.low <= value <= allowed.high


def _range_fault(value: Any, allowed: NumberRange) -> str:
    """Return a fault with the value found and the range allowed."""
    return f"found {value!r}; allowed is {allowed.low:g} to {allowed.high:g} {allowed.unit}"


def _fault_message(error: BaseException, _: type | None) -> str:
    """Return an error of the converter as a fault in terms of the settings file."""
    match error:
        case KeyError():
            return f"found no {error.args[0]}; it is needed"
        case ForbiddenExtraKeysError():
            return f"found {', '.join(sorted(error.extra_fields))}; no such key is known"
        case ExceptionGroup():
            return "; ".join(str(inner) for inner in error.exceptions)
        case _:
            return str(error)


def _key_first(fault: str) -> str:
    """Return a fault with its key first; the converter puts it last."""
    message, _, key = fault.rpartition(" @ ")
    return f"{key.removeprefix('.')}: {message}" if key else message


def _make_converter() -> Converter:
    """Return the converter from TOML values to settings."""
    converter = Converter(detailed_validation=True, forbid_extra_keys=True)
    converter.register_structure_hook(Address, _structure_address)
    converter.register_structure_hook(str, _structure_text)
    converter.register_structure_hook(bool, _structure_flag)
    converter.register_structure_hook_func(lambda kind: kind == Role, _structure_role)
    for values in (Timing, Limits, Retries, Rollouts, Revocation, Quotas):
        converter.register_structure_hook(values, _structure_values)
    for kind in (Listen, Security, Formation, Settings):
        get_type_hints(kind)
        hook = make_dict_structure_fn(kind, converter, _cattrs_forbid_extra_keys=True)
        converter.register_structure_hook(kind, hook)
    return converter


_CONVERTER = _make_converter()

"""Offline check of settings and resource files."""

from __future__ import annotations

from pathlib import Path
from typing import Any, NamedTuple

from cowslipvane.catalogue import Catalogue, Fault, Invalid
from cowslipvane.commands._errors import CommandFailed
from cowslipvane.commands._process import effective_settings
from cowslipvane.commands._resources import read_resources
from cowslipvane.settings import SettingsFault, load
from cowslipvane.wire import read_change


class CheckReport(NamedTuple):
    """The settings in effect, and a line for each fault in any file."""

    effective: list[dict[str, Any]]
    faults: list[str]


def check(settings: tuple[Path, ...], resources: tuple[Path, ...]) -> CheckReport:
    """Return the settings in effect and all faults of settings and resource files."""
    report = CheckReport([], [])
    for path in settings:
        try:
            report.effective.append(effective_settings(load(path)))
        except SettingsFault as error:
            report.faults.extend(error.faults)
    for path in resources:
        try:
            form = read_resources(path)
        except CommandFailed as error:
            report.faults.append(str(error))
            continue
        report.faults.extend(
            f"{path}: {fault.path}: {fault.message}" for fault in resource_faults(form)
        )
    return report


def resource_faults(form: dict[str, Any]) -> tuple[Fault, ...]:
    """Return the faults of resources, as if they were applied to an empty catalogue."""
    change = read_change({**form, "operation_id": "check", "based_on": 0})
    match change:
        case Invalid(faults=faults):
            return faults
        case _:
            return Catalogue().faults(change)

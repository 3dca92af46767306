"""The settings file that the platform renders: the product's settings and a table of its own."""

from __future__ import annotations

import json
import tomllib
from pathlib import Path
from typing import Any, NamedTuple

from cowslipvane.platform._known_fields import unread_terms
from cowslipvane.settings import Settings, SettingsFault, parse
from cowslipvane.types import Address

# Offsets in the range of ports that the platform reserves for the processes of the system.
_PEERS_PORT_OFFSET = 0
_OPERATORS_PORT_OFFSET = 1
# The bounds that the settings of revocation come from.
_REVOCATION_BOUNDS = {"when_partitioned": "revoke_when_partitioned", "timeout": "revoke_s"}
# The bounds that the settings of quotas come from.
_QUOTA_BOUNDS = {
    "window": "quota_window_s",
    "overshoot": "quota_overshoot",
    "slack": "quota_slack",
}


class FileStamp(NamedTuple):
    """Attributes of a file that change when it is written or replaced."""

    inode: int
    size: int
    written_at_ns: int


class PlatformSettings(NamedTuple):
    """The product's settings, and the addresses that the platform calls."""

    product: Settings
    # Replicas serve operators at this address, proxies serve the worker on their host.
    control: Address
    # The platform checks the readiness of a proxy at this address; None on a replica.
    readiness: Address | None
    # Bounds and parts of the rules that this build should keep to and doesn't.
    unread: tuple[str, ...]


def file_stamp(path: Path) -> FileStamp | None:
    """Return the stamp of a file, or None if its status isn't available."""
    try:
        status = path.stat()
    except OSError:
        return None
    return FileStamp(status.st_ino, status.st_size, status.st_mtime_ns)


def load(path: Path) -> PlatformSettings:
    """Return the settings in a rendered file; raise SettingsFault if they can't be used."""
    try:
        values = tomllib.loads(path.read_text(encoding="utf-8"))
        platform = values.pop("platform")
        return _decode(values, platform, str(path))
    except (OSError, ValueError, LookupError, TypeError, OverflowError) as error:
        raise SettingsFault(faults=(f"{path}: can't be read: {error!r}",)) from error


def _bounds(text: object) -> dict[str, Any]:
    """Return the bounds of the deployment, none if they aren't rendered."""
    bounds = _rendered(text)
    return bounds if isinstance(bounds, dict) else {}


def _in_settings(bounds: dict[str, Any], names: dict[str, str]) -> dict[str, Any]:
    """Return the settings that some bounds give, by their names there."""
    return {name: bounds[bound] for name, bound in names.items() if bound in bounds}


def _contracts(text: object) -> list[Any]:
    """Return the parts of the rules that are in force, none if they aren't rendered."""
    contracts = _rendered(text)
    return contracts if isinstance(contracts, list) else []


def _rendered(text: object) -> Any:
    """Return a value that is rendered as JSON, None if it isn't."""
    try:
        return json.loads(text) if isinstance(text, str) else None
    except (ValueError, RecursionError):
        return None


def _decode(values: dict[str, Any], platform: dict[str, Any], source: str) -> PlatformSettings:
    """Return the product's settings, with the addresses derived from the platform's table."""
    first_port = int(platform["internal_ports"][0])
    ip = str(platform["ip"])
    # A seed is given by the address of another listener; the peers' port is the same on all hosts.
    seeds = [Address.parse(seed).ip for seed in platform["seeds"]]
    values["seeds"] = [str(Address(seed, first_port + _PEERS_PORT_OFFSET)) for seed in seeds]
    listen = {
        "peers": str(Address(ip, first_port + _PEERS_PORT_OFFSET)),
        "operators": str(Address(ip, first_port + _OPERATORS_PORT_OFFSET)),
    }
    if platform.get("callers"):
        listen["callers"] = platform["callers"]
    values["listen"] = listen
    bounds = _bounds(platform.get("bounds"))
    exposure = bounds.get("exposure_share")
    if exposure is not None and "replica" in values["roles"]:
        values["rollouts"] = {"exposure": exposure}
    if bounds.get("revoke_when_partitioned"):
        values["revocation"] = _in_settings(bounds, _REVOCATION_BOUNDS)
    if "replica" in values["roles"]:
        values["quotas"] = _in_settings(bounds, _QUOTA_BOUNDS)
    readiness = platform.get("readiness")
    return PlatformSettings(
        parse(values, source),
        Address.parse(platform["control"]),
        Address.parse(readiness) if readiness else None,
        unread_terms(bounds, _contracts(platform.get("contracts"))),
    )

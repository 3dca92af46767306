"""The settings file that the platform renders: the product's settings and a table of its own."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any, NamedTuple

from cowslipvane.settings import Settings, SettingsFault, parse
from cowslipvane.types import Address

# Offsets within the ports that the platform leaves to the processes of the system.
_PEERS_PORT = 0
_OPERATORS_PORT = 1


class FileStamp(NamedTuple):
    """What changes when a file is written or replaced."""

    inode: int
    size: int
    written_at_ns: int


class PlatformSettings(NamedTuple):
    """The product's settings, and the addresses at which the platform calls."""

    product: Settings
    # Replicas answer operators here, proxies the worker beside them.
    control: Address
    # The platform asks a proxy here whether it is ready; None on a replica.
    readiness: Address | None


def file_stamp(path: Path) -> FileStamp | None:
    """Return the stamp of a file, None while it can't be found."""
    try:
        found = path.stat()
    except OSError:
        return None
    return FileStamp(found.st_ino, found.st_size, found.st_mtime_ns)


def load(path: Path) -> PlatformSettings:
    """Return the settings in a rendered file; raise SettingsFault when they can't be used."""
    try:
        values = tomllib.loads(path.read_text(encoding="utf-8"))
        own = values.pop("platform")
        return _decode(values, own, str(path))
    except (OSError, ValueError, KeyError, TypeError) as error:
        raise SettingsFault(faults=(f"{path}: can't be read: {error!r}",)) from error


def _decode(values: dict[str, Any], own: dict[str, Any], source: str) -> PlatformSettings:
    """Return the product's settings with the addresses that follow from the platform's."""
    first_port = int(own["internal_ports"][0])
    ip = str(own["ip"])
    # Seeds are told by the address of another listener; the peers' port is the same everywhere.
    seeds = [Address.parse(seed).ip for seed in own["seeds"]]
    values["seeds"] = [str(Address(seed, first_port + _PEERS_PORT)) for seed in seeds]
    listen = {
        "peers": str(Address(ip, first_port + _PEERS_PORT)),
        "operators": str(Address(ip, first_port + _OPERATORS_PORT)),
    }
    if own.get("callers"):
        listen["callers"] = own["callers"]
    values["listen"] = listen
    readiness = own.get("readiness")
    return PlatformSettings(
        parse(values, source),
        Address.parse(own["control"]),
        Address.parse(readiness) if readiness else None,
    )

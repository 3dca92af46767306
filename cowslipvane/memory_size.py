"""The memory that a value takes."""

from __future__ import annotations

import dataclasses
import sys


def memory_size(value: object) -> int:
    """Return the memory of a value and all that it holds, in bytes; what it shares counts too."""
    size = sys.getsizeof(value)
    match value:
        case str() | int() | float() | None:
            return size
        case tuple() | list():
            return size + sum(map(memory_size, value))
        case dict():
            return size + sum(map(memory_size, value)) + sum(map(memory_size, value.values()))
        case _ if dataclasses.is_dataclass(value):
            names = (field.name for field in dataclasses.fields(value))
            return size + sum(memory_size(getattr(value, name)) for name in names)
        case _:
            return size

"""The sizes of values, in memory and in messages."""

from __future__ import annotations

import dataclasses
import sys
from collections.abc import Iterable
from itertools import chain

# The longest head of a value in a message, and the longest number with its head.
_HEAD_BYTES = 9


def memory_size(value: object) -> int:
    """Return the memory of a value and all that it holds, in bytes; what it shares counts too."""
    return sys.getsizeof(value) + sum(map(memory_size, _parts(value)))


def message_size(value: object) -> int:
    """Return the size that a value has in a message at most, in bytes; every host agrees on it."""
    return _HEAD_BYTES + _text_size(value) + sum(map(message_size, _parts(value)))


def _parts(value: object) -> Iterable[object]:
    """Return the values that a value is made of, none for a text or a number."""
    match value:
        case str() | int() | float() | None:
            return ()
        case tuple() | list():
            return value
        case dict():
            return chain(value, value.values())
        case _ if dataclasses.is_dataclass(value):
            return [getattr(value, field.name) for field in dataclasses.fields(value)]
        case _:
            return ()


def _text_size(value: object) -> int:
    """Return the size of a text, or of the name that marks a data class, 0 for any other value."""
    match value:
        case str():
            return len(value) if value.isascii() else len(value.encode("utf-8", "surrogatepass"))
        case _ if dataclasses.is_dataclass(value):
            return _HEAD_BYTES + len(type(value).__name__)
        case _:
            return 0

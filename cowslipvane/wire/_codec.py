"""CBOR encoding of typed messages: a data class is sent as its name and the list of its fields."""

from __future__ import annotations

import dataclasses
import math
import types
import zlib
from collections.abc import Callable
from itertools import takewhile
from operator import attrgetter
from typing import (
    Annotated,
    Any,
    Literal,
    TypeVar,
    Union,
    get_args,
    get_origin,
    get_type_hints,
)

import cbor2
from cattrs import BaseConverter, Converter

from cowslipvane.types import ADDED_FIELD, Digest, fits_int64

Message = Any
T = TypeVar("T")
_UINT128_LIMIT = 1 << 128
# In place of the class name, this marks a message that is sent compressed.
_COMPRESSED_TAG = "compressed"
# A smaller message is sent as it is, since few bytes would be saved.
MIN_COMPRESSED_BYTES = 512
# Compresses a configuration to a fifth in little processor time.
_COMPRESSION_LEVEL = 1
MAX_DECOMPRESSED_BYTES = 16 << 20
_PLAIN_TYPES = frozenset({int, float, bool, bytes, str, type(None)})


class Malformed(ValueError):
    """Raised for bytes or values that are not a message of this protocol."""


def _base_type(kind: Any) -> Any:
    """Return the type behind a new name or an annotation."""
    while hasattr(kind, "__supertype__"):
        kind = kind.__supertype__
    return kind.__origin__ if get_origin(kind) is Annotated else kind


def _is_plain(kind: Any) -> bool:
    """Return whether CBOR can encode values of a type as they are.

    These are numbers, texts and bytes, and tuples and NamedTuples that hold nothing else.
    """
    kind = _base_type(kind)
    if kind in _PLAIN_TYPES:
        return True
    origin = get_origin(kind)
    if origin is Literal:
        return all(type(value) in _PLAIN_TYPES for value in get_args(kind))
    if origin in (Union, types.UnionType, tuple):
        return all(member is Ellipsis or _is_plain(member) for member in get_args(kind))
    if isinstance(kind, type) and issubclass(kind, tuple) and hasattr(kind, "_fields"):
        return all(_is_plain(field) for _, field in _field_types(kind))
    return False


def _is_variadic_tuple(kind: Any) -> bool:
    """Return whether a type is a tuple of any length, such as tuple[str, ...]."""
    return get_origin(kind) is tuple and get_args(kind)[-1] is Ellipsis


def _union_members(kind: Any) -> tuple[type, ...]:
    """Return the members of a union of data classes, or () for any other type."""
    if get_origin(kind) not in (Union, types.UnionType):
        return ()
    members = get_args(kind)
    return members if all(dataclasses.is_dataclass(member) for member in members) else ()


def _strict_hook(kind: type, *allowed: type) -> Callable[[Any, Any], Any]:
    """Return a hook that accepts only values of the given types, and coerces no others."""

    def structure(value: Any, _: Any) -> Any:
        if type(value) not in (kind, *allowed):
            raise Malformed(f"found {type(value).__name__}, expected {kind.__name__}")
        # NaN is unordered: one such deadline would corrupt the event loop's heap of timers.
        if kind is float and not math.isfinite(value):
            raise Malformed("found a number that is not finite")
        if kind is int and not fits_int64(value):
            raise Malformed("found an integer of more than 64 bits")
        return kind(value)

    return structure


def _structure_text(value: Any, _: Any) -> str:
    """Return a text, also from its form as bytes; raise Malformed for any other type."""
    if type(value) is str:
        return value
    if type(value) is bytes:
        return value.decode("utf-8", "surrogatepass")
    raise Malformed(f"found {type(value).__name__}, expected str")


def _dump(values: Any) -> bytes:
    """Encode values as CBOR, which has no texts with lone surrogates: these become bytes.

    A header field that isn't UTF-8 is such a text.
    """
    try:
        return cbor2.dumps(values)
    except UnicodeEncodeError:
        return cbor2.dumps(_with_bytes(values))


def _with_bytes(value: Any) -> Any:
    """Return a value with each text that has no UTF-8 form as bytes."""
    match value:
        case list() | tuple():
            return [_with_bytes(item) for item in value]
        case dict():
            return {_with_bytes(key): _with_bytes(item) for key, item in value.items()}
        case str() if not _is_encodable(value):
            return value.encode("utf-8", "surrogatepass")
        case _:
            return value


def _is_encodable(text: str) -> bool:
    """Return whether a text can be encoded as UTF-8."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _structure_digest(value: Any, _: Any) -> Digest:
    """Return a digest unchanged; raise Malformed if it isn't an unsigned 128-bit integer."""
    if type(value) is not int or not 0 <= value < _UINT128_LIMIT:
        raise Malformed("found no digest")
    return value


def _union_structure_hook(converter: BaseConverter, kind: Any) -> Callable[[Any, Any], Any]:
    """Return a hook that decodes a tagged member of a union."""
    by_tag = {member.__name__: member for member in _union_members(kind)}

    def structure(value: Any, _: Any) -> Any:
        if not isinstance(value, list | tuple) or len(value) != 2 or value[0] not in by_tag:
            raise Malformed(f"expected one of {', '.join(sorted(by_tag))}")
        return converter.structure(value[1], by_tag[value[0]])

    return structure


def _union_unstructure_hook(converter: BaseConverter) -> Callable[[Any], Any]:
    """Return a hook that encodes a member of a union with its tag."""

    def unstructure(value: Any) -> Any:
        return [type(value).__name__, converter.unstructure(value, type(value))]

    return unstructure


def _is_record(kind: Any) -> bool:
    """Return whether a type is a data class or a NamedTuple."""
    if not isinstance(kind, type):
        return False
    return dataclasses.is_dataclass(kind) or (issubclass(kind, tuple) and hasattr(kind, "_fields"))


def _field_types(kind: type) -> tuple[tuple[str, Any], ...]:
    """Return the names and types of a record's fields."""
    hints = get_type_hints(kind, include_extras=True)
    names = (
        tuple(field.name for field in dataclasses.fields(kind))
        if dataclasses.is_dataclass(kind)
        else kind._fields  # type: ignore[attr-defined]
    )
    return tuple((name, hints[name]) for name in names)


def _required_count(kind: type) -> int:
    """Return how many fields a record has up to the last one without a default."""
    if dataclasses.is_dataclass(kind):
        defaults = [field.default is not dataclasses.MISSING for field in dataclasses.fields(kind)]
    else:
        names: tuple[str, ...] = kind._fields  # type: ignore[attr-defined]
        defaults = [name in kind._field_defaults for name in names]  # type: ignore[attr-defined]
    return max((index + 1 for index, default in enumerate(defaults) if not default), default=0)


def _record_structure_hook(converter: BaseConverter, kind: type) -> Callable[[Any, Any], Any]:
    """Return a hook that decodes a record from the list of its fields.

    The last fields may be missing if they have defaults, as in what an earlier build has stored.
    """
    fields = _field_types(kind)
    required_count = _required_count(kind)
    hooks = tuple((name, field, converter.get_structure_hook(field)) for name, field in fields)
    make_of_texts = _make_of_texts(kind, fields)

    def structure(value: Any, _: Any) -> Any:
        if (
            make_of_texts is not None
            and type(value) is list
            and tuple(map(type, value)) == (str,) * len(hooks)
        ):
            return make_of_texts(value)
        if not isinstance(value, list | tuple) or not required_count <= len(value) <= len(hooks):
            raise Malformed(f"expected the {len(hooks)} fields of {kind.__name__}")
        values = {
            name: hook(item, field) for (name, field, hook), item in zip(hooks, value, strict=False)
        }
        return kind(**values)

    return structure


def _make_of_texts(kind: type, fields: tuple[tuple[str, Any], ...]) -> Callable[[Any], Any] | None:
    """Return the constructor of a NamedTuple of texts, such as a header field, None for others."""
    if not issubclass(kind, tuple) or any(_base_type(field) is not str for _, field in fields):
        return None
    return kind._make  # type: ignore[attr-defined, no-any-return]


def _record_unstructure_hook(converter: BaseConverter, kind: type) -> Callable[[Any], Any]:
    """Return a hook that encodes a record as the list of its fields.

    The last fields of a data class that are marked as added are left out while they have their
    defaults, so that builds that don't know them can read the rest. All other fields are sent: a
    default that a later build changes must not change what was sent or stored.
    """
    fields = _field_types(kind)
    if len(fields) == 1:
        ((name, field),) = fields
        hook = converter.get_unstructure_hook(field)
        return lambda value: [hook(getattr(value, name))]
    get_fields = attrgetter(*(name for name, _ in fields)) if fields else lambda _: ()
    converted = tuple(
        (index, converter.get_unstructure_hook(field))
        for index, (_, field) in enumerate(fields)
        if not _is_plain(field)
    )
    added_defaults = _added_defaults(kind)

    def unstructure(value: Any) -> Any:
        values = list(get_fields(value))
        for default in added_defaults:
            if values[-1] != default:
                break
            values.pop()
        for index, hook in converted:
            if index < len(values):
                values[index] = hook(values[index])
        return values

    return unstructure


def _added_defaults(kind: type) -> tuple[Any, ...]:
    """Return the defaults of the last fields that are marked as added, the last one first."""
    if not dataclasses.is_dataclass(kind):
        return ()
    fields = reversed(dataclasses.fields(kind))
    return tuple(field.default for field in takewhile(_is_added, fields))


def _is_added(field: dataclasses.Field[Any]) -> bool:
    """Return whether a field is marked as one that earlier builds don't know."""
    return ADDED_FIELD.keys() <= field.metadata.keys()


def _sequence_structure_hook(converter: BaseConverter, kind: Any) -> Callable[[Any, Any], Any]:
    """Return a hook that decodes a tuple of any length."""
    item_type = get_args(kind)[0]
    hook = converter.get_structure_hook(item_type)

    def structure(value: Any, _: Any) -> Any:
        if type(value) not in (list, tuple):
            raise Malformed(f"found {type(value).__name__}, expected a list")
        return tuple([hook(item, item_type) for item in value])

    return structure


def _make_converter() -> Converter:
    """Return the converter between messages and values that CBOR can encode."""
    converter = Converter(detailed_validation=False)
    for kind, allowed in ((int, ()), (bytes, ()), (bool, ()), (float, (int,))):
        converter.register_structure_hook(kind, _strict_hook(kind, *allowed))
        converter.register_unstructure_hook(kind, lambda value: value)
    converter.register_structure_hook(str, _structure_text)
    converter.register_unstructure_hook(str, lambda value: value)
    converter.register_structure_hook_func(lambda kind: kind == Digest, _structure_digest)
    converter.register_structure_hook_factory(
        _is_record, lambda kind: _record_structure_hook(converter, kind)
    )
    converter.register_unstructure_hook_factory(
        _is_record, lambda kind: _record_unstructure_hook(converter, kind)
    )
    converter.register_structure_hook_factory(
        _is_variadic_tuple, lambda kind: _sequence_structure_hook(converter, kind)
    )
    converter.register_unstructure_hook_func(_is_plain, lambda value: value)
    converter.register_structure_hook_factory(
        lambda kind: bool(_union_members(kind)), lambda kind: _union_structure_hook(converter, kind)
    )
    converter.register_unstructure_hook_factory(
        lambda kind: bool(_union_members(kind)), lambda kind: _union_unstructure_hook(converter)
    )
    return converter


_CONVERTER = _make_converter()
_MESSAGE_TYPES: dict[str, type] = {}


def register(*kinds: type) -> None:
    """Register data classes as messages; each is tagged with its class name."""
    _MESSAGE_TYPES.update((kind.__name__, kind) for kind in kinds)


def encode(message: Message) -> bytes:
    """Encode a message of a registered data class."""
    kind = type(message)
    return _dump([kind.__name__, _CONVERTER.unstructure(message, kind)])


def compress(encoded: bytes) -> bytes:
    """Compress an encoded message, unless it is small."""
    if len(encoded) < MIN_COMPRESSED_BYTES:
        return encoded
    return _dump([_COMPRESSED_TAG, zlib.compress(encoded, _COMPRESSION_LEVEL)])


def _decompress(compressed: bytes) -> bytes:
    """Return the encoded message; raise Malformed if it is incomplete or too large."""
    decompressor = zlib.decompressobj()
    encoded = decompressor.decompress(compressed, MAX_DECOMPRESSED_BYTES)
    if not decompressor.eof:
        raise Malformed(f"incomplete, or over {MAX_DECOMPRESSED_BYTES} bytes")
    return encoded


def decode(data: bytes) -> Message:
    """Decode a message; raise Malformed if the bytes are not a registered message."""
    try:
        tag, fields = cbor2.loads(data)
        if tag == _COMPRESSED_TAG:
            tag, fields = cbor2.loads(_decompress(fields))
        kind = _MESSAGE_TYPES[tag]
    except Exception as error:
        raise Malformed(f"no known message: {error}") from error
    return _structure(kind, fields)


def encode_untagged(value: Any) -> bytes:
    """Encode a value without a tag, for a reader that knows its type."""
    return _dump(_CONVERTER.unstructure(value, type(value)))


def decode_as(kind: type[T], data: bytes) -> T:
    """Decode a value of a known type; raise Malformed if the bytes are not such a value."""
    try:
        fields = cbor2.loads(data)
    except Exception as error:
        raise Malformed(f"no CBOR: {error}") from error
    return _structure(kind, fields)


def _structure(kind: type[T], fields: Any) -> T:
    """Return the value that the fields make up; raise Malformed if they don't match its type."""
    try:
        return _CONVERTER.structure(fields, kind)
    except Exception as error:
        raise Malformed(f"no {kind.__name__}: {error}") from error

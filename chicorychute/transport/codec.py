"""Encodes messages as CBOR arrays and decodes them.

Peers are not trusted: `decode` rejects values that would do harm further on, such
as a time that is NaN or a header that contains a line break.
"""

import enum
import math
from collections.abc import Callable
from typing import Any, get_args

import attrs
import cbor2

from chicorychute.core import messages
from chicorychute.core.exceptions import ChuteError
from chicorychute.core.lines import is_header_value, is_visible_ascii
from chicorychute.core.messages import AnswerHead, Message, PeerRequest


class CodecError(ChuteError):
    """A frame is not a valid message of this protocol."""


MAX_INT64 = (1 << 63) - 1
FULL_MATCH_BY_FIELD = {
    (PeerRequest, "method"): is_visible_ascii,
    (PeerRequest, "target"): is_visible_ascii,
    (PeerRequest, "team"): is_header_value,
    (PeerRequest, "key"): is_header_value,
    (PeerRequest, "id"): is_header_value,
    (PeerRequest, "traceparent"): is_header_value,
}
RANGE_BY_FIELD = {
    (AnswerHead, "status"): (100, 599),
    (AnswerHead, "length"): (-1, MAX_INT64),
}

MESSAGE_CLASSES: tuple[type, ...] = get_args(Message)
_CODE_BY_CLASS = {cls: code for code, cls in enumerate(MESSAGE_CLASSES, start=1)}
_CLASS_BY_CODE = {code: cls for cls, code in _CODE_BY_CLASS.items()}


def _identity(value: Any) -> Any:
    return value


def _make_packer(cls: type) -> Callable[[Any], list]:
    names = [field.name for field in attrs.fields(cls)]
    packers = [_make_field_packer(field) for field in attrs.fields(cls)]
    if all(pack is _identity for pack in packers):
        return lambda value: [getattr(value, name) for name in names]
    pairs = list(zip(names, packers, strict=True))
    return lambda value: [pack(getattr(value, name)) for name, pack in pairs]


def _make_field_packer(field: attrs.Attribute) -> Callable[[Any], Any]:
    item = field.metadata.get("item")
    if item is not None:
        pack = _make_packer(item)
        return lambda values: [pack(value) for value in values]
    if attrs.has(field.type):
        return _make_packer(field.type)
    if isinstance(field.type, type) and issubclass(field.type, enum.Enum):
        return lambda value: value.value
    return _identity


def _make_unpacker(cls: type) -> Callable[[list], Any]:
    unpackers = [_make_field_unpacker(cls, field) for field in attrs.fields(cls)]

    def unpack(values: list) -> Any:
        if not isinstance(values, list):
            raise TypeError(values)
        return cls(*[f(v) for f, v in zip(unpackers, values, strict=True)])

    return unpack


def _make_field_unpacker(cls: type, field: attrs.Attribute) -> Callable[[Any], Any]:
    full_match = FULL_MATCH_BY_FIELD.get((cls, field.name))
    if full_match is not None:
        return _make_text_check(full_match)
    if (cls, field.name) in RANGE_BY_FIELD:
        return _make_integer_check(*RANGE_BY_FIELD[cls, field.name])
    item = field.metadata.get("item")
    if item is not None:
        unpack = _make_unpacker(item)
        return lambda values: tuple([unpack(value) for value in values])
    if field.type is messages.Headers:
        return lambda pairs: tuple([_check_header(pair) for pair in pairs])
    if field.type == tuple[str, ...]:
        return lambda values: tuple([_check_text(value) for value in values])
    if attrs.has(field.type):
        return _make_unpacker(field.type)
    if issubclass(field.type, enum.Enum):
        return field.type
    return _make_type_check(field.type)


def _check_header(pair: Any) -> tuple[str, str]:
    name, value = pair
    if is_visible_ascii(name) is None or is_header_value(value) is None:
        raise ValueError(pair)
    return name, value


def _make_text_check(full_match: Callable[[str], Any]) -> Callable[[Any], str]:
    def check(value: Any) -> str:
        if full_match(value) is None:
            raise ValueError(value)
        return value

    return check


def _make_integer_check(low: int, high: int) -> Callable[[Any], int]:
    def check(value: Any) -> int:
        if type(value) is not int or not low <= value <= high:
            raise ValueError(value)
        return value

    return check


def _check_finite(value: Any) -> float:
    if type(value) not in (int, float) or not math.isfinite(value):
        raise ValueError(value)
    return value


def _check_text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(value)
    return value


def _make_type_check(expected_type: type) -> Callable[[Any], Any]:
    if expected_type is int:
        return _make_integer_check(-MAX_INT64, MAX_INT64)
    if expected_type is float:
        return _check_finite

    def check(value: Any) -> Any:
        if not isinstance(value, expected_type):
            raise TypeError(value)
        return value

    return check


# Encoded in canonical form, which uses the fewest bytes for each number; the plain
# encoding of the other messages is faster.
COMPACT_CLASSES = frozenset({messages.DigestUpdate, messages.Beat, messages.Pulse})

DECODE_ERRORS = (
    cbor2.CBORDecodeError,
    KeyError,
    MemoryError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)
_PACK_BY_CLASS = {cls: _make_packer(cls) for cls in MESSAGE_CLASSES}
_UNPACK_BY_CODE = {code: _make_unpacker(cls) for code, cls in _CLASS_BY_CODE.items()}


def encode(message: Message) -> bytes:
    """Return the CBOR array ``[code, field, ...]`` of a message."""
    cls = type(message)
    values = [_CODE_BY_CLASS[cls], *_PACK_BY_CLASS[cls](message)]
    return cbor2.dumps(values, canonical=cls in COMPACT_CLASSES)


def decode(frame: bytes) -> Message:
    """Return the message of a frame.

    Raises
    ------
    CodecError
        If the frame is not CBOR, not a known message, or has an invalid value.
    """
    try:
        code, *values = cbor2.loads(frame)
        return _UNPACK_BY_CODE[code](values)
    except DECODE_ERRORS as error:
        problem = f"malformed frame of {len(frame)} bytes ({error.__class__.__name__})"
        raise CodecError(problem, "run the same release on every instance") from error

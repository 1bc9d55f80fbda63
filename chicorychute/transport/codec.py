"""Turns messages into CBOR arrays and back.

A peer may lie: `decode` takes no value that could do harm further on, such as
a time that is not a number or a header that holds a line end.
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
    """A frame is not a message of this protocol."""


MAX_WHOLE = (1 << 63) - 1
PATTERN_BY_FIELD = {
    (PeerRequest, "method"): is_visible_ascii,
    (PeerRequest, "target"): is_visible_ascii,
    (PeerRequest, "team"): is_header_value,
    (PeerRequest, "key"): is_header_value,
    (PeerRequest, "id"): is_header_value,
    (PeerRequest, "traceparent"): is_header_value,
}
RANGE_BY_FIELD = {
    (AnswerHead, "status"): (100, 599),
    (AnswerHead, "length"): (-1, MAX_WHOLE),
}

CLASSES: tuple[type, ...] = get_args(Message)
_CODE_BY_CLASS = {cls: code for code, cls in enumerate(CLASSES, start=1)}
_CLASS_BY_CODE = {code: cls for cls, code in _CODE_BY_CLASS.items()}


def _keep(value: Any) -> Any:
    return value


def _packer(cls: type) -> Callable[[Any], list]:
    names = [field.name for field in attrs.fields(cls)]
    packs = [_pack_field(field) for field in attrs.fields(cls)]
    if all(pack is _keep for pack in packs):
        return lambda value: [getattr(value, name) for name in names]
    pairs = list(zip(names, packs, strict=True))
    return lambda value: [pack(getattr(value, name)) for name, pack in pairs]


def _pack_field(field: attrs.Attribute) -> Callable[[Any], Any]:
    item = field.metadata.get("item")
    if item is not None:
        pack = _packer(item)
        return lambda values: [pack(value) for value in values]
    if attrs.has(field.type):
        return _packer(field.type)
    if isinstance(field.type, type) and issubclass(field.type, enum.Enum):
        return lambda value: value.value
    return _keep


def _unpacker(cls: type) -> Callable[[list], Any]:
    unpacks = [_unpack_field(cls, field) for field in attrs.fields(cls)]

    def unpack(values: list) -> Any:
        if not isinstance(values, list):
            raise TypeError(values)
        return cls(*[f(v) for f, v in zip(unpacks, values, strict=True)])

    return unpack


def _unpack_field(cls: type, field: attrs.Attribute) -> Callable[[Any], Any]:
    pattern = PATTERN_BY_FIELD.get((cls, field.name))
    if pattern is not None:
        return _matching(pattern)
    if (cls, field.name) in RANGE_BY_FIELD:
        return _whole(*RANGE_BY_FIELD[cls, field.name])
    item = field.metadata.get("item")
    if item is not None:
        unpack = _unpacker(item)
        return lambda values: tuple([unpack(value) for value in values])
    if field.type is messages.Headers:
        return lambda pairs: tuple([_header(pair) for pair in pairs])
    if field.type == tuple[str, ...]:
        return lambda values: tuple([_text(value) for value in values])
    if attrs.has(field.type):
        return _unpacker(field.type)
    if issubclass(field.type, enum.Enum):
        return field.type
    return _checked(field.type)


def _header(pair: Any) -> tuple[str, str]:
    name, value = pair
    if is_visible_ascii(name) is None or is_header_value(value) is None:
        raise ValueError(pair)
    return name, value


def _matching(pattern: Callable[[str], Any]) -> Callable[[Any], str]:
    def check(value: Any) -> str:
        if pattern(value) is None:
            raise ValueError(value)
        return value

    return check


def _whole(low: int, high: int) -> Callable[[Any], int]:
    def check(value: Any) -> int:
        if type(value) is not int or not low <= value <= high:
            raise ValueError(value)
        return value

    return check


def _finite(value: Any) -> float:
    if type(value) not in (int, float) or not math.isfinite(value):
        raise ValueError(value)
    return value


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(value)
    return value


def _checked(kind: type) -> Callable[[Any], Any]:
    if kind is int:
        return _whole(-MAX_WHOLE, MAX_WHOLE)
    if kind is float:
        return _finite

    def check(value: Any) -> Any:
        if not isinstance(value, kind):
            raise TypeError(value)
        return value

    return check


# Written with the fewest bytes that hold each number; other messages go faster.
COMPACT = frozenset({messages.DigestUpdate, messages.Beat, messages.Pulse})

MALFORMED = (
    cbor2.CBORDecodeError,
    KeyError,
    MemoryError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)
_PACK_BY_CLASS = {cls: _packer(cls) for cls in CLASSES}
_UNPACK_BY_CODE = {code: _unpacker(cls) for code, cls in _CLASS_BY_CODE.items()}


def encode(message: Message) -> bytes:
    """Return the CBOR array ``[code, field, ...]`` of a message."""
    cls = type(message)
    values = [_CODE_BY_CLASS[cls], *_PACK_BY_CLASS[cls](message)]
    return cbor2.dumps(values, canonical=cls in COMPACT)


def decode(frame: bytes) -> Message:
    """Read one message.

    Raises
    ------
    CodecError
        If the frame is not CBOR or not a known message.
    """
    try:
        code, *values = cbor2.loads(frame)
        return _UNPACK_BY_CODE[code](values)
    except MALFORMED as error:
        problem = f"malformed frame ({error.__class__.__name__})"
        raise CodecError(problem, "run the same release on every instance") from error

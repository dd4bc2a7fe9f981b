"""Encoding of messages as CBOR arrays ``[version, type, correlation id, fields...]``."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

import cbor2

from acaciastand.checks import MALFORMED
from acaciastand.errors import AcaciastandError
from acaciastand.record import Record
from acaciastand.wire.messages import MESSAGE_TYPES, PROTOCOL_VERSION, Message

MAX_FRAME_BYTES = 1 << 20
MAX_BODY_BYTES = 512 << 10
HEADER_FIELDS = 3

Converters = tuple[tuple[str, Callable[[Any], Any]], ...]
_CONVERTERS: dict[type, Converters] = {}  # checks of each field, built on first use of a class


class ProtocolError(AcaciastandError):
    """A frame is truncated, foreign, too large or of an unsupported version."""

    code = "protocol_error"


class VersionRefused(ProtocolError):
    """A frame's protocol version is more than one away from this one."""

    code = "version_refused"


class Frame(Record):
    """A decoded frame."""

    __slots__ = ("version", "correlation_id", "message")

    def __init__(self, version: int, correlation_id: int, message: Message) -> None:
        self.version = version
        self.correlation_id = correlation_id
        self.message = message


def encode(message: Message, correlation_id: int = 0, version: int = PROTOCOL_VERSION) -> bytes:
    """Return the frame of `message`.

    Raises
    ------
    ProtocolError
        The frame would exceed `MAX_FRAME_BYTES`.
    """
    fields = message.values()
    data = cbor2.dumps(
        [version, message.type_number, correlation_id, *fields], default=_encode_record
    )
    if len(data) > MAX_FRAME_BYTES:
        raise ProtocolError(
            f"{type(message).__name__} of {len(data)} bytes exceeds {MAX_FRAME_BYTES} bytes",
            "send less in one message",
        )
    return data


def decode(data: bytes) -> Frame:
    """Return the frame in `data`; unknown trailing fields are ignored.

    Raises
    ------
    ProtocolError
        `data` is not a frame of a known type.
    VersionRefused
        Its version is not supported.
    """
    items = _load_array(data)
    version, type_number, correlation_id = items[:HEADER_FIELDS]
    if not isinstance(version, int) or abs(version - PROTOCOL_VERSION) > 1:
        raise VersionRefused(
            f"protocol version {version!r} is not within one of {PROTOCOL_VERSION}",
            "upgrade one version at a time",
        )
    cls = MESSAGE_TYPES.get(type_number) if isinstance(type_number, int) else None
    if cls is None or not isinstance(correlation_id, int):
        raise ProtocolError(
            f"unknown message type {type_number!r}", "check what connects to this port"
        )
    return Frame(version, correlation_id, _from_plain(cls, items[HEADER_FIELDS:]))


def _load_array(data: bytes) -> list[Any]:
    try:
        items = cbor2.loads(data)
    except MALFORMED as error:
        raise ProtocolError(
            f"frame of {len(data)} bytes is not CBOR: {error}", "check what connects to this port"
        ) from error
    if not isinstance(items, list) or len(items) < HEADER_FIELDS:
        raise ProtocolError(
            "frame is not an array with a header", "check what connects to this port"
        )
    return items


def _encode_record(encoder: cbor2.CBOREncoder, value: Any) -> None:
    """Encode a value that CBOR has no type for: a record, as the array of its fields."""
    if not isinstance(value, Record):
        raise cbor2.CBOREncodeTypeError(f"cannot encode type {type(value).__name__}")
    encoder.encode(list(value.values()))


def _from_plain(cls: type[Any], values: list[Any]) -> Any:
    instance = cls()
    converters = _CONVERTERS.get(cls) or _converters(cls, instance)
    for (name, convert), value in zip(converters, values, strict=False):
        setattr(instance, name, convert(value))
    return instance


def _converters(cls: type[Any], defaults: Any) -> Converters:
    _CONVERTERS[cls] = tuple(
        (name, _converter(cls, name, getattr(defaults, name))) for name in cls.fields()
    )
    return _CONVERTERS[cls]


def _converter(cls: type[Any], name: str, default: Any) -> Callable[[Any], Any]:
    nested = getattr(cls, "nested", {}).get(name)
    if nested is not None:
        return lambda value: _from_plain(nested, _expect(list, cls, name, value))
    item = getattr(cls, "nested_lists", {}).get(name)
    if item is not None:
        return lambda value: [
            _from_plain(item, _expect(list, cls, name, plain))
            for plain in _expect(list, cls, name, value)
        ]
    if isinstance(default, float):
        return partial(_expect_number, cls, name)
    return partial(_expect, type(default), cls, name)


def _expect(kind: type, cls: type, name: str, value: Any) -> Any:
    # An exact type is the common case; bool is a subclass of int and must not pass for one.
    if type(value) is kind:
        return value
    raise ProtocolError(
        f"field {name!r} of {cls.__name__} has type {type(value).__name__}, not {kind.__name__}",
        "check that both ends run compatible versions",
    )


def _expect_number(cls: type, name: str, value: Any) -> Any:
    if isinstance(value, int | float) and not isinstance(value, bool):
        return value
    raise ProtocolError(
        f"field {name!r} of {cls.__name__} has type {type(value).__name__}, not a number",
        "check that both ends run compatible versions",
    )

"""Checks of values that were read from the store or received from another process.

A value can be well-formed and still be nothing that this system writes: deeply nested, of another
type, or a number that no field can hold. Each check returns the value in the type that is expected,
or raises `ValueError`. What decodes a value catches `MALFORMED`.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from ipaddress import IPv4Address
from typing import Any, TypeVar

import cbor2

# The largest integer that every JSON implementation can represent exactly.
MAX_INTEGER = 2**53 - 1
MAX_PORT = 65_535
# Errors of decoding and checking a value that holds something else than expected.
MALFORMED = (
    cbor2.CBORDecodeError,
    ValueError,
    TypeError,
    KeyError,
    IndexError,
    AttributeError,
    ArithmeticError,
    RecursionError,
    MemoryError,
)

Value = TypeVar("Value")


def check_integer(value: Any, least: int = 0, most: int = MAX_INTEGER) -> int:
    """Return a whole number from `least` to `most`."""
    if type(value) is not int:
        raise ValueError(f"{shorten(value)} is not a whole number")
    if not least <= value <= most:
        raise ValueError(f"{shorten(value)} is not from {least} to {most}")
    return value


def check_number(value: Any, least: float = 0.0, most: float = MAX_INTEGER) -> float:
    """Return a number from `least` to `most`, which are finite."""
    if type(value) is not float and type(value) is not int:
        raise ValueError(f"{shorten(value)} is not a number")
    if not least <= value <= most:  # NaN fails every comparison.
        raise ValueError(f"{shorten(value)} is not from {least} to {most}")
    return float(value)


def check_count(value: Any) -> int:
    """Return the whole part of a number that is not negative."""
    return int(check_number(value))


def check_text(value: Any) -> str:
    """Return a text."""
    if type(value) is not str:
        raise ValueError(f"{shorten(value)} is not a text")
    return value


def check_bytes(value: Any) -> bytes:
    """Return bytes."""
    if type(value) is not bytes:
        raise ValueError(f"{shorten(value)} is not a string of bytes")
    return value


def check_flag(value: Any) -> bool:
    """Return a truth value."""
    if type(value) is not bool:
        raise ValueError(f"{shorten(value)} is neither true nor false")
    return value


def check_list(value: Any) -> list[Any]:
    """Return a list."""
    if type(value) is not list:
        raise ValueError(f"{shorten(value)} is not a list")
    return value


def check_map(value: Any) -> dict[str, Any]:
    """Return a map."""
    if type(value) is not dict:
        raise ValueError(f"{shorten(value)} is not a map")
    return value


def check_address(value: Any) -> str:
    """Return an address ``ip:port`` that a process can dial."""
    host, _, port = check_text(value).rpartition(":")
    IPv4Address(host)
    if not port.isdecimal() or not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f"{shorten(port)} is not a port from 1 to {MAX_PORT}")
    return str(value)


def load_json_map(data: bytes) -> dict[str, Any]:
    """Return the JSON object in `data`."""
    return check_map(json.loads(data))


def decode_rows(
    rows: Any, decode: Callable[[Any], Value], on_ignored: Callable[[Exception], None]
) -> list[Value]:
    """Return the rows that can be decoded.

    Parameters
    ----------
    rows
        List of rows, or None for none.
    decode
        Returns the value of a row.
    on_ignored
        Called with the error of each row that cannot be decoded.
    """
    values: list[Value] = []
    for row in _list_or_none(rows):
        try:
            values.append(decode(row))
        except MALFORMED as error:
            on_ignored(error)
    return values


def _list_or_none(rows: Any) -> Iterable[Any]:
    return [] if rows is None else check_list(rows)


def shorten(value: Any) -> str:
    """Return a short description of a value of any size, for an error message."""
    if type(value) is str:
        return repr(value[:40])
    if type(value) is int:
        return str(value) if abs(value) <= MAX_INTEGER else "a larger number"
    if type(value) in (bool, float, type(None)):
        return repr(value)
    return f"a value of type {type(value).__name__}"

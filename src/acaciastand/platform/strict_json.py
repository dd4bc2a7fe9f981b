"""Reads JSON that a person has written, and reports what a lenient reader would accept silently."""

from __future__ import annotations

import json
import math
from collections.abc import Callable
from typing import Any

from acaciastand.checks import check_map

MAX_NESTING = 16  # The deepest field of a configuration is at level 4.


def load_strict_json_map(data: bytes, on_duplicate: Callable[[str], None]) -> dict[str, Any]:
    """Return the JSON object in `data`.

    Parameters
    ----------
    on_duplicate
        Called with the name of each field that an object has twice; the last one counts.

    Raises
    ------
    ValueError, RecursionError
        It is no JSON object, nests more deeply than `MAX_NESTING`, or holds a number or text that
        other readers refuse: NaN, an infinite number, or half of a surrogate pair.
    """

    def load_map(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        fields: dict[str, Any] = {}
        for name, value in pairs:
            if name in fields:
                on_duplicate(name)
            fields[name] = value
        return fields

    value = json.loads(
        data,
        object_pairs_hook=load_map,
        parse_float=_finite,
        parse_constant=_refuse_constant,
    )
    _check_plain(value)
    return check_map(value)


def _finite(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(f"{text[:20]} is too large a number")
    return value


def _refuse_constant(text: str) -> float:
    raise ValueError(f"{text} is no JSON value")


def _check_plain(value: Any, level: int = 0) -> None:
    if level > MAX_NESTING:
        raise ValueError(f"it is nested more deeply than {MAX_NESTING} levels")
    if isinstance(value, str):
        value.encode()
    elif isinstance(value, dict):
        for name, item in value.items():
            name.encode()
            _check_plain(item, level + 1)
    elif isinstance(value, list):
        for item in value:
            _check_plain(item, level + 1)

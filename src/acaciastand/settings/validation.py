"""Checks values of the settings tree against the schema."""

from __future__ import annotations

import json
import math
from typing import Any

from acaciastand.settings.errors import SettingInvalid, SettingUnknown
from acaciastand.settings.schema import SPEC_BY_NAME, SettingSpec

MAX_SETTING_BYTES = 16 * 1024  # of one value as JSON
MAX_ITEM_CHARACTERS = 200  # of one string in a value


def spec_of(path: str, key: str) -> SettingSpec:
    """Return the specification of `key`.

    Raises
    ------
    SettingUnknown
        No such key.
    """
    spec = SPEC_BY_NAME.get(key) if isinstance(key, str) else None
    if spec is None:
        raise SettingUnknown(
            f"{path}: there is no setting {key!r}", f"use one of {', '.join(SPEC_BY_NAME)}"
        )
    return spec


def check_value(path: str, key: str, value: Any) -> Any:
    """Return `value` as it is stored.

    Raises
    ------
    SettingUnknown
        The key is not in the schema.
    SettingInvalid
        The value has the wrong type, is outside its range or too large.
    """
    spec = spec_of(path, key)
    if not _has_kind(spec, value):
        raise SettingInvalid(
            f"{path}/{key}: {_shortened(value)} is not allowed", f"use {allowed(spec)}"
        )
    if value_bytes(value) > MAX_SETTING_BYTES:
        raise SettingInvalid(
            f"{path}/{key}: the value has more than {MAX_SETTING_BYTES} bytes",
            "set fewer items, or set them at a lower level of the tree",
        )
    return float(value) if spec.kind is float else value


def allowed(spec: SettingSpec) -> str:
    """Return the allowed values in words."""
    if spec.choices:
        return "one of " + ", ".join(f'"{choice}"' for choice in spec.choices)
    kinds = {
        float: "a number",
        int: "a whole number",
        str: "a string",
        list: "a list of strings",
        dict: "a table of numbers by name",
    }
    words = [kinds[spec.kind]]
    if spec.minimum is not None:
        words.append(f"from {spec.minimum:g}")
    if spec.maximum is not None:
        words.append(f"to {spec.maximum:g}")
    if spec.unit:
        words.append(spec.unit if spec.unit.startswith("per ") else f"in {spec.unit}")
    return " ".join(words)


def value_bytes(value: Any) -> int:
    """Return the size of `value` as JSON in bytes."""
    return len(json.dumps(value, ensure_ascii=False).encode("utf-8", "replace"))


def _has_kind(spec: SettingSpec, value: Any) -> bool:
    if spec.kind is list:
        return isinstance(value, list) and all(_is_item(item) for item in value)
    if spec.kind is dict:
        return isinstance(value, dict) and all(
            _is_item(name) and _is_number(spec, number) for name, number in value.items()
        )
    if spec.kind is str:
        return _is_item(value) and (not spec.choices or value in spec.choices)
    if spec.kind is int and not isinstance(value, int):
        return False
    return _is_number(spec, value)


def _is_item(value: Any) -> bool:
    return isinstance(value, str) and 0 < len(value) <= MAX_ITEM_CHARACTERS and value.isprintable()


def _is_number(spec: SettingSpec, value: Any) -> bool:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    if isinstance(value, float) and not math.isfinite(value):
        return False
    above = spec.minimum is None or value >= spec.minimum
    return above and (spec.maximum is None or value <= spec.maximum)


def _shortened(value: Any, limit: int = 80) -> str:
    text = repr(value)
    return text if len(text) <= limit else text[:limit] + "..."

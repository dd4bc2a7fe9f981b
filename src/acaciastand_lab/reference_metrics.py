"""Finds the names of all metrics in the source."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

from acaciastand.record import Record
from acaciastand.telemetry.descriptions import DESCRIPTIONS

KINDS = {"increment": "counter", "gauge": "gauge", "timing": "timing"}


class Metric(Record):
    """A metric and where it is recorded."""

    __slots__ = ("name", "kind", "module", "event")

    def __init__(self, name: str, kind: str, module: str, event: str) -> None:
        self.name = name
        self.kind = kind
        self.module = module
        self.event = event


def metrics(source: Path) -> list[Metric]:
    """Return the metrics of the package in `source`, sorted by name and module."""
    # The telemetry package passes on the names that it is called with.
    files = [file for file in source.rglob("*.py") if file.parent.name != "telemetry"]
    found = [metric for file in files for metric in _in_file(source, file)]
    unique = {metric.values(): metric for metric in found}
    return [unique[values] for values in sorted(unique)]


def describe(metric: Metric) -> str:
    """Return what a metric means.

    Raises
    ------
    KeyError
        It has no description in `acaciastand.telemetry.descriptions`.
    """
    return DESCRIPTIONS[metric.name]


def _in_file(source: Path, file: Path) -> Iterator[Metric]:
    module = ".".join(file.relative_to(source).with_suffix("").parts)
    for function in ast.walk(ast.parse(file.read_text(encoding="utf-8"))):
        if not isinstance(function, ast.FunctionDef):
            continue
        for call in ast.walk(function):
            for name in _metric_names(call):
                assert isinstance(call, ast.Call) and isinstance(call.func, ast.Attribute)
                yield Metric(name, KINDS[call.func.attr], module, f"`{function.name}`")


def _metric_names(call: ast.AST) -> list[str]:
    """Return the names that a call may record; none for other calls.

    Raises
    ------
    ValueError
        The name is computed, so the page cannot list it.
    """
    if not isinstance(call, ast.Call) or not isinstance(call.func, ast.Attribute):
        return []
    if call.func.attr not in KINDS or not call.args:
        return []
    name = call.args[0]
    found = [_text(node) for node in _choices(name)]
    if not all(found):
        raise ValueError(f"line {name.lineno}: the name of a metric must be written out")
    return found


def _choices(name: ast.expr) -> list[ast.expr]:
    return [name.body, name.orelse] if isinstance(name, ast.IfExp) else [name]


def _text(node: ast.expr) -> str:
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return node.value
    if isinstance(node, ast.JoinedStr):
        return "".join(_text(part) for part in node.values)
    if isinstance(node, ast.FormattedValue):
        return f"<{ast.unparse(node.value).rpartition('.')[2].lower()}>"
    return ""

"""Finds the names of all metrics in the source."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

from acaciastand.record import Record

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
    found = [metric for file in source.rglob("*.py") for metric in _in_file(source, file)]
    unique = {metric.values(): metric for metric in found}
    return [unique[values] for values in sorted(unique)]


def _in_file(source: Path, file: Path) -> Iterator[Metric]:
    module = ".".join(file.relative_to(source).with_suffix("").parts)
    for function in ast.walk(ast.parse(file.read_text(encoding="utf-8"))):
        if not isinstance(function, ast.FunctionDef):
            continue
        for call in ast.walk(function):
            name = _metric_name(call)
            if name and isinstance(call, ast.Call) and isinstance(call.func, ast.Attribute):
                yield Metric(name, KINDS[call.func.attr], module, f"`{function.name}`")


def _metric_name(call: ast.AST) -> str:
    """Return the name that a call records; empty for other calls and computed names."""
    if not isinstance(call, ast.Call) or not isinstance(call.func, ast.Attribute):
        return ""
    if call.func.attr not in KINDS or not call.args:
        return ""
    return _text(call.args[0])


def _text(node: ast.expr) -> str:
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return node.value
    if isinstance(node, ast.JoinedStr):
        return "".join(_text(part) for part in node.values)
    if isinstance(node, ast.FormattedValue):
        return f"<{ast.unparse(node.value).rpartition('.')[2].lower()}>"
    return ""

"""Initial settings trees in TOML files.

Examples
--------
Each table is named after a path::

    ["maison-reprise"]
    throughput_weight = 0.5

    ["maison-reprise/flanders/gent"]
    request_timeout_ms = 1500
"""

from __future__ import annotations

from os import PathLike
from typing import Any

from acaciastand.errors import InvalidInput
from acaciastand.settings.edits import Edit
from acaciastand.settings.file_errors import BadFileValue
from acaciastand.settings.toml_file import read_toml


def read_tree_file(path: str | PathLike[str]) -> list[Edit]:
    """Return the edits in a file; the first table names the firm.

    Raises
    ------
    FileUnreadable, FileNotToml
        The file cannot be read.
    BadFileValue
        A path, key or value is not allowed; no edit is returned.
    """
    tables = read_toml(path)
    firm = next(iter(tables), "").split("/")[0]
    edits = [_checked(str(path), edit, firm) for edit in _edits(str(path), tables)]
    if not edits:
        raise BadFileValue(str(path), "", "the file sets nothing", "add a table for a path")
    return edits


def _edits(file: str, tables: dict[str, Any]) -> list[Edit]:
    edits: list[Edit] = []
    for path, values in tables.items():
        if not isinstance(values, dict):
            remedy = 'put it into a table that is named after a path, such as ["firm/region"]'
            raise BadFileValue(file, path, "the value is outside a table", remedy)
        edits += [Edit(path, key, value) for key, value in values.items()]
    return edits


def _checked(file: str, edit: Edit, firm: str) -> Edit:
    try:
        return edit.checked(firm)
    except InvalidInput as error:
        place = f"{edit.path}/{edit.key}"
        problem = error.message.removeprefix(f"{place}: ")
        raise BadFileValue(file, place, problem, error.remedy) from error

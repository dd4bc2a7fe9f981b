"""Bounded reading of TOML files."""

from __future__ import annotations

import tomllib
from os import PathLike
from typing import Any

from acaciastand.settings.file_errors import FileNotToml, FileUnreadable

MAX_FILE_BYTES = 1 << 20


def read_toml(path: str | PathLike[str]) -> dict[str, Any]:
    """Return the table in the file.

    Raises
    ------
    FileUnreadable
        The file is missing, may not be read or is larger than `MAX_FILE_BYTES`.
    FileNotToml
        The file is not UTF-8 or not TOML.
    """
    data = _read(path)
    try:
        return tomllib.loads(data.decode("utf-8"))
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        problem = f"the file is not TOML: {error}"
        raise FileNotToml(str(path), "", problem, "correct the syntax at that place") from error


def _read(path: str | PathLike[str]) -> bytes:
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        problem = f"the file cannot be read: {error.strerror}"
        remedy = "check the path and the permissions"
        raise FileUnreadable(str(path), "", problem, remedy) from error
    if len(data) > MAX_FILE_BYTES:
        problem = f"the file is larger than {MAX_FILE_BYTES} bytes"
        raise FileUnreadable(str(path), "", problem, "name a settings file")
    return data

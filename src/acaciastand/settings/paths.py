"""Paths ``firm/region/site/service`` in the settings tree."""

from __future__ import annotations

from acaciastand.settings.errors import SettingsPathInvalid
from acaciastand.settings.fields import is_path_name

LEVELS = ("firm", "region", "site", "service")
MAX_PART_CHARACTERS = 64


def check_path(path: str, firm: str) -> str:
    """Return `path` if it names a level of the tree of `firm`.

    Raises
    ------
    SettingsPathInvalid
        The path has too many levels, a bad name or another firm.
    """
    parts = path.split("/") if isinstance(path, str) else []
    if not 1 <= len(parts) <= len(LEVELS) or not all(_is_part(part) for part in parts):
        raise SettingsPathInvalid(
            f"{path!r} is not a path of the settings tree",
            f"use {'/'.join(LEVELS)} or the first levels of it; a name has 1 to"
            f" {MAX_PART_CHARACTERS} letters, digits, '-', '_' and '.'",
        )
    if parts[0] != firm:
        raise SettingsPathInvalid(
            f"{path!r} is not in the tree of firm {firm!r}", f"begin the path with {firm!r}"
        )
    return path


def _is_part(part: str) -> bool:
    return len(part) <= MAX_PART_CHARACTERS and is_path_name(part)


def ancestors(path: str) -> list[str]:
    """Return `path` and the levels above it, the lowest first."""
    parts = path.split("/")
    return ["/".join(parts[:count]) for count in range(len(parts), 0, -1)]


def level_of(path: str) -> str:
    """Return the name of the level of `path`."""
    return LEVELS[min(path.count("/"), len(LEVELS) - 1)]

"""The settings tree: overrides by path and key, with inheritance from the levels above."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from acaciastand.record import Record
from acaciastand.settings.errors import SettingsFull
from acaciastand.settings.paths import ancestors
from acaciastand.settings.schema import SPEC_BY_NAME, EffectiveSettings
from acaciastand.settings.validation import value_bytes

MAX_NODES = 2_048  # paths with overrides
MAX_TREE_BYTES = 256 * 1024  # a snapshot with history has to fit in a frame body of 512 KiB
MAX_REMOVED = 1_024  # removed overrides whose last change is remembered
CHANGE_OVERHEAD_BYTES = 64  # revision, author and separators of one override


class Change(Record):
    """The last change of one key at one path; `value` None means that it was unset."""

    __slots__ = ("value", "revision", "author")

    def __init__(self, value: Any, revision: int, author: str) -> None:
        self.value = value
        self.revision = revision
        self.author = author


class ValueInForce(Record):
    """An effective value and where it comes from; `path` is empty for the default."""

    __slots__ = ("value", "path", "revision", "author")

    def __init__(self, value: Any, path: str = "", revision: int = 0, author: str = "") -> None:
        self.value = value
        self.path = path
        self.revision = revision
        self.author = author


class SettingsTree:
    """Overrides of one firm; commits are applied in the order of the journal.

    Attributes
    ----------
    changes
        Last change by path and key, including removed overrides.
    forgotten_revision
        Highest revision of a removal that is no longer remembered.
    """

    __slots__ = ("changes", "forgotten_revision")

    def __init__(self) -> None:
        self.changes: dict[str, dict[str, Change]] = {}
        self.forgotten_revision = 0

    def copy(self) -> SettingsTree:
        """Return an independent copy; values are shared and never modified."""
        copy = SettingsTree()
        copy.changes = {path: dict(keys) for path, keys in self.changes.items()}
        copy.forgotten_revision = self.forgotten_revision
        return copy

    def set(self, path: str, key: str, value: Any, revision: int, author: str) -> None:
        """Override `key` at `path`."""
        self.changes.setdefault(path, {})[key] = Change(value, revision, author)

    def unset(self, path: str, key: str, revision: int, author: str) -> None:
        """Remove the override; the value of the level above applies again."""
        self.changes.setdefault(path, {})[key] = Change(None, revision, author)
        self._forget_oldest_removals()

    def last_change(self, path: str, key: str) -> Change | None:
        """Return the last change of `key` at exactly `path`, also if it removed the override."""
        change = self.changes.get(path, {}).get(key)
        if change is None and self.forgotten_revision:
            return Change(None, self.forgotten_revision, "")
        return change

    def value(self, path: str, key: str) -> ValueInForce:
        """Return the effective value of a key of the schema."""
        for level in ancestors(path):
            change = self.changes.get(level, {}).get(key)
            if change is not None and change.value is not None:
                return ValueInForce(change.value, level, change.revision, change.author)
        return ValueInForce(SPEC_BY_NAME[key].default)

    def effective(self, path: str, revision: int) -> EffectiveSettings:
        """Return all effective values at `path`."""
        values: dict[str, Any] = {}
        for level in reversed(ancestors(path)):
            for key, change in self.changes.get(level, {}).items():
                if change.value is not None:
                    values[key] = change.value
        return EffectiveSettings(values, revision)

    def overrides(self) -> dict[str, dict[str, Any]]:
        """Return the values that are set, by path and key, both sorted."""
        tree: dict[str, dict[str, Any]] = {}
        for path, key, change in self._items():
            if change.value is not None:
                tree.setdefault(path, {})[key] = change.value
        return {path: dict(sorted(tree[path].items())) for path in sorted(tree)}

    def check_bounds(self) -> None:
        """Check the number of paths and the size.

        Raises
        ------
        SettingsFull
            The tree is over a bound.
        """
        remedy = "unset overrides that are not needed, or set the value at a higher level"
        overrides = self.overrides()
        if len(overrides) > MAX_NODES:
            raise SettingsFull(f"the tree would have more than {MAX_NODES} paths", remedy)
        if tree_bytes(overrides) > MAX_TREE_BYTES:
            raise SettingsFull(f"the tree would have more than {MAX_TREE_BYTES} bytes", remedy)

    def to_item(self) -> list[Any]:
        """Return the tree as plain data for snapshots."""
        changes = [
            [path, key, change.value, change.revision, change.author]
            for path, key, change in self._items()
        ]
        return [self.forgotten_revision, changes]

    @classmethod
    def from_item(cls, item: list[Any]) -> SettingsTree:
        """Return the tree that `item` holds."""
        tree = cls()
        tree.forgotten_revision, changes = item[:2]
        for path, key, value, revision, author in changes:
            tree.set(path, key, value, revision, author)
        return tree

    def _items(self) -> Iterator[tuple[str, str, Change]]:
        for path, keys in self.changes.items():
            for key, change in keys.items():
                yield path, key, change

    def _forget_oldest_removals(self) -> None:
        removed = [item for item in self._items() if item[2].value is None]
        if len(removed) <= MAX_REMOVED:
            return
        path, key, change = min(removed, key=lambda item: item[2].revision)
        self.forgotten_revision = max(self.forgotten_revision, change.revision)
        del self.changes[path][key]
        if not self.changes[path]:
            del self.changes[path]


def tree_bytes(overrides: dict[str, dict[str, Any]]) -> int:
    """Return the accounted size of overrides in bytes."""
    return sum(
        len(path) + len(key) + value_bytes(value) + CHANGE_OVERHEAD_BYTES
        for path, keys in overrides.items()
        for key, value in keys.items()
    )

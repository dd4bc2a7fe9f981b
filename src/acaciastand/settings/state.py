"""State of the settings at one revision, and how accepted edits change it."""

from __future__ import annotations

from collections import deque
from typing import Any

from acaciastand.settings.edits import EditBatch, HistoryItem
from acaciastand.settings.errors import (
    SettingsConflict,
    SettingsRevisionInvalid,
    SettingsSnapshotInvalid,
)
from acaciastand.settings.tree import SettingsTree
from acaciastand.settings.validation import value_bytes

MAX_HISTORY_ITEMS = 512
MAX_HISTORY_BYTES = 96 * 1024
HISTORY_OVERHEAD_BYTES = 64  # revision, time and separators of one item
SNAPSHOT_FORMAT = 1


class SettingsState:
    """Tree, history and revision; each accepted batch raises the revision by one."""

    __slots__ = ("revision", "tree", "history", "_history_bytes")

    def __init__(self) -> None:
        self.revision = 0
        self.tree = SettingsTree()
        self.history: deque[HistoryItem] = deque()
        self._history_bytes = 0

    def check(self, batch: EditBatch) -> None:
        """Check a batch against this state.

        Raises
        ------
        SettingsRevisionInvalid
            The batch is based on a revision that does not exist.
        SettingsConflict
            A key changed after the revision the batch is based on.
        SettingsFull
            The tree would be over a bound.
        """
        if batch.if_revision > self.revision:
            raise SettingsRevisionInvalid(
                f"if_revision {batch.if_revision} is above the newest revision {self.revision}",
                "read the value again and use the revision that is returned",
            )
        for edit in batch.edits:
            last = self.tree.last_change(edit.path, edit.key)
            if last is not None and last.revision > batch.if_revision:
                raise SettingsConflict(
                    edit.path, edit.key, last.value, last.author, last.revision, batch.if_revision
                )
        candidate = self.tree.copy()
        _apply_edits(candidate, batch, self.revision + 1)
        candidate.check_bounds()

    def apply(self, batch: EditBatch) -> None:
        """Apply a committed batch; this never fails, so that all processes agree."""
        self.revision += 1
        _apply_edits(self.tree, batch, self.revision)
        for edit in batch.edits:
            self._remember(
                HistoryItem(
                    self.revision, edit.path, edit.key, edit.value, batch.author, batch.edited_at
                )
            )

    def to_item(self) -> dict[str, Any]:
        """Return the state as plain data for snapshots."""
        return {
            "format": SNAPSHOT_FORMAT,
            "revision": self.revision,
            "tree": self.tree.to_item(),
            "history": [list(item.values()) for item in self.history],
        }

    @classmethod
    def from_item(cls, item: dict[str, Any]) -> SettingsState:
        """Return the state that `item` holds.

        Raises
        ------
        SettingsSnapshotInvalid
            The data is not a snapshot.
        """
        state = cls()
        try:
            state.revision = int(item["revision"])
            state.tree = SettingsTree.from_item(item["tree"])
            for values in item["history"]:
                state._remember(HistoryItem(*values[:6]))
        except (KeyError, TypeError, ValueError, IndexError) as error:
            raise SettingsSnapshotInvalid(
                f"the settings snapshot is damaged: {error!r}", "fetch it from another peer"
            ) from None
        return state

    def _remember(self, item: HistoryItem) -> None:
        self.history.append(item)
        self._history_bytes += _history_bytes(item)
        while len(self.history) > MAX_HISTORY_ITEMS or self._history_bytes > MAX_HISTORY_BYTES:
            self._history_bytes -= _history_bytes(self.history.popleft())


def _apply_edits(tree: SettingsTree, batch: EditBatch, revision: int) -> None:
    for edit in batch.edits:
        if edit.value is None:
            tree.unset(edit.path, edit.key, revision, batch.author)
        else:
            tree.set(edit.path, edit.key, edit.value, revision, batch.author)


def _history_bytes(item: HistoryItem) -> int:
    text = len(item.path) + len(item.key) + len(item.author)
    return text + value_bytes(item.value) + HISTORY_OVERHEAD_BYTES

"""Errors of the settings tree."""

from __future__ import annotations

from typing import Any

from acaciastand.errors import Conflict, InvalidInput, Refused


class SettingsPathInvalid(InvalidInput):
    """The path does not name a level of the tree."""

    code = "settings_path_invalid"


class SettingUnknown(InvalidInput):
    """The key is not in the schema."""

    code = "setting_unknown"


class SettingInvalid(InvalidInput):
    """The value has the wrong type or is outside the allowed range."""

    code = "setting_invalid"


class SettingsFull(InvalidInput):
    """The edit would take the tree over one of its bounds."""

    code = "settings_full"


class SettingsRevisionInvalid(InvalidInput):
    """The edit states a revision that does not exist."""

    code = "settings_revision_invalid"


class SettingsConflict(Conflict):
    """The value changed after the revision the edit was based on.

    Parameters
    ----------
    path, key
        Place in the tree.
    value
        The newer value; None when it was unset.
    author
        Who made the newer change.
    revision
        Revision of the newer change.
    if_revision
        Revision the refused edit was based on.
    """

    code = "settings_conflict"

    def __init__(
        self, path: str, key: str, value: Any, author: str, revision: int, if_revision: int
    ) -> None:
        change = "unset" if value is None else f"set to {value!r}"
        super().__init__(
            f"{path}/{key} was {change} by {author or 'an unknown author'} at revision {revision},"
            f" after revision {if_revision}, which the edit is based on",
            f"review the newer value and repeat the edit with if_revision {revision}",
        )
        self.path = path
        self.key = key
        self.value = value
        self.author = author
        self.revision = revision


class SettingsStoreBehind(Refused):
    """The store holds an older revision than one that was accepted before."""

    code = "settings_store_behind"


class SettingsContended(Refused):
    """Other writers won the compare-and-swap too many times in a row."""

    code = "settings_contended"


class SettingsBusy(Refused):
    """Too many edits wait at this entry."""

    code = "settings_busy"


class SettingsSnapshotInvalid(InvalidInput):
    """A snapshot from a peer is of another firm or damaged."""

    code = "settings_snapshot_invalid"

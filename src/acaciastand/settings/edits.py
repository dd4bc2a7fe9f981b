"""Edits of the settings tree, as they are sent, stored and listed."""

from __future__ import annotations

from typing import Any

from acaciastand.errors import InvalidInput
from acaciastand.record import Record
from acaciastand.settings.paths import check_path
from acaciastand.settings.validation import check_value, spec_of

MAX_AUTHOR_CHARACTERS = 100
MAX_EDITS_PER_BATCH = 512


class Edit(Record):
    """A change of one key at one path.

    Parameters
    ----------
    path
        Level of the tree.
    key
        Key of the schema.
    value
        New value; None removes the override.
    """

    __slots__ = ("path", "key", "value")

    def __init__(self, path: str, key: str, value: Any = None) -> None:
        self.path = path
        self.key = key
        self.value = value

    def checked(self, firm: str) -> Edit:
        """Return the edit as it is stored.

        Raises
        ------
        SettingsPathInvalid, SettingUnknown, SettingInvalid
            The edit can never be accepted.
        """
        check_path(self.path, firm)
        spec_of(self.path, self.key)
        if self.value is None:
            return self
        return Edit(self.path, self.key, check_value(self.path, self.key, self.value))


class EditBatch(Record):
    """Edits that are accepted together as one revision, or not at all.

    Parameters
    ----------
    edits
        The changes, at most `MAX_EDITS_PER_BATCH`.
    if_revision
        Revision the author looked at.
    author
        Who makes the change.
    edited_at
        Wall-clock time in seconds since 1970, for the history only.
    """

    __slots__ = ("edits", "if_revision", "author", "edited_at")

    def __init__(
        self, edits: list[Edit], if_revision: int, author: str, edited_at: float = 0.0
    ) -> None:
        self.edits = edits
        self.if_revision = if_revision
        self.author = author
        self.edited_at = edited_at

    def checked(self, firm: str) -> EditBatch:
        """Return the batch as it is stored.

        Raises
        ------
        InvalidInput
            An edit, the author or the number of edits is not allowed.
        """
        _check_author(self.author)
        _check_revision(self.if_revision)
        if not 1 <= len(self.edits) <= MAX_EDITS_PER_BATCH:
            raise InvalidInput(
                f"{len(self.edits)} edits in one batch",
                f"send 1 to {MAX_EDITS_PER_BATCH} edits at a time",
            )
        return self.replace(edits=[edit.checked(firm) for edit in self.edits])

    def to_item(self) -> list[Any]:
        """Return the batch as plain data for the journal."""
        edits = [[edit.path, edit.key, edit.value] for edit in self.edits]
        return [edits, self.if_revision, self.author, self.edited_at]

    @classmethod
    def from_item(cls, item: list[Any]) -> EditBatch:
        """Return the batch that `item` holds; later fields of newer versions are ignored."""
        edits, if_revision, author, edited_at = item[:4]
        return cls([Edit(*edit[:3]) for edit in edits], if_revision, author, edited_at)


def _check_author(author: Any) -> None:
    text = isinstance(author, str) and author.isprintable()
    if text and 1 <= len(author) <= MAX_AUTHOR_CHARACTERS:
        return
    raise InvalidInput(
        f"the author {str(author)[:MAX_AUTHOR_CHARACTERS]!r} is not allowed",
        f"name who makes the change in 1 to {MAX_AUTHOR_CHARACTERS} printable characters",
    )


def _check_revision(revision: Any) -> None:
    if isinstance(revision, bool) or not isinstance(revision, int) or revision < 0:
        raise InvalidInput(
            f"if_revision {revision!r} is not a revision",
            "state the revision that the edit is based on, as GET /v1/settings shows it",
        )


class HistoryItem(Record):
    """One accepted edit.

    Parameters
    ----------
    revision
        Revision that it made.
    path, key, value
        As in `Edit`.
    author
        Who made the change.
    edited_at
        Wall-clock time in seconds since 1970.
    """

    __slots__ = ("revision", "path", "key", "value", "author", "edited_at")

    def __init__(
        self, revision: int, path: str, key: str, value: Any, author: str, edited_at: float
    ) -> None:
        self.revision = revision
        self.path = path
        self.key = key
        self.value = value
        self.author = author
        self.edited_at = edited_at

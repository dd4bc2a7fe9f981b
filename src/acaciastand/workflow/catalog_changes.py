"""Differences between a configuration and the version in force."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator, Mapping, Sequence
from enum import Enum
from typing import Any

from acaciastand.record import Record
from acaciastand.workflow.catalog_draft import CatalogDraft, DraftEntry, Finding, Severity


class Subject(Enum):
    """What a change concerns."""

    QUEUE = "queue"
    SERVICE = "service"
    LIMIT = "limit"
    OTHER = "other"


class Action(Enum):
    """What a change does."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class CatalogChange(Record):
    """One difference.

    Parameters
    ----------
    subject, name
        What is changed: the kind, and the name of the queue, service, limit or other field.
    action
        Whether it is added, removed or changed.
    field
        Changed field of the queue or service as it is written; empty if the whole entry is
        meant.
    before, after
        Values in the version in force and in the new one; None if absent. A queue or service that
        is added or removed has its fields here.
    """

    __slots__ = ("subject", "name", "action", "field", "before", "after")

    def __init__(
        self,
        subject: Subject,
        name: str,
        action: Action,
        field: str = "",
        before: Any = None,
        after: Any = None,
    ) -> None:
        self.subject = subject
        self.name = name
        self.action = action
        self.field = field
        self.before = before
        self.after = after


def list_changes(in_force: CatalogDraft, draft: CatalogDraft) -> list[CatalogChange]:
    """Return the differences in the order queues, services, limits, other fields."""
    return [
        *_entry_changes(Subject.QUEUE, in_force.queues, draft.queues),
        *_entry_changes(Subject.SERVICE, in_force.services, draft.services),
        *_value_changes(Subject.LIMIT, in_force.limits.written, draft.limits.written),
        *_value_changes(Subject.OTHER, in_force.other_fields, draft.other_fields),
    ]


def check_changes(in_force: CatalogDraft, draft: CatalogDraft) -> list[Finding]:
    """Return what the step from the version in force does to jobs and callers."""
    findings = list(_version_findings(in_force.version, draft.version))
    if in_force.version is None:
        findings.append(_undecodable_in_force())
    queues = {entry.name: entry for entry in draft.queues}
    for old, _ in in_force.decoded_queues:
        new = queues.get(old.name)
        if new is None or new.queue is None:
            findings.append(_removal(old.label))
        elif _place(new.written) != _place(old.written):
            findings.append(_removed_place(new.label, old.written))
    return findings


def _version_findings(in_force: int | None, version: int | None) -> Iterator[Finding]:
    if in_force is not None and version is not None and version <= in_force:
        yield Finding(
            Severity.ERROR,
            "version_not_higher",
            "",
            "version",
            f"version {version} is ignored, since version {in_force} is in force",
            f"use a version above {in_force}",
        )


def _undecodable_in_force() -> Finding:
    return Finding(
        Severity.WARNING,
        "in_force_undecodable",
        "",
        "version",
        "the version to compare with cannot be decoded, so that the daemons ignore it",
        "compare with the version that the daemons report",
    )


def _removal(label: str) -> Finding:
    return Finding(
        Severity.WARNING,
        "queue_removed",
        f"{label} in force",
        "",
        "the new version has no such queue; no task of its accepted jobs starts, and calls for them"
        " are answered as not found",
        "wait until its jobs have ended (GET of its prefix counts the waiting ones), or keep it",
    )


def _removed_place(label: str, old: Mapping[str, Any]) -> Finding:
    return Finding(
        Severity.WARNING,
        "queue_moved",
        label,
        "",
        f"calls to the former host and prefix {old.get('host')}{old.get('prefix')} no longer reach"
        " the queue",
        "tell its callers first",
    )


def _place(fields: Mapping[str, Any]) -> tuple[Any, Any]:
    return (fields.get("host"), fields.get("prefix"))


def _entry_changes(
    subject: Subject, before: Sequence[DraftEntry], after: Sequence[DraftEntry]
) -> Iterator[CatalogChange]:
    old, new = _numbered(before), _numbered(after)
    for key in [*old, *(key for key in new if key not in old)]:
        name = key[0]
        if key not in new:
            yield CatalogChange(subject, name, Action.REMOVED, before=old[key].written)
        elif key not in old:
            yield CatalogChange(subject, name, Action.ADDED, after=new[key].written)
        else:
            for field, one, other in _differing(old[key].written, new[key].written):
                yield CatalogChange(subject, name, Action.CHANGED, field, one, other)


def _numbered(entries: Iterable[DraftEntry]) -> dict[tuple[str, int], DraftEntry]:
    """Return entries by their name and a number that tells equal names apart."""
    numbered: dict[tuple[str, int], DraftEntry] = {}
    counts: dict[str, int] = {}
    for entry in entries:
        counts[entry.name] = counts.get(entry.name, 0) + 1
        numbered[entry.name, counts[entry.name]] = entry
    return numbered


def _value_changes(
    subject: Subject, before: Mapping[str, Any], after: Mapping[str, Any]
) -> Iterator[CatalogChange]:
    for name, one, other in _differing(before, after):
        action = Action.CHANGED
        if one is None or other is None:
            action = Action.ADDED if one is None else Action.REMOVED
        yield CatalogChange(subject, name, action, before=one, after=other)


def _differing(
    before: Mapping[str, Any], after: Mapping[str, Any], path: str = ""
) -> Iterator[tuple[str, Any, Any]]:
    """Yield name, value before and value after of each differing field; maps are compared within.

    A field that is null counts as absent.
    """
    for name in [*before, *(name for name in after if name not in before)]:
        one, other = before.get(name), after.get(name)
        if isinstance(one, dict) and isinstance(other, dict):
            yield from _differing(one, other, f"{path}{name}.")
        # Compared as text, since Python takes 1 and true for equal.
        elif json.dumps(one, sort_keys=True) != json.dumps(other, sort_keys=True):
            yield f"{path}{name}", one, other

"""A configuration that is not in force yet, with all that its writers may have got wrong."""

from __future__ import annotations

from enum import Enum
from typing import Any

from acaciastand.record import Record
from acaciastand.workflow.catalog import Queue


class Severity(Enum):
    """What a finding says about the configuration."""

    ERROR = "error"  # Something is ignored, can never match or contradicts itself.
    WARNING = "warning"  # It works, but probably not as intended.
    NOTICE = "notice"


class Finding(Record):
    """Something in a configuration that its writers should look at.

    Parameters
    ----------
    severity
        What it says about the configuration.
    code
        Stable identifier of the kind of finding.
    entry
        Entry that it concerns, by its place and name; empty for the whole configuration.
    field
        Name of the field that it concerns; empty for the whole entry.
    message, remedy
        What is wrong, and what to do about it.
    """

    __slots__ = ("severity", "code", "entry", "field", "message", "remedy")

    def __init__(
        self, severity: Severity, code: str, entry: str, field: str, message: str, remedy: str
    ) -> None:
        self.severity = severity
        self.code = code
        self.entry = entry
        self.field = field
        self.message = message
        self.remedy = remedy


class DraftEntry(Record):
    """One entry as it was written.

    Parameters
    ----------
    label
        Place and name of the entry, for findings.
    name
        Name of the entry; empty if it has none.
    written
        All fields as they were written.
    """

    __slots__ = ("label", "name", "written")

    def __init__(self, label: str, name: str, written: dict[str, Any]) -> None:
        self.label = label
        self.name = name
        self.written = written


class DraftQueue(DraftEntry):
    """A queue as it was written.

    Parameters
    ----------
    queue
        Decoded queue; None if it cannot be decoded, so that the entries leave it out.
    timeout_seconds
        Timeout of a call in seconds; None if absent.
    ticket_seconds
        Seconds for which a ticket of the placement service is valid; None if absent.
    """

    __slots__ = ("queue", "timeout_seconds", "ticket_seconds")

    def __init__(
        self,
        label: str,
        name: str,
        written: dict[str, Any],
        queue: Queue | None = None,
        timeout_seconds: float | None = None,
        ticket_seconds: float | None = None,
    ) -> None:
        super().__init__(label, name, written)
        self.queue = queue
        self.timeout_seconds = timeout_seconds
        self.ticket_seconds = ticket_seconds


class DraftService(DraftEntry):
    """A service as it was written.

    Parameters
    ----------
    powered_off
        Whether the machines of the service are off.
    """

    __slots__ = ("powered_off",)

    def __init__(
        self, label: str, name: str, written: dict[str, Any], powered_off: bool = False
    ) -> None:
        super().__init__(label, name, written)
        self.powered_off = powered_off


class DraftLimits(Record):
    """The limits as they were written; None for a limit that is absent or malformed.

    Parameters
    ----------
    max_header_bytes, max_body_bytes
        Maximum size of the headers and of the body of a call in bytes.
    header_timeout_seconds, idle_timeout_seconds
        Timeouts in seconds for the headers of a call and for an idle connection.
    written
        All limits as they were written.
    """

    __slots__ = (
        "max_header_bytes",
        "max_body_bytes",
        "header_timeout_seconds",
        "idle_timeout_seconds",
        "written",
    )

    def __init__(
        self,
        max_header_bytes: float | None = None,
        max_body_bytes: float | None = None,
        header_timeout_seconds: float | None = None,
        idle_timeout_seconds: float | None = None,
        written: dict[str, Any] | None = None,
    ) -> None:
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.header_timeout_seconds = header_timeout_seconds
        self.idle_timeout_seconds = idle_timeout_seconds
        self.written = written or {}


class CatalogDraft(Record):
    """A configuration as it was written.

    Parameters
    ----------
    version
        Version; None if it is absent or malformed.
    queues, services, limits
        Its parts.
    other_fields
        All further fields of the configuration.
    max_payload_bytes
        Maximum size of the payload of a job in bytes, which no configuration changes.
    findings
        What was wrong with its form when it was read.
    """

    __slots__ = (
        "version",
        "queues",
        "services",
        "limits",
        "other_fields",
        "max_payload_bytes",
        "findings",
    )

    def __init__(
        self,
        version: int | None,
        queues: list[DraftQueue],
        services: list[DraftService],
        limits: DraftLimits,
        other_fields: dict[str, Any] | None = None,
        max_payload_bytes: int = 0,
        findings: list[Finding] | None = None,
    ) -> None:
        self.version = version
        self.queues = queues
        self.services = services
        self.limits = limits
        self.other_fields = other_fields or {}
        self.max_payload_bytes = max_payload_bytes
        self.findings = findings or []

    @property
    def decoded_queues(self) -> list[tuple[DraftQueue, Queue]]:
        """The queues that entries use, as written and decoded."""
        return [(entry, entry.queue) for entry in self.queues if entry.queue is not None]

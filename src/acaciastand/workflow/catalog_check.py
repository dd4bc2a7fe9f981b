"""Check of a configuration for entries and limits that contradict each other.

Each check sees the configuration as it was written, since what the decoder leaves out is what its
writers most need to know about.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence

from acaciastand.workflow.catalog import Queue
from acaciastand.workflow.catalog_draft import (
    CatalogDraft,
    DraftEntry,
    DraftLimits,
    DraftQueue,
    Finding,
    Severity,
)
from acaciastand.workflow.catalog_reach import check_reach


def check_draft(draft: CatalogDraft) -> list[Finding]:
    """Return all findings on a configuration, the most severe first.

    Parameters
    ----------
    draft
        The configuration; its own findings on its form are included.
    """
    findings = [
        *draft.findings,
        *_version_findings(draft),
        *_name_findings(draft.queues, "queue"),
        *_name_findings(draft.services, "service"),
        *check_reach(draft),
        *_service_findings(draft),
        *_limit_findings(draft.limits, draft.max_payload_bytes),
    ]
    for entry, queue in draft.decoded_queues:
        findings += _objective_findings(entry, queue)
        findings += _advice_findings(entry, queue)
        findings += _attempt_findings(entry, queue)
    return sort_findings(findings)


def sort_findings(findings: Iterable[Finding]) -> list[Finding]:
    """Return findings with the most severe first, otherwise in their order."""
    order = list(Severity)
    return sorted(findings, key=lambda finding: order.index(finding.severity))


def _version_findings(draft: CatalogDraft) -> Iterator[Finding]:
    if draft.version == 0:
        yield Finding(
            Severity.ERROR,
            "version_zero",
            "",
            "version",
            "version 0 counts as no configuration",
            "use a higher one",
        )


def _name_findings(entries: Sequence[DraftEntry], kind: str) -> Iterator[Finding]:
    counts = Counter(entry.name for entry in entries if entry.name)
    consequence = {
        "queue": "its jobs are run by the rules of the last of them",
        "service": "which of them applies is not defined",
    }
    for entry in entries:
        if entry.written.get("name") == "":
            yield Finding(
                Severity.ERROR,
                "name_empty",
                entry.label,
                "name",
                f"the {kind} has an empty name",
                "name it",
            )
        if counts[entry.name] > 1:
            yield Finding(
                Severity.ERROR,
                "name_duplicate",
                entry.label,
                "name",
                f"{counts[entry.name]} entries have this name; {consequence[kind]}",
                "name each entry differently or remove all but one",
            )


def _service_findings(draft: CatalogDraft) -> Iterator[Finding]:
    services = {service.name: service for service in draft.services}
    used = {queue.service for _, queue in draft.decoded_queues}
    for entry, queue in draft.decoded_queues:
        if queue.service not in services:
            yield Finding(
                Severity.ERROR,
                "service_unknown",
                entry.label,
                "service",
                f"no service is named {queue.service!r}; tasks of this queue wait unless workers of"
                " that name register anyway",
                "name an existing service or add this one",
            )
        elif services[queue.service].powered_off:
            yield Finding(
                Severity.WARNING,
                "service_powered_off",
                entry.label,
                "service",
                f"the machines of service {queue.service!r} are off; its tasks wait until some"
                " join it",
                "name a service whose machines are on or switch these on",
            )
    for service in draft.services:
        if service.name and service.name not in used and not service.powered_off:
            yield Finding(
                Severity.NOTICE,
                "service_unused",
                service.label,
                "",
                "no queue uses this service",
                "remove it unless its machines are kept for later",
            )


def _attempt_findings(entry: DraftQueue, queue: Queue) -> Iterator[Finding]:
    if queue.max_attempts == 0:
        yield Finding(
            Severity.ERROR,
            "max_attempts_zero",
            entry.label,
            "max_attempts",
            "0 attempts are allowed, but each task is tried once, as with 1",
            "set it to 1 or more",
        )
    if entry.timeout_seconds == 0:
        yield Finding(
            Severity.ERROR,
            "timeout_zero",
            entry.label,
            "timeout_seconds",
            "each call times out at once",
            "set it to the time within which a call should be answered",
        )


def _objective_findings(entry: DraftQueue, queue: Queue) -> Iterator[Finding]:
    if queue.target_seconds == 0 and queue.stretch <= 1:
        yield Finding(
            Severity.ERROR,
            "objective_unreachable",
            entry.label,
            "target_seconds",
            "no job can complete in time, since it has no time beyond its critical path",
            "set a target above 0 or a stretch above 1",
        )
        return
    if queue.target_seconds == 0:
        yield Finding(
            Severity.WARNING,
            "target_zero",
            entry.label,
            "target_seconds",
            "short jobs have almost no time beyond their critical path",
            "set it to the time that starting a task may take",
        )
    if queue.stretch < 1:
        longest = queue.target_seconds / (1 - queue.stretch)
        yield Finding(
            Severity.WARNING,
            "stretch_below_one",
            entry.label,
            "stretch",
            f"a job whose critical path is longer than {_milliseconds(longest)} can never complete"
            " in time",
            "set it to 1 or more",
        )


def _advice_findings(entry: DraftQueue, queue: Queue) -> Iterator[Finding]:
    if entry.ticket_seconds == 0:
        yield Finding(
            Severity.ERROR,
            "ticket_validity_zero",
            entry.label,
            "ticket_seconds",
            "the tickets of the placement service expire at once, so that no task can start",
            "set it to several times the time that a decision takes",
        )
    decision = queue.advice_seconds + queue.advice_worker_seconds
    if not queue.advised or decision <= queue.target_seconds:
        return
    took = (
        f"a decision on one worker takes {_milliseconds(decision)}, longer than the target of"
        f" {_milliseconds(queue.target_seconds)}"
    )
    if queue.stretch <= 1:
        yield Finding(
            Severity.ERROR,
            "advice_exceeds_objective",
            entry.label,
            "advice_seconds",
            f"{took}, and no job can complete in time",
            "raise the target or the stretch",
        )
        return
    shortest = (decision - queue.target_seconds) / (queue.stretch - 1)
    yield Finding(
        Severity.WARNING,
        "advice_exceeds_objective",
        entry.label,
        "advice_seconds",
        f"{took}; a job whose critical path is shorter than {_milliseconds(shortest)} cannot"
        " complete in time",
        "raise the target",
    )


def _limit_findings(limits: DraftLimits, max_payload_bytes: int) -> Iterator[Finding]:
    zero = {
        "max_header_bytes": "each call has longer headers",
        "max_body_bytes": "each submission is refused",
        "header_timeout_seconds": "each call times out before its headers have arrived",
        "idle_timeout_seconds": "each connection is closed at once",
    }
    for name, consequence in zero.items():
        if getattr(limits, name) == 0:
            yield Finding(
                Severity.ERROR, "limit_zero", "limits", name, consequence, "set it above 0"
            )
    body, headers = limits.max_body_bytes, limits.max_header_bytes
    if body and body < max_payload_bytes:
        yield Finding(
            Severity.WARNING,
            "body_below_payload",
            "limits",
            "max_body_bytes",
            f"a job may have a payload of {max_payload_bytes} bytes, but a body of at most"
            f" {body:g} bytes",
            "raise it above the size of the payload and the steps",
        )
    if body and headers and headers > body:
        yield Finding(
            Severity.WARNING,
            "headers_beyond_body",
            "limits",
            "max_header_bytes",
            f"the headers may be larger ({headers:g} bytes) than the body ({body:g} bytes)",
            "check whether the two limits are exchanged",
        )


def _milliseconds(seconds: float) -> str:
    return f"{seconds * 1000:.6g} ms"

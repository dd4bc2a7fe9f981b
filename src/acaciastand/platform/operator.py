"""Decodes what the operators and callers write into types of the product."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from acaciastand.checks import (
    MALFORMED,
    check_count,
    check_list,
    check_map,
    check_number,
    check_text,
    decode_rows,
    load_json_map,
    shorten,
)
from acaciastand.coordination.transactions import Item
from acaciastand.errors import InvalidInput
from acaciastand.resources import Resources
from acaciastand.workflow.catalog import Catalog, Queue
from acaciastand.workflow.spec import StepSpec, WorkflowSpec, check_spec
from acaciastand.workflow.zone_drains import ZoneDrainRequest

CONFIG_KEY = "op/config"
ZONE_DRAIN_PREFIX = "op/evacuate/"  # followed by the zone
DEADLINE_HEADER = "X-Deadline-Ms"  # how long the caller waits for the answer
MAX_PAYLOAD_BYTES = 4_000
MAX_ZONE_LENGTH = 200  # characters; the limit of the settings


def decode_catalog(data: bytes, on_ignored: Callable[[Exception], None]) -> Catalog:
    """Return the configuration in its stored form.

    Parameters
    ----------
    on_ignored
        Called with the error of each queue or service that cannot be decoded and is left out.

    Raises
    ------
    InvalidInput
        The configuration cannot be decoded as a whole.
    """
    try:
        fields = load_json_map(data)
        queues = decode_rows(fields.get("routes"), decode_queue, on_ignored)
        services = decode_rows(fields.get("services"), _guarded_service, on_ignored)
        limits = check_map(fields.get("limits") or {})
        max_body = check_count(limits.get("maxBodyBytes", 262_144))
        version = check_count(fields["version"])
    except MALFORMED as error:
        raise InvalidInput(f"the configuration cannot be decoded: {error}", "write it again") from (
            error
        )
    return Catalog(version, queues, [name for name in services if name], max_body)


def _guarded_service(fields: dict[str, Any]) -> str:
    """Return the name of a service whose workers reject tasks that do not fit, or an empty text."""
    return check_text(fields["name"]) if fields.get("rejectsOverload") else ""


def decode_queue(route: dict[str, Any]) -> Queue:
    """Return one queue; any of `MALFORMED` is raised if that fails."""
    advice = check_map(route.get("advice") or {})
    return Queue(
        check_text(route["name"]),
        check_text(route["host"]),
        check_text(route["prefix"]),
        check_text(route["service"]),
        check_count(route.get("priority", 0)),
        check_count(route.get("maxAttempts", 1)),
        check_number(route.get("stretch", 2.0)),
        check_number(route.get("targetLatencyMs", 1000)) / 1000,
        bool(advice),
        check_number(advice.get("decideMs", 0)) / 1000,
        check_number(advice.get("perWorkerMs", 0)) / 1000,
    )


def drained_zone_of(key: str) -> str:
    """Return the zone that the key of a request to drain a zone names."""
    return key.removeprefix(ZONE_DRAIN_PREFIX)


def decode_zone_drain(item: Item, on_ignored: Callable[[Exception], None]) -> ZoneDrainRequest:
    """Return the request to drain a zone in a stored item.

    The key alone is the request. A value that is not understood is reported and does not undo it,
    since work that starts in a zone by mistake is worse than work that waits.

    Parameters
    ----------
    on_ignored
        Called with the error of a value that is not a JSON object.

    Raises
    ------
    InvalidInput
        The key names no zone.
    """
    zone = drained_zone_of(item.key)
    if not 0 < len(zone) <= MAX_ZONE_LENGTH or not zone.isprintable() or "/" in zone:
        raise InvalidInput(f"{shorten(item.key)} names no zone", "remove the key")
    try:
        load_json_map(item.value)
    except MALFORMED as error:
        on_ignored(InvalidInput(f"the value at {item.key} is not an object: {error}", "write {}"))
    return ZoneDrainRequest(zone, item.revision)


def decode_job(data: bytes) -> WorkflowSpec:
    """Return the job in a submission.

    Raises
    ------
    InvalidInput
        It is malformed.
    """
    try:
        fields = load_json_map(data)
        spec = WorkflowSpec(
            fields.get("spec", ""),
            [_step(step) for step in check_list(fields["steps"])],
            check_count(fields.get("repeatCount", 0)),
            check_number(fields.get("startAtMs", 0)) / 1000,
            check_number(fields.get("intervalMs", 0)) / 1000,
        )
        payload_bytes = len(check_spec(spec).payload.encode())
    except MALFORMED as error:
        raise InvalidInput(f"the job cannot be decoded: {error}", "correct its fields") from error
    if payload_bytes > MAX_PAYLOAD_BYTES:
        raise InvalidInput("the payload is too long", f"use at most {MAX_PAYLOAD_BYTES} bytes")
    return spec


def _step(fields: dict[str, Any]) -> StepSpec:
    return StepSpec(
        check_count(fields.get("count", 1)),
        Resources(
            check_count(fields.get("cpu", 0)) / 1000,  # thousandths of a core on the wire
            check_count(fields.get("memMb", 0)),
            check_count(fields.get("gpu", 0)),
        ),
        check_number(fields.get("estimateMs", 0)) / 1000,
        [check_count(earlier) for earlier in check_list(fields.get("after") or [])],
        bool(fields.get("checkpointing")),
        bool(fields.get("gang")),
        bool(fields.get("sameRack")),
        fields.get("requires") or "",
        fields.get("affinity") or "",
        check_count(fields.get("antiAffinity", 0)),  # a limit for each worker, not a switch
        bool(fields.get("speculative")),
        bool(fields.get("longRunning")),
        fields.get("image") or "",
        check_number(fields.get("targetMs", 0)),
        bool(fields.get("fillCount")),  # a switch, in spite of its name
        check_count(fields.get("mayMiss", 0)),
    )

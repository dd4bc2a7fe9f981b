"""Decodes what the operators and callers write into types of the product."""

from __future__ import annotations

import json
import re
from typing import Any

from acaciastand.errors import InvalidInput
from acaciastand.resources import Resources
from acaciastand.workflow.catalog import Catalog, Queue
from acaciastand.workflow.spec import StepSpec, WorkflowSpec

CONFIG_KEY = "op/config"
DEADLINE_HEADER = "X-Deadline-Ms"  # how long the caller waits for the answer
JOB_ID = re.compile(r"[0-9a-f]{16}")
MAX_TASKS = 20_000  # tasks of one job over all occurrences
MAX_PAYLOAD_BYTES = 4_000


def decode_catalog(data: bytes) -> Catalog:
    """Return the configuration in its stored form.

    Raises
    ------
    InvalidInput
        It cannot be read.
    """
    try:
        fields = json.loads(data)
        queues = [_queue(route) for route in fields.get("routes") or []]
        guarded = [s["name"] for s in fields.get("services") or [] if s.get("rejectsOverload")]
        limits = fields.get("limits") or {}
        max_body = int(limits.get("maxBodyBytes", 262_144))
        return Catalog(int(fields["version"]), queues, guarded, max_body)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise InvalidInput(f"the configuration cannot be read: {error!r}", "write it again") from (
            error
        )


def _queue(route: dict[str, Any]) -> Queue:
    advice = route.get("advice") or {}
    return Queue(
        str(route["name"]),
        str(route["host"]),
        str(route["prefix"]),
        str(route["service"]),
        int(route.get("priority", 0)),
        int(route.get("maxAttempts", 1)),
        float(route.get("stretch", 2.0)),
        float(route.get("targetLatencyMs", 1000)) / 1000,
        bool(advice),
        float(advice.get("decideMs", 0)) / 1000,
        float(advice.get("perWorkerMs", 0)) / 1000,
    )


def decode_job(data: bytes) -> WorkflowSpec:
    """Return the job in a submission.

    Raises
    ------
    InvalidInput
        It is malformed.
    """
    try:
        fields = json.loads(data)
        payload = fields.get("spec", "")
        steps = [_step(number, step) for number, step in enumerate(fields["steps"])]
        spec = WorkflowSpec(
            str(payload),
            steps,
            int(fields.get("repeatCount", 0)),
            float(fields.get("startAtMs", 0)) / 1000,
            float(fields.get("intervalMs", 0)) / 1000,
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise InvalidInput(f"the job cannot be read: {error!r}", "correct its fields") from error
    tasks = spec.occurrence_count * sum(step.count for step in steps)
    if not 0 < tasks <= MAX_TASKS or not isinstance(payload, str):
        raise InvalidInput(f"the job has {tasks} tasks", f"use 1 to {MAX_TASKS}")
    if len(payload.encode()) > MAX_PAYLOAD_BYTES:
        raise InvalidInput("the payload is too long", f"use at most {MAX_PAYLOAD_BYTES} bytes")
    return spec


def _step(number: int, fields: dict[str, Any]) -> StepSpec:
    after = [int(n) for n in fields.get("after") or []]
    if any(not 0 <= earlier < number for earlier in after):
        raise ValueError(f"step {number} follows a step that is not earlier")
    count = int(fields.get("count", 1))
    if count < 1:
        raise ValueError(f"step {number} has {count} tasks")
    return StepSpec(
        count,
        Resources(
            int(fields.get("cpu", 0)) / 1000,  # thousandths of a core on the wire
            int(fields.get("memMb", 0)),
            int(fields.get("gpu", 0)),
        ),
        float(fields.get("estimateMs", 0)) / 1000,
        after,
        bool(fields.get("checkpointing")),
        bool(fields.get("gang")),
        bool(fields.get("sameRack")),
        str(fields.get("requires") or ""),
        str(fields.get("affinity") or ""),
        int(fields.get("antiAffinity", 0)),  # a limit for each worker, not a switch
        bool(fields.get("speculative")),
        bool(fields.get("longRunning")),
        str(fields.get("image") or ""),
        float(fields.get("targetMs", 0)),
        bool(fields.get("fillCount")),  # a switch, in spite of its name
        int(fields.get("mayMiss", 0)),
    )

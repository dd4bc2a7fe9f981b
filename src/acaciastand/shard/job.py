"""Specification of a job, and its validation on submission."""

from __future__ import annotations

import math
from typing import Any

from acaciastand.errors import InvalidInput
from acaciastand.record import Record
from acaciastand.resources import Resources
from acaciastand.shard.limits import MAX_NAME_BYTES, MAX_TASKS_PER_JOB

PRIORITIES = ("normal", "urgent")
MAX_CORES = 4096.0
MAX_MEMORY_MB = 1 << 26
MAX_ACCELERATORS = 1024
MAX_RUN_SECONDS = 365 * 86400.0


class JobSpec(Record):
    """Specification of a job as its caller declared it.

    Parameters
    ----------
    urgent
        Whether the tasks of the job start before those of normal jobs.
    tasks
        Number of tasks.
    size
        Resources of each task.
    run_seconds
        Run time of each task; 0.0 when not declared.
    service
        Service next to whose target the tasks have to run; empty for any worker.
    """

    __slots__ = (
        "name",
        "team",
        "batch_class",
        "urgent",
        "tasks",
        "size",
        "run_seconds",
        "service",
    )

    def __init__(
        self,
        name: str = "",
        team: str = "",
        batch_class: str = "",
        urgent: bool = False,
        tasks: int = 1,
        size: Resources | None = None,
        run_seconds: float = 0.0,
        service: str = "",
    ) -> None:
        self.name = name
        self.team = team
        self.batch_class = batch_class
        self.urgent = urgent
        self.tasks = tasks
        self.size = size or Resources()
        self.run_seconds = run_seconds
        self.service = service

    def plain(self) -> list[Any]:
        """Return the specification as a list that CBOR can encode."""
        return [
            self.name,
            self.team,
            self.batch_class,
            self.urgent,
            self.tasks,
            list(self.size.values()),
            self.run_seconds,
            self.service,
        ]

    @classmethod
    def from_plain(cls, items: list[Any]) -> JobSpec:
        """Return the specification that :meth:`plain` turned into `items`."""
        name, team, batch_class, urgent, tasks, size, run_seconds, service = items
        return cls(name, team, batch_class, urgent, tasks, Resources(*size), run_seconds, service)


JOB_FIELDS = frozenset(
    {
        *("name", "team", "batch_class", "priority", "tasks"),
        *("cores", "memory_mb", "accelerators", "run_seconds", "service"),
    }
)


def parse_job(payload: dict[str, Any]) -> JobSpec:
    """Return the specification in the payload of a submission.

    Raises
    ------
    InvalidInput
        A field is unknown, missing, of the wrong type or out of range.
    """
    unknown = sorted(set(payload) - JOB_FIELDS)
    if unknown:
        raise InvalidInput(
            f"unknown job field {unknown[0]!r}", f"use {', '.join(sorted(JOB_FIELDS))}"
        )
    priority = payload.get("priority", "normal")
    if priority not in PRIORITIES:
        raise InvalidInput(f"priority is {priority!r}", "use normal or urgent")
    return JobSpec(
        _parse_text(payload, "name", required=False),
        _parse_text(payload, "team", required=True),
        _parse_text(payload, "batch_class", required=True),
        priority == "urgent",
        int(_parse_number(payload, "tasks", 1, 1, MAX_TASKS_PER_JOB, integer=True)),
        Resources(
            float(_parse_number(payload, "cores", 1.0, 0.01, MAX_CORES)),
            int(_parse_number(payload, "memory_mb", 0, 0, MAX_MEMORY_MB, integer=True)),
            int(_parse_number(payload, "accelerators", 0, 0, MAX_ACCELERATORS, integer=True)),
        ),
        float(_parse_number(payload, "run_seconds", 0.0, 0.0, MAX_RUN_SECONDS)),
        _parse_text(payload, "service", required=False),
    )


def _parse_text(payload: dict[str, Any], name: str, required: bool) -> str:
    value = payload.get(name, "")
    if not isinstance(value, str) or len(value.encode("utf-8", "replace")) > MAX_NAME_BYTES:
        raise InvalidInput(
            f"{name} is not a string of at most {MAX_NAME_BYTES} bytes", f"shorten {name}"
        )
    if required and not value:
        raise InvalidInput(f"{name} is missing", f"state the {name} of the job")
    return value


def _parse_number(
    payload: dict[str, Any],
    name: str,
    default: float,
    minimum: float,
    maximum: float,
    integer: bool = False,
) -> float:
    value: Any = payload.get(name, default)
    types: tuple[type, ...] = (int,) if integer else (int, float)
    if isinstance(value, bool) or type(value) not in types or not math.isfinite(value):
        expected = "a whole number" if integer else "a number"
        raise InvalidInput(f"{name} is {value!r}, not {expected}", f"use {minimum} to {maximum}")
    if not minimum <= value <= maximum:
        raise InvalidInput(f"{name} is {value!r}, out of range", f"use {minimum} to {maximum}")
    return float(value)

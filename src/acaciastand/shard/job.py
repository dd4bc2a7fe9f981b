"""Specification of a job, checked on submission."""

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
    """What a job asks for; sizes and run time are per task and as declared."""

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
        """Return the CBOR form."""
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
        """Return the specification in its CBOR form."""
        name, team, batch_class, urgent, tasks, size, run_seconds, service = items
        return cls(name, team, batch_class, urgent, tasks, Resources(*size), run_seconds, service)


FIELDS = frozenset(
    {
        *("name", "team", "batch_class", "priority", "tasks"),
        *("cores", "memory_mb", "accelerators", "run_seconds", "service"),
    }
)


def parse_job(payload: dict[str, Any]) -> JobSpec:
    """Return the specification in a submission.

    Raises
    ------
    InvalidInput
        A field is unknown, of another type or out of range.
    """
    unknown = sorted(set(payload) - FIELDS)
    if unknown:
        raise InvalidInput(f"unknown job field {unknown[0]!r}", f"use {', '.join(sorted(FIELDS))}")
    priority = payload.get("priority", "normal")
    if priority not in PRIORITIES:
        raise InvalidInput(f"priority is {priority!r}", "use normal or urgent")
    return JobSpec(
        _text(payload, "name", required=False),
        _text(payload, "team", required=True),
        _text(payload, "batch_class", required=True),
        priority == "urgent",
        int(_number(payload, "tasks", 1, 1, MAX_TASKS_PER_JOB, whole=True)),
        Resources(
            float(_number(payload, "cores", 1.0, 0.01, MAX_CORES)),
            int(_number(payload, "memory_mb", 0, 0, MAX_MEMORY_MB, whole=True)),
            int(_number(payload, "accelerators", 0, 0, MAX_ACCELERATORS, whole=True)),
        ),
        float(_number(payload, "run_seconds", 0.0, 0.0, MAX_RUN_SECONDS)),
        _text(payload, "service", required=False),
    )


def _text(payload: dict[str, Any], name: str, required: bool) -> str:
    value = payload.get(name, "")
    if not isinstance(value, str) or len(value.encode("utf-8", "replace")) > MAX_NAME_BYTES:
        raise InvalidInput(
            f"{name} is not a string of at most {MAX_NAME_BYTES} bytes", f"shorten {name}"
        )
    if required and not value:
        raise InvalidInput(f"{name} is missing", f"state the {name} of the job")
    return value


def _number(
    payload: dict[str, Any],
    name: str,
    default: float,
    low: float,
    high: float,
    whole: bool = False,
) -> float:
    value: Any = payload.get(name, default)
    kinds: tuple[type, ...] = (int,) if whole else (int, float)
    if isinstance(value, bool) or type(value) not in kinds or not math.isfinite(value):
        kind = "a whole number" if whole else "a number"
        raise InvalidInput(f"{name} is {value!r}, not {kind}", f"use {low} to {high}")
    if not low <= value <= high:
        raise InvalidInput(f"{name} is {value!r}", f"use {low} to {high}")
    return float(value)

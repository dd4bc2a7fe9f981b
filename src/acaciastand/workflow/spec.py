"""Specification of a job: steps of equal tasks with dependencies between them."""

from __future__ import annotations

from typing import Any

from acaciastand.checks import check_flag, check_integer, check_list, check_number, check_text
from acaciastand.record import Record
from acaciastand.resources import Resources

MAX_TASKS = 20_000  # Tasks of one job over all occurrences.
MAX_RESOURCE = 1 << 40  # Cores, megabytes or accelerators of one task.
MAX_UNIX_SECONDS = 1e11  # Times and durations in seconds, up to the year 5138.


class StepSpec(Record):
    """Equal tasks that become eligible together.

    Parameters
    ----------
    count
        Number of tasks.
    size
        Resources of one task.
    estimate_seconds
        Rough run time of one task, as declared by the caller.
    after
        Indices of earlier steps that must be complete first.
    saves_progress
        Whether tasks produce checkpoints that a later run can resume from.
    gang
        Whether the tasks run only if all of them run at the same time.
    same_rack
        Whether the members of a gang are slower when they run on several racks.
    required_label
        Label that the worker must have; empty for none.
    data_rack
        Rack that holds the data; tasks are slower on other racks. Empty for none.
    max_per_worker
        Maximum number of tasks of the step on one worker; 0 for no limit.
    speculative
        Whether several copies of a task may run at the same time.
    continuous
        Whether the tasks run until the job is cancelled and are restarted however they end.
    image
        Name of what the tasks run; empty for none. Tasks of one image behave alike.
    target_ms
        Latency target of a continuous task: limit on its tail latency in milliseconds; 0 for
        none.
    uses_leftover
        Whether the tasks run on leftover processor time, which other tasks leave unused. Only
        their memory and accelerators are reserved.
    max_absent
        Maximum number of tasks that planned actions may make unavailable at the same time; 0 for
        no limit.

    Attributes
    ----------
    reserved
        Resources that one task reserves on its worker.
    """

    __slots__ = (
        "count",
        "size",
        "estimate_seconds",
        "after",
        "saves_progress",
        "gang",
        "same_rack",
        "required_label",
        "data_rack",
        "max_per_worker",
        "speculative",
        "continuous",
        "image",
        "target_ms",
        "uses_leftover",
        "max_absent",
        "reserved",
    )

    def __init__(
        self,
        count: int = 1,
        size: Resources | None = None,
        estimate_seconds: float = 0.0,
        after: list[int] | None = None,
        saves_progress: bool = False,
        gang: bool = False,
        same_rack: bool = False,
        required_label: str = "",
        data_rack: str = "",
        max_per_worker: int = 0,
        speculative: bool = False,
        continuous: bool = False,
        image: str = "",
        target_ms: float = 0.0,
        uses_leftover: bool = False,
        max_absent: int = 0,
    ) -> None:
        self.count = count
        self.size = size or Resources()
        self.estimate_seconds = estimate_seconds
        self.after = after or []
        self.saves_progress = saves_progress
        self.gang = gang
        self.same_rack = same_rack
        self.required_label = required_label
        self.data_rack = data_rack
        self.max_per_worker = max_per_worker
        self.speculative = speculative
        self.continuous = continuous
        self.image = image
        self.target_ms = target_ms
        self.uses_leftover = uses_leftover
        self.max_absent = max_absent
        without_cores = Resources(0.0, self.size.memory_mb, self.size.accelerators)
        self.reserved = without_cores if uses_leftover else self.size

    @property
    def allows_copies(self) -> bool:
        """Whether a task may have a copy beside its current run."""
        return self.speculative and not (self.gang or self.continuous or self.uses_leftover)


class WorkflowSpec(Record):
    """A job as submitted.

    Parameters
    ----------
    payload
        Text that is passed to every task at its start.
    steps
        Steps in the order in which they were submitted.
    repeats
        Number of occurrences of a repeated job; 0 for a job that runs once, immediately.
    first_due_unix
        Unix time in seconds at which occurrence 0 is due.
    interval_seconds
        Time between the due times of two occurrences.
    """

    __slots__ = ("payload", "steps", "repeats", "first_due_unix", "interval_seconds")

    def __init__(
        self,
        payload: str = "",
        steps: list[StepSpec] | None = None,
        repeats: int = 0,
        first_due_unix: float = 0.0,
        interval_seconds: float = 0.0,
    ) -> None:
        self.payload = payload
        self.steps = steps or []
        self.repeats = repeats
        self.first_due_unix = first_due_unix
        self.interval_seconds = interval_seconds

    @property
    def occurrence_count(self) -> int:
        """Number of times that the steps run."""
        return max(1, self.repeats)

    def due_unix(self, occurrence: int) -> float:
        """Return the Unix time in seconds from which an occurrence may start; 0 for any time."""
        if not self.repeats:
            return 0.0
        return self.first_due_unix + occurrence * self.interval_seconds


def spec_to_list(spec: WorkflowSpec) -> list[Any]:
    """Return the job as nested lists that CBOR can encode."""
    steps = [
        [list(v.values()) if isinstance(v, Resources) else v for v in step.values()[:-1]]
        for step in spec.steps
    ]
    return [spec.payload, steps, spec.repeats, spec.first_due_unix, spec.interval_seconds]


def spec_from_list(items: list[Any]) -> WorkflowSpec:
    """Return the job from the nested lists of `spec_to_list`."""
    payload, step_rows, repeats, first_due, interval = check_list(items)
    steps = [
        StepSpec(row[0], Resources(*check_list(row[1])), *row[2:]) for row in check_list(step_rows)
    ]
    return check_spec(WorkflowSpec(payload, steps, repeats, first_due, interval))


def check_spec(spec: WorkflowSpec) -> WorkflowSpec:
    """Return a job whose fields all hold what they may.

    Raises
    ------
    ValueError
        A field is of another type or out of range, or the job has too many tasks.
    """
    check_text(spec.payload)
    check_integer(spec.repeats, 0, MAX_TASKS)
    check_number(spec.first_due_unix, 0.0, MAX_UNIX_SECONDS)
    check_number(spec.interval_seconds, 0.0, MAX_UNIX_SECONDS)
    for number, step in enumerate(spec.steps):
        _check_step(number, step)
    tasks = spec.occurrence_count * sum(step.count for step in spec.steps)
    if not 0 < tasks <= MAX_TASKS:
        raise ValueError(f"the job has {tasks} tasks, not 1 to {MAX_TASKS}")
    return spec


def _check_step(number: int, step: StepSpec) -> None:
    check_integer(step.count, 1, MAX_TASKS)
    check_number(step.size.cores, 0.0, MAX_RESOURCE)
    check_integer(step.size.memory_mb, 0, MAX_RESOURCE)
    check_integer(step.size.accelerators, 0, MAX_RESOURCE)
    check_number(step.estimate_seconds, 0.0, MAX_UNIX_SECONDS)
    check_number(step.target_ms)
    check_integer(step.max_per_worker)
    check_integer(step.max_absent)
    for earlier in check_list(step.after):
        check_integer(earlier, 0, number - 1)
    for text in (step.required_label, step.data_rack, step.image):
        check_text(text)
    for flag in (
        step.saves_progress,
        step.gang,
        step.same_rack,
        step.speculative,
        step.continuous,
        step.uses_leftover,
    ):
        check_flag(flag)


def step_core_seconds(step: StepSpec, task_count: int) -> float:
    """Return the work of some tasks of a step by the estimated run time.

    Continuous steps have no work: they run until their job is cancelled.
    """
    if step.continuous:
        return 0.0
    return task_count * step.size.cores * step.estimate_seconds


def total_core_seconds(spec: WorkflowSpec) -> float:
    """Return the work of one occurrence of a job."""
    return sum(step_core_seconds(step, step.count) for step in spec.steps)


def critical_path_seconds(spec: WorkflowSpec, seconds_of: Any = None) -> list[float]:
    """Return for each step the critical path from its start to the end of the job, in seconds.

    The critical path is the chain of dependent steps with the longest sum of run times.

    Parameters
    ----------
    spec
        The job.
    seconds_of
        Function from a step to its run time in seconds; the declared estimate by default.
    """
    path_seconds = [0.0] * len(spec.steps)
    for index in range(len(spec.steps) - 1, -1, -1):
        following = [path_seconds[i] for i, s in enumerate(spec.steps) if index in s.after]
        step = spec.steps[index]
        run_seconds = step.estimate_seconds if seconds_of is None else seconds_of(step)
        path_seconds[index] = run_seconds + max(following, default=0.0)
    return path_seconds

"""Run times of finished runs against the callers' estimates, and the rate of completed work."""

from __future__ import annotations

import math
from collections import deque
from statistics import median

from acaciastand.workflow.job import Task

MAX_RATIO_RUNS = 64  # Finished runs that are kept for each queue.
MIN_RATIO_RUNS = 8  # Fewer finished runs say too little about a queue.
# Bounds of a ratio of run time to estimate; a ratio beyond them is clipped.
MIN_RATIO, MAX_RATIO = 0.5, 10.0
MAX_QUEUES = 64  # Queues for which run times are kept; the oldest is dropped for a new one.
# A loss of workers often ends within this time, so the drain rate before it still counts in part.
DRAIN_MEMORY_SECONDS = 10.0
RELEASE_WINDOW_SECONDS = 5.0  # Time over which the work of finished runs is averaged.


class FinishedRuns:
    """Work of the runs that are done, and the ratios of their run times to the estimates.

    The median of the last ratios of a queue is used, since a few of its runs take many times their
    estimate.

    Attributes
    ----------
    ratios
        The last ratios by queue.
    core_seconds
        Work of the runs that were recorded since it was last taken, by queue.
    """

    def __init__(self) -> None:
        self.ratios: dict[str, deque[float]] = {}
        self.core_seconds: dict[str, float] = {}

    def record(self, task: Task, pace_percent: int) -> None:
        """Record the run of a task that is done; its duration is `Task.last_run_seconds`.

        A run of which this owner does not know the start counts as estimated.

        Parameters
        ----------
        pace_percent
            Pace at which interfering batch tasks may work on the worker.
        """
        step = task.step
        is_slowed = step.uses_leftover and pace_percent < 100
        is_known = task.is_run_timed and not is_slowed
        seconds = task.last_run_seconds if is_known else step.estimate_seconds
        queue = task.job.queue
        self.core_seconds[queue] = self.core_seconds.get(queue, 0.0) + step.size.cores * seconds
        if is_known and not task.is_run_resumed and seconds > 0 and step.estimate_seconds > 0:
            self._record_ratio(queue, seconds / step.estimate_seconds)

    def _record_ratio(self, queue: str, ratio: float) -> None:
        if queue not in self.ratios and len(self.ratios) >= MAX_QUEUES:
            del self.ratios[next(iter(self.ratios))]
        last = self.ratios.setdefault(queue, deque(maxlen=MAX_RATIO_RUNS))
        last.append(min(max(ratio, MIN_RATIO), MAX_RATIO))

    def median_ratios(self) -> dict[str, float]:
        """Return the median ratio of each queue with enough finished runs."""
        return {
            queue: median(last)
            for queue, last in self.ratios.items()
            if len(last) >= MIN_RATIO_RUNS
        }

    def take_core_seconds(self) -> dict[str, float]:
        """Return the work that was recorded since the last call, by queue."""
        core_seconds, self.core_seconds = self.core_seconds, {}
        return core_seconds


class DrainRate:
    """Rate at which the workers do work, in cores.

    Attributes
    ----------
    released_cores
        Average rate of the work of finished runs.
    cores
        The rate by the last update.
    """

    def __init__(self) -> None:
        self.released_cores = 0.0
        self.cores = 0.0

    def update(
        self, released_core_seconds: float, cores_in_use: float, free_cores: float, seconds: float
    ) -> None:
        """Update the rate.

        Parameters
        ----------
        released_core_seconds
            Work of the runs that finished since the last update.
        cores_in_use, free_cores
            Cores of the runs that end by themselves, and cores that are free for such runs.
        seconds
            Time since the last update; 0 at the first.
        """
        if seconds > 0:
            weight = math.exp(-seconds / RELEASE_WINDOW_SECONDS)
            rate = released_core_seconds / seconds
            self.released_cores = weight * self.released_cores + (1.0 - weight) * rate
        remembered = self.cores * math.exp(-seconds / DRAIN_MEMORY_SECONDS)
        self.cores = max(cores_in_use + free_cores, self.released_cores, remembered)

"""Choice of the worker on which a task that is suspected of a crash starts."""

from __future__ import annotations

from collections.abc import Sequence

from acaciastand.workflow.crashes import QUIET_SECONDS
from acaciastand.workflow.job import Task
from acaciastand.workflow.placement import Placement
from acaciastand.workflow.worker import WorkerView

# Time beyond it for which ordinary tasks are kept off a worker that a suspect waits for.
RESERVATION_MARGIN_SECONDS = 0.3
# A worker that crashed within this time may crash by itself again, and gets a suspect last.
RECENT_CRASH_SECONDS = 15.0
# Maximum share of the workers that are reserved for suspects at the same time.
MAX_RESERVED_SHARE = 0.34


class IsolatedPlacement(Placement):
    """Placement of suspects on quiet workers, where a crash is certainly theirs.

    Under load no worker is quiet by itself, so one is reserved for a suspect that waits. Workers
    that have not crashed lately come first, and then those with the fewest tasks, since these are
    lost if the worker crashes.

    Parameters
    ----------
    placement
        Policy that says whether a task may start on a worker.
    """

    def __init__(self, placement: Placement) -> None:
        self.placement = placement

    def choose(
        self, task: Task, workers: Sequence[WorkerView], now: float, starving: bool = False
    ) -> WorkerView | None:
        """Return the worker for a suspect, or None if it has to wait.

        Parameters
        ----------
        task, workers, now, starving
            As for `Placement.choose`; the workers may be reserved.
        """
        usable = [w for w in workers if self.placement.choose(task, [w], now, starving)]
        usable.sort(key=lambda w: _risk(w, now))
        quiet = next((w for w in usable if is_quiet(w, now)), None)
        if quiet is None:
            _reserve(usable, workers, now)
        return quiet


def is_quiet(worker: WorkerView, now: float) -> bool:
    """Return whether nothing has started on a worker for a moment."""
    return now - worker.last_start_at >= QUIET_SECONDS


def _reserve(usable: Sequence[WorkerView], workers: Sequence[WorkerView], now: float) -> None:
    """Keep ordinary tasks off the first of the usable workers, so that it becomes quiet."""
    reserved = sum(now < w.reserved_until for w in workers)
    if reserved and reserved + 1 > MAX_RESERVED_SHARE * len(workers):
        return
    for worker in usable:
        if now >= worker.reserved_until:
            worker.reserved_until = now + QUIET_SECONDS + RESERVATION_MARGIN_SECONDS
            return


def _risk(worker: WorkerView, now: float) -> tuple[bool, int]:
    """Return the sort key of a worker for a suspect; the smallest is best."""
    return (now - worker.crashed_at < RECENT_CRASH_SECONDS, len(worker.tasks))

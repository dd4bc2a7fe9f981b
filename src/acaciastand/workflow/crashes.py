"""Attribution of crashes of workers to the tasks that ran on them.

Designed for a task that crashes each worker that starts it, while many other tasks share these
workers and workers crash for other reasons too. The crash follows soon after the start, so the
tasks that started last are suspected. A suspect starts again only where nothing else has started
for a moment, and nothing else starts there until it has outlived the point of the former crash. A
crash in that time is certainly its own; a task that merely shared the worker is cleared by then.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from acaciastand.record import Record
from acaciastand.workflow.reports import CrashedRun, WorkerCrash

# A crash that came within this time after a start is hardly a coincidence.
IMMEDIATE_SECONDS = 0.25
# Without such a start, the runs are suspected that had started within this time before the crash.
RECENT_START_SECONDS = 1.0
# A task is suspected too if two crashes came at the same point of its runs, up to this one.
MAX_POINT_SECONDS = 3.0
# Crashes came at the same point if the times since the starts differ by no more than this share of
# the longer one, and the error with which agents measure them.
SIMILAR_SHARE = 0.25
MEASUREMENT_ERROR_SECONDS = 0.1
# Two starts on a worker are apart if this much time lies between them.
QUIET_SECONDS = 0.3
# Numbers of crashes under a task at which it is given up: at the same point of its runs, the last
# one after a start apart from others, either immediately under runs that had begun or at any point;
# and of suspected ones of any kind.
IMMEDIATE_CRASHES_TO_GIVE_UP = 2
SIMILAR_CRASHES_TO_GIVE_UP = 3
SUSPECTED_CRASHES_TO_GIVE_UP = 4
# A suspect is cleared once it has run for this long beyond the point of the former crashes.
OBSERVATION_MARGIN_SECONDS = 0.3


class TaskCrash(Record):
    """Crash of a worker while a run of a task was on it.

    Parameters
    ----------
    run
        Number of the run.
    ran_seconds
        Time from the start of the run to the crash, in seconds.
    suspected
        Whether the task is suspected of the crash.
    isolated
        Whether nothing else started on the worker shortly before the run or after it.
    confirmed
        Whether the run had certainly begun.
    """

    __slots__ = ("run", "ran_seconds", "suspected", "isolated", "confirmed")

    def __init__(
        self,
        run: int,
        ran_seconds: float,
        suspected: bool = False,
        isolated: bool = False,
        confirmed: bool = True,
    ) -> None:
        self.confirmed = confirmed
        self.run = run
        self.ran_seconds = ran_seconds
        self.suspected = suspected
        self.isolated = isolated


class Suspects(Record):
    """Tasks that are suspected of a crash.

    Parameters
    ----------
    tasks
        Keys of the tasks; may be empty.
    isolated
        Whether the only one among them had started apart from all other runs.
    """

    __slots__ = ("tasks", "isolated")

    def __init__(self, tasks: set[str], isolated: bool = False) -> None:
        self.tasks = tasks
        self.isolated = isolated


def find_suspects(crash: WorkerCrash, former: Mapping[str, Sequence[TaskCrash]]) -> Suspects:
    """Return the tasks that are suspected of a crash.

    These are the tasks that started shortly before and those under which a worker has crashed at
    the same point before. Where both is true of a task that has just started, it is the only one.

    Parameters
    ----------
    crash
        The crash.
    former
        Earlier crashes under each of its tasks, by key.
    """
    started = _recently_started(crash)
    repeating = {run.task for run in crash.runs if _repeats_point(run, former.get(run.task, ()))}
    if not repeating:
        return started
    both = started.tasks & repeating
    if both and (both == repeating or _is_immediate(crash)):
        return Suspects(both, started.isolated)
    return Suspects(repeating if both else started.tasks | repeating)


def _is_immediate(crash: WorkerCrash) -> bool:
    """Return whether a run had just started when the worker crashed."""
    return any(run.ran_seconds <= IMMEDIATE_SECONDS for run in crash.runs)


def _recently_started(crash: WorkerCrash) -> Suspects:
    """Return the tasks that started shortly before a crash."""
    runs = sorted(crash.runs, key=lambda run: run.ran_seconds)
    if not runs or runs[0].ran_seconds > RECENT_START_SECONDS:
        return Suspects(set())
    if len(runs) == 1 or runs[1].ran_seconds - runs[0].ran_seconds >= QUIET_SECONDS:
        return Suspects({runs[0].task}, isolated=True)
    seconds = IMMEDIATE_SECONDS if _is_immediate(crash) else RECENT_START_SECONDS
    return Suspects({run.task for run in runs if run.ran_seconds <= seconds})


def _repeats_point(run: CrashedRun, former: Sequence[TaskCrash]) -> bool:
    """Return whether a crash came at the same point of a run as a former one."""
    return run.ran_seconds <= MAX_POINT_SECONDS and any(
        _is_similar(crash.ran_seconds, run.ran_seconds) for crash in former
    )


def is_suspect(crashes: Sequence[TaskCrash]) -> bool:
    """Return whether a task with these crashes may start in isolation only."""
    return any(crash.suspected for crash in crashes)


def observation_seconds(crashes: Sequence[TaskCrash]) -> float:
    """Return how long a suspect is observed after its start."""
    suspected = [crash.ran_seconds for crash in crashes if crash.suspected]
    return max(suspected, default=0.0) + OBSERVATION_MARGIN_SECONDS


def is_cleared(crashes: Sequence[TaskCrash], ran_seconds: float) -> bool:
    """Return whether a run that has lasted for `ran_seconds` has outlived all former crashes."""
    longest = max((crash.ran_seconds for crash in crashes), default=0.0)
    return ran_seconds > longest + OBSERVATION_MARGIN_SECONDS


def crashes_workers(crashes: Sequence[TaskCrash]) -> bool:
    """Return whether a task is to be given up, since it crashes each worker that starts it.

    Two crashes are enough only under runs that had certainly begun.
    """
    suspected = [crash for crash in crashes if crash.suspected]
    if len(suspected) >= SUSPECTED_CRASHES_TO_GIVE_UP:
        return True
    if not suspected or not suspected[-1].isolated:
        return False
    last = suspected[-1].ran_seconds
    similar = [crash for crash in crashes if _is_similar(crash.ran_seconds, last)]
    confirmed = [crash for crash in similar if crash.confirmed]
    if last <= IMMEDIATE_SECONDS and len(confirmed) >= IMMEDIATE_CRASHES_TO_GIVE_UP:
        return True
    return len(similar) >= SIMILAR_CRASHES_TO_GIVE_UP


def _is_similar(first_seconds: float, second_seconds: float) -> bool:
    longer = max(first_seconds, second_seconds)
    tolerance = MEASUREMENT_ERROR_SECONDS + SIMILAR_SHARE * longer
    return abs(first_seconds - second_seconds) <= tolerance

"""Runs that an agent knows to be on its worker, in case the worker crashes."""

from __future__ import annotations

from collections.abc import Iterable

from acaciastand.workflow.reports import ActiveRun, CrashedRun, WorkerCrash

# Age of a run that was on the worker before the agent started, which has not seen its start.
UNSEEN_START_SECONDS = 3600.0
MAX_CRASHES = 8  # Crashes that are kept while their consequences are not stored.
# Error with which the start of an incarnation is known from the host's clock.
CLOCK_ERROR_SECONDS = 0.01


class CrashWitness:
    """Remembers which runs are on a worker and since when, for the report of a crash.

    Only the agent beside a worker sees the crash itself. It reports the crash to each owner until
    the consequences are stored, so that they outlive the owner. A crash together with the host is
    not reported, since the agent has ended as well.

    Times are seconds on the agent's clock.

    Attributes
    ----------
    started_at
        When each run that may be on the worker was started, by task and run.
    unconfirmed
        Task and number of those runs that may not have begun, since the worker has neither
        accepted their start nor listed them.
    alive_at
        When the last answered poll began.
    failed_at
        When the first call of the present series of failed calls failed; None after an answer.
    crashes
        Crashes whose consequences are not stored yet, the oldest first.
    crashed_ms
        Start time in Unix milliseconds of the incarnation that crashed last; 0 if none did.
    """

    def __init__(self) -> None:
        self.started_at: dict[tuple[str, int], float] = {}
        self.unconfirmed: set[tuple[str, int]] = set()
        self.alive_at = float("-inf")
        self.failed_at: float | None = None
        self.crashes: list[WorkerCrash] = []
        self.crashed_ms = 0

    def record_start(self, task: str, run: int, now: float) -> None:
        """Record that a call to start a run is sent, unless it is a repetition."""
        if (task, run) not in self.started_at:
            self.started_at[(task, run)] = now
            self.unconfirmed.add((task, run))

    def confirm_start(self, task: str, run: int) -> None:
        """Record that the worker has accepted the start of a run."""
        self.unconfirmed.discard((task, run))

    def discard_start(self, task: str, run: int) -> None:
        """Record that a run has certainly not started."""
        self.started_at.pop((task, run), None)

    def record_poll(self, born_ms: int, running: Iterable[ActiveRun], began_at: float) -> None:
        """Record the runs that a poll, begun at `began_at`, lists."""
        self.alive_at = began_at
        self.failed_at = None
        if born_ms == self.crashed_ms:
            self._withdraw_crash(born_ms)
        listed = {(active_run.task, active_run.run) for active_run in running}
        self.started_at = {
            key: started_at
            for key, started_at in self.started_at.items()
            if key in listed or started_at >= began_at
        }
        for key in listed:
            self.started_at.setdefault(key, began_at - UNSEEN_START_SECONDS)
        self.unconfirmed = (self.unconfirmed & self.started_at.keys()) - listed

    def record_failure(self, now: float) -> None:
        """Record a poll that was not answered."""
        if self.failed_at is None:
            self.failed_at = now

    def record_crash(
        self, born_ms: int, now: float, restarted_at: float | None = None
    ) -> WorkerCrash | None:
        """Record the crash of an incarnation of the worker.

        Parameters
        ----------
        born_ms
            Start time of the incarnation in Unix milliseconds.
        now
            When the agent noticed the crash.
        restarted_at
            When the next incarnation started by the host's clock; None if none is known.

        Returns
        -------
        WorkerCrash | None
            The crash; None if it is recorded already or no run was on the worker.
        """
        crashed_at = self._crash_time(now, restarted_at)
        runs = [
            CrashedRun(
                task,
                run,
                max(0.0, crashed_at - started_at),
                (task, run) not in self.unconfirmed,
            )
            for (task, run), started_at in self.started_at.items()
            if started_at <= crashed_at + CLOCK_ERROR_SECONDS
        ]
        if not runs or born_ms == self.crashed_ms:
            return None
        self.crashed_ms = born_ms
        crash = WorkerCrash(born_ms, runs)
        self.crashes = [*self.crashes, crash][-MAX_CRASHES:]
        return crash

    def _crash_time(self, now: float, restarted_at: float | None) -> float:
        """Return when a crash came that is noticed at `now`.

        A worker that restarts at once can answer a poll that was sent to its predecessor, at the
        end of the poll's wait. The start of the next incarnation is closer to the crash then, and
        runs that began after it are on that incarnation. The host's clock may have jumped, so the
        result stays after the last sign of life.
        """
        if self.failed_at is not None:
            return self.failed_at
        if restarted_at is None:
            return now
        return min(now, max(restarted_at, self.alive_at))

    def _withdraw_crash(self, born_ms: int) -> None:
        """Forget the crash of a worker that answers again, since it only refused connections."""
        self.crashed_ms = 0
        self.crashes = [crash for crash in self.crashes if crash.born_ms != born_ms]

    def begin_incarnation(self, now: float, restarted_at: float | None = None) -> None:
        """Forget the runs that were started before the former incarnation of the worker ended.

        The parameters are as for `record_crash`.
        """
        ended_at = self._crash_time(now, restarted_at) + CLOCK_ERROR_SECONDS
        self.started_at = {
            key: started_at for key, started_at in self.started_at.items() if started_at > ended_at
        }
        self.unconfirmed &= self.started_at.keys()
        self.failed_at = None

    def record_stored(self, born_ms: int) -> None:
        """Forget the crashes whose consequences are stored, up to an incarnation."""
        self.crashes = [crash for crash in self.crashes if crash.born_ms > born_ms]

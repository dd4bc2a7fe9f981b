"""Effects of reported crashes of workers on the tasks that ran there."""

from __future__ import annotations

from acaciastand.workflow import crashes
from acaciastand.workflow.job import Task
from acaciastand.workflow.reports import CrashedRun, WorkerCrash
from acaciastand.workflow.scheduler_state import SchedulerState
from acaciastand.workflow.worker import WorkerView


class CrashProcessor:
    """Attributes crashes to tasks and gives up tasks that crash their workers.

    Parameters
    ----------
    state
        State of the scheduler.
    """

    def __init__(self, state: SchedulerState) -> None:
        self.state = state

    def process(self, worker: WorkerView, crash: WorkerCrash, now: float, now_unix: float) -> None:
        """Attribute a crash that was not reported before, and give up tasks that crash workers."""
        worker.crash_ms = crash.born_ms
        worker.crashed_at = now
        affected = [(run, task) for run in crash.runs if (task := self._lost_in_crash(run))]
        former = {
            task.key: [known for known in task.crashes if known.run != run.run]
            for run, task in affected
        }
        suspects = crashes.find_suspects(crash, former)
        self.state.record_decision(
            "worker crashed",
            worker.agent_id,
            born_ms=crash.born_ms,
            runs=len(crash.runs),
            suspects=len(suspects.tasks),
            isolated=suspects.isolated,
        )
        for run, task in affected:
            self._record_task_crash(task, run, suspects, worker.agent_id)
            if crashes.crashes_workers(task.crashes) and not task.job.has_ended:
                self.state.fail_job(task, now, now_unix, crashes=len(task.crashes))
            worker.crash_versions[task.job.job_id] = task.job.version

    def stored_crash_ms(self, worker: WorkerView) -> int:
        """Return the incarnation up to which the consequences of crashes are stored.

        Returns
        -------
        int
            Start time of the incarnation in Unix milliseconds; 0 while some are not stored.
        """
        worker.crash_versions = {
            job_id: version
            for job_id, version in worker.crash_versions.items()
            if (job := self.state.jobs.get(job_id)) and job.stored_version < version
        }
        return 0 if worker.crash_versions else worker.crash_ms

    def _lost_in_crash(self, run: CrashedRun) -> Task | None:
        """Return the task of a run that a crash has ended, or None if it does not matter."""
        task = self.state.find_task(run.task)
        is_over = task is None or task.job.has_ended or run.run in task.ended_runs
        return None if is_over else task

    def _record_task_crash(
        self, task: Task, run: CrashedRun, suspects: crashes.Suspects, agent_id: str
    ) -> None:
        is_suspected = task.key in suspects.tasks
        task.record_run(run.run)
        task.record_crash(
            crashes.TaskCrash(
                run.run,
                run.ran_seconds,
                is_suspected,
                is_suspected and suspects.isolated,
                run.confirmed,
            )
        )
        self.state.mark_changed(task.job)
        if is_suspected:
            self.state.record_decision(
                "crash suspected",
                task.key,
                run=run.run,
                agent=agent_id,
                ran_s=round(run.ran_seconds, 3),
                has_begun=run.confirmed,
                crashes=len(task.crashes),
            )

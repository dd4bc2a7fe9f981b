"""Jobs, tasks and workers of the scheduler, and the transitions of a task between its states."""

from __future__ import annotations

from typing import Any

from acaciastand.workflow.advice import AdviceCache
from acaciastand.workflow.catalog import Catalog
from acaciastand.workflow.decisions import DecisionRecord, StopDecision
from acaciastand.workflow.finished_runs import FinishedRuns
from acaciastand.workflow.interference import Interference
from acaciastand.workflow.job import ON_WORKER, Job, Task, TaskState
from acaciastand.workflow.quarantine import WorkerQuarantine
from acaciastand.workflow.run_numbers import RunNumbers
from acaciastand.workflow.task_copy import TaskCopy, promote_copy
from acaciastand.workflow.worker import WorkerView
from acaciastand.workflow.zone_drains import NoZoneDrains, ZoneDrains
from acaciastand.workflow.zone_moves import NoZoneMoves, ZoneMoves


class SchedulerState:
    """State that the parts of the scheduler share.

    Parameters
    ----------
    stop_seconds
        Longest time that a worker takes to stop a run.
    interference
        Model of the interference between images that share a worker.
    run_numbers
        Numbers that this owner may give to runs.

    Attributes
    ----------
    advice
        Advice of the placement service.
    catalog
        Version of the operators' configuration that is in use.
    zone_drains
        Availability zones whose workers get no new work.
    zone_moves
        Policy on the runs in these zones.
    jobs
        Jobs by id, ended ones included.
    workers
        Workers by the id of their agent.
    waiting
        Tasks of eligible steps that wait for a start, by key.
    not_yet_due
        Tasks of repeated jobs that wait for the due time of their occurrence, by key.
    uncertain
        Tasks that a former owner may have started, by key.
    dirty
        Jobs with changes that are not stored, by id.
    pending_stops
        Decisions to stop runs that the next plan returns.
    decisions
        Decisions to be logged; the owner empties the list.
    finished_runs
        What is known of the runs that are done.
    quarantine
        Standing of the workers by what failed on them.
    last_check_at
        When the time limits were last checked.
    event_count
        Number of changes so far that call for a new plan.
    """

    def __init__(
        self, stop_seconds: float, interference: Interference, run_numbers: RunNumbers
    ) -> None:
        self.stop_seconds = stop_seconds
        self.interference = interference
        self.run_numbers = run_numbers
        self.advice = AdviceCache()
        self.catalog = Catalog()
        self.zone_drains: ZoneDrains = NoZoneDrains()
        self.zone_moves: ZoneMoves = NoZoneMoves()
        self.jobs: dict[str, Job] = {}
        self.workers: dict[str, WorkerView] = {}
        self.waiting: dict[str, Task] = {}
        self.not_yet_due: dict[str, Task] = {}
        self.uncertain: dict[str, Task] = {}
        self.dirty: dict[str, Job] = {}
        self.pending_stops: list[StopDecision] = []
        self.decisions: list[DecisionRecord] = []
        self.finished_runs = FinishedRuns()
        self.quarantine = WorkerQuarantine(self.record_decision)
        self.last_check_at = float("-inf")
        self.event_count = 0

    def find_task(self, key: str) -> Task | None:
        """Return the task with a key, or None if its job is not known."""
        job = self.jobs.get(key.partition(".")[0])
        return job.tasks.get(key) if job else None

    def find_run(self, key: str, run: int) -> Task | None:
        """Return the task or copy that has a run, or None if the run is not known."""
        task = self.find_task(key)
        return task.find_run(run) if task else None

    def record_decision(self, what: str, subject: str, **inputs: Any) -> None:
        """Keep a decision and its inputs for the log."""
        self.decisions.append(DecisionRecord(what, subject, inputs))

    def mark_changed(self, job: Job) -> None:
        """Record that a job has changes to be stored."""
        job.version += 1
        self.event_count += 1
        self.dirty[job.job_id] = job

    def record_begin(self, task: Task) -> None:
        """Record that a run of a task has begun on a worker."""
        task.has_begun = True
        if not task.job.has_started:
            task.job.has_started = True
            self.mark_changed(task.job)

    def make_waiting(self, task: Task, is_due: bool = False) -> None:
        """Let a task wait for its next start, unless its job has ended or its step is not eligible.

        If it belongs to a gang, the runs of the other members are stopped. `is_due` tells that the
        occurrence of a repeated job is due.
        """
        task.state = TaskState.WAITING
        task.waiting_since = 0.0
        self.event_count += 1
        self.forget_waiting(task)
        job = task.job
        if job.has_ended or not job.is_step_eligible(task.name.occurrence, task.step):
            return
        if task.step.gang:
            for member in job.siblings(task):
                if member.state in (TaskState.STARTING, TaskState.RUNNING):
                    self.request_stop(member, self.last_check_at)
        if job.spec.repeats and not is_due:
            self.not_yet_due[task.key] = task
        else:
            self.waiting[task.key] = task

    def forget_waiting(self, task: Task) -> None:
        """Take a task out of all sets of tasks that wait; it is in one of them at most."""
        self.waiting.pop(task.key, None)
        self.not_yet_due.pop(task.key, None)
        self.uncertain.pop(task.key, None)

    def release(self, task: Task) -> None:
        """Take a task off its worker. If a copy of it runs, that becomes its current run."""
        worker = self.workers.get(task.agent_id)
        if worker is not None:
            worker.remove(task)
            self.quarantine.record_end(task, task.run, task.agent_id, "", self.last_check_at)
            self.event_count += 1
        task.state = TaskState.WAITING
        task.agent_id = ""
        if isinstance(task, TaskCopy):
            task.discard()
        elif task.copies:
            promote_copy(task, self.workers)

    def restart(self, task: Task) -> None:
        """Let a task whose run is gone wait for its next start, unless another run goes on.

        The next start also waits for the first reports of all agents to this owner, as long as one
        of them may have a copy that a former owner started.
        """
        if isinstance(task, TaskCopy):
            return
        if task.state in ON_WORKER:
            self.record_decision("copy took over", task.key, run=task.run, agent=task.agent_id)
        elif self._may_have_unknown_run(task):
            self.forget_waiting(task)
            task.state = TaskState.UNCERTAIN
            self.uncertain[task.key] = task
        else:
            self.make_waiting(task)

    @property
    def all_have_reported(self) -> bool:
        """Whether it is known what former owners started, but for `unsettled_tasks`."""
        return all(worker.has_reported for worker in self.workers.values())

    def unsettled_tasks(self) -> set[str]:
        """Return the keys of the tasks with starts of former owners that may still take effect."""
        return {key for worker in self.workers.values() for key, _ in worker.unsettled_starts}

    def _may_have_unknown_run(self, task: Task) -> bool:
        """Return whether a former owner may have started a copy that is not reported yet."""
        return (
            task.step.allows_copies
            and not task.job.has_ended
            and any(worker.may_have_unknown_run(task.key) for worker in self.workers.values())
        )

    def record_lost_copy(self, task: Task, run: int, why: str) -> None:
        """Record that a run has ended without effect, if it was the last copy of its task."""
        if run == task.copy_run:
            self.record_decision("copy lost", task.key, run=run, why=why)
            task.copy_run = 0

    def record_refused_start(self, task: Task, run: int, why: str) -> None:
        """Record that the start of a run did nothing; it does not count as a copy."""
        if run == task.copy_run:
            task.copies_started -= 1
        self.record_lost_copy(task, run, why)

    def record_stopped_copy(self, task: Task, why: str) -> None:
        """Record that the last copy of a task is stopped, since it is not needed any more."""
        self.record_decision("copy stopped", task.key, run=task.copy_run, why=why)
        task.copy_run = 0

    def set_checkpoint(self, task: Task, checkpoint: str) -> None:
        """Set the checkpoint of a task. All members of a gang resume from the same checkpoint."""
        for member in task.job.siblings(task) if task.step.gang else [task]:
            member.checkpoint = checkpoint

    def request_stop(self, task: Task, now: float) -> None:
        """Have the current run of a task stopped; each plan repeats the command."""
        if task.state != TaskState.STOPPING:
            self.event_count += 1
            task.state = TaskState.STOPPING
            task.forget_stop()

    def mark_lost(self, task: Task, why: str, **inputs: Any) -> None:
        """Take a run that is certainly gone off its task, or a copy of it off the copy's task.

        The task goes on with its other run, if it has one, or else waits for its next start.
        `why` and `inputs` go into the log.
        """
        state = task.state.name.lower()
        self.record_decision(
            "run lost", task.key, run=task.run, agent=task.agent_id, state=state, why=why, **inputs
        )
        self.record_lost_copy(task, task.run, why)
        self.release(task)
        self.restart(task)

    def has_used_attempts(self, task: Task) -> bool:
        """Return whether a task has failed as often as its queue allows.

        That is not known while the configuration has no such queue. Nothing of the job starts
        meanwhile.
        """
        queue = self.catalog.by_name(task.job.queue)
        if queue is None or task.step.continuous:
            return False
        return task.job.count_failures(task) >= queue.max_attempts

    def fail_job(self, task: Task, now: float, now_unix: float, **reason: Any) -> None:
        """End the job of a task that is given up; `reason` goes into the log."""
        task.job.failed = True
        self.record_decision(
            "job failed", task.job.job_id, task=task.key, config=self.catalog.version, **reason
        )
        self.end_job(task.job, now, now_unix)

    def end_job(self, job: Job, now: float, now_unix: float) -> None:
        """End a job that is complete, cancelled or failed, and stop its runs."""
        job.ended_unix = now_unix
        self.advice.remove_job(job.job_id)
        for task in job.tasks.values():
            self.forget_waiting(task)
            for holder in (task, *task.copies):
                if holder.state in (TaskState.STARTING, TaskState.RUNNING):
                    self.request_stop(holder, now)
            if task.copies and task.copy_run:
                self.record_stopped_copy(task, f"job {job.state.value}")
        self.mark_changed(job)
        took_s = round(now_unix - job.accepted_unix, 2)
        self.record_decision("job over", job.job_id, state=job.state.value, took_s=took_s)

"""The owner's aggregate: jobs, workers and the decisions that follow from each event.

Nothing here waits or reads a clock. Times are seconds of a clock that counts suspensions; `unix`
times are of the time of day. Ends of runs count in memory at once, so that the next step starts
without waiting for the store; callers are shown, and workers are acknowledged, only what is stored.
"""

from __future__ import annotations

from functools import partial
from typing import Any

from acaciastand.workflow import quarantine
from acaciastand.workflow.advice import Advice, AdviceCache, AdviceRequest, advises
from acaciastand.workflow.catalog import Catalog
from acaciastand.workflow.decisions import DecisionRecord, StartDecision, StopDecision
from acaciastand.workflow.interference import Interference, LearnedInterference
from acaciastand.workflow.job import ON_WORKER, Job, Task, TaskState
from acaciastand.workflow.limits import FRESH_SECONDS
from acaciastand.workflow.moves import WaitingCores, runs_that_outlast, runs_to_move, slowed_runs
from acaciastand.workflow.overdue import LongestSibling, OverduePolicy, overdue_runs
from acaciastand.workflow.placement import Placement, SeparatingPlacement
from acaciastand.workflow.ranking import LeastSlackFirst, RankingPolicy
from acaciastand.workflow.reports import (
    ActiveRun,
    AgentReport,
    EndedRun,
    RunEnd,
    StartCommand,
    StartOutcome,
)
from acaciastand.workflow.starts import StartPlanner
from acaciastand.workflow.worker import WorkerView

STOP_SECONDS = 1.0  # longest stop of a run, unless the settings say otherwise
POLL_DELAY_SECONDS = 0.6  # a look that is reported now was taken at most this long ago
CHECK_SECONDS = 0.09  # between two looks at the times of all runs and workers
STOP_RETRY_SECONDS = 0.4  # between two orders to stop the same attempt
MAX_MISSED_POLLS = 2  # looks in a row without an attempt after which it is asked to stop
FULL_SECONDS = 0.5  # a worker that rejected a start for room gets no new one for this long
RETRY_SECONDS = 0.15  # before a task is started again after a refused start


class Scheduler:
    """Jobs of one deployment in the hands of its owner.

    Parameters
    ----------
    ranking, placement
        Policies on which task goes first, and where.
    stop_seconds
        Longest time that a worker takes to stop a run.
    interference
        What is known of the pairs of images that share a worker.
    """

    def __init__(
        self,
        ranking: RankingPolicy | None = None,
        placement: Placement | None = None,
        stop_seconds: float = STOP_SECONDS,
        interference: Interference | None = None,
    ) -> None:
        self.interference = interference or LearnedInterference()
        self.advice = AdviceCache()
        self.starts = StartPlanner(
            ranking or LeastSlackFirst(),
            placement or SeparatingPlacement(self.interference),
            self.advice,
        )
        self.stop_seconds = stop_seconds
        self.overdue: OverduePolicy = LongestSibling()
        self.catalog = Catalog()
        self.jobs: dict[str, Job] = {}
        self.workers: dict[str, WorkerView] = {}
        self.waiting: dict[str, Task] = {}
        self.timed: dict[str, Task] = {}
        self.uncertain: dict[str, Task] = {}
        self.dirty: dict[str, Job] = {}
        self.stops: list[StopDecision] = []
        self.decisions: list[DecisionRecord] = []
        self.checked_at = float("-inf")
        self.moving: list[Task] = []  # stopped to go on where no service is beside them
        self.event_count = 0  # changes that call for a new plan

    # Jobs

    def add_job(self, job: Job, certain: bool = True) -> None:
        """Take in a stored job; not `certain` if a former owner may have started its tasks."""
        if job.job_id in self.jobs:
            return
        self.jobs[job.job_id] = job
        if job.has_ended:
            return
        for task in job.tasks.values():
            if task.state == TaskState.DONE:
                continue
            if certain:
                self._make_waiting(task)
            else:
                task.state = TaskState.UNCERTAIN
                self.uncertain[task.key] = task

    def cancel(self, job_id: str, now: float, now_unix: float) -> Job | None:
        """Cancel a job and stop what runs of it; None if there is no such job."""
        job = self.jobs.get(job_id)
        if job is None or job.has_ended:
            return job
        job.cancelled = True
        self._end_job(job, now, now_unix)
        return job

    def remove_job(self, job_id: str) -> None:
        """Drop a job that ended long ago."""
        self.jobs.pop(job_id, None)
        self.dirty.pop(job_id, None)

    def mark_stored(self, job: Job, version: int) -> None:
        """Take note that the job's state up to `version` is stored."""
        job.stored_version = max(job.stored_version, version)
        if job.stored_version == job.version:
            job.stored_state = job.state
            self.dirty.pop(job.job_id, None)

    def count_waiting(self) -> dict[str, int]:
        """Return for each queue the accepted jobs of which no task has started."""
        counts: dict[str, int] = {}
        for job in self.jobs.values():
            if not job.has_started and not job.has_ended:
                counts[job.queue] = counts.get(job.queue, 0) + 1
        return counts

    # Workers

    def add_worker(self, agent_id: str, has_reported: bool, granted_until: float) -> WorkerView:
        """Take note of an agent; not `has_reported` if a former owner may have given it work."""
        worker = self.workers.get(agent_id)
        if worker is None:
            worker = self.workers[agent_id] = WorkerView(agent_id)
            worker.has_reported = has_reported
            worker.granted_until = granted_until
        return worker

    def process_report(
        self, agent_id: str, report: AgentReport, now: float, now_unix: float
    ) -> None:
        """Take in what an agent reports."""
        worker = self.workers[agent_id]
        worker.last_report = now
        worker.worker_unresponsive = report.silent
        worker.pace_percent = report.pace_percent
        worker.tail_share = report.tail_share
        if report.lapsed:
            self._all_lost(worker, now, "lease of the runs expired")
            worker.has_reported = True
        if report.identity is None:
            return
        if worker.born_ms and worker.born_ms != report.identity.born_ms:
            self._begin_incarnation(worker, report, now)
        began_draining = report.identity.draining and not (
            worker.identity and worker.identity.draining
        )
        worker.identity = report.identity
        if began_draining:
            self._record_decision(
                "worker draining", agent_id, remaining_s=report.identity.remaining_seconds
            )
        if not report.look:
            return
        worker.has_reported = worker.has_reported or report.settled
        known = {number for number, _, _ in worker.pending_ends}
        for end in report.ended:
            if end.number > worker.acknowledged and end.number not in known:
                self._ended(worker, end, now, now_unix)
        self._compare(worker, report, now)
        if report.look != worker.measured_poll:
            worker.measured_poll = report.look
            worker.measured()
            self.interference.observe(worker)
        if report.identity.draining:
            for task in runs_that_outlast(worker, now):
                self._stop(task, now)

    def non_interfering_tasks(self, worker: WorkerView) -> list[str]:
        """Return the batch tasks on a worker that are known to disturb no service there."""
        if not worker.serving_images:
            return []
        return [
            task.key
            for task in worker.tasks.values()
            if task.step.uses_leftover and self.interference.is_non_interfering(task, worker)
        ]

    def acknowledge_stored_ends(self, worker: WorkerView) -> int:
        """Return the number up to which the worker's ends are stored."""
        worker.pending_ends.sort()
        while worker.pending_ends:
            number, job_id, version = worker.pending_ends[0]
            job = self.jobs.get(job_id)
            if job is not None and job.stored_version < version:
                break
            worker.pending_ends.pop(0)
            worker.acknowledged = number
        return worker.acknowledged

    def process_start_result(
        self, task: Task, run: int, outcome: StartOutcome, poll_number: int, now: float
    ) -> None:
        """Take in what became of an order to start."""
        if task.run != run or task.state not in (TaskState.STARTING, TaskState.STOPPING):
            return
        worker = self.workers[task.agent_id]
        if outcome == StartOutcome.UNKNOWN:
            self._record_decision("start unknown", task.key, run=run, agent=task.agent_id)
            self._stop(task, now)
        elif outcome == StartOutcome.STARTED:
            task.after_poll = poll_number
            if task.state == TaskState.STARTING:
                task.state = TaskState.RUNNING
                task.started = now
        else:
            self._record_decision(
                "start refused", task.key, run=run, agent=task.agent_id, why=outcome.value
            )
            if outcome == StartOutcome.NO_ROOM:
                worker.full_until = now + FULL_SECONDS
            elif outcome == StartOutcome.NO_TICKET:
                self.advice.refused(task, worker)
            self._release(task)
            task.not_before = now + RETRY_SECONDS
            self._make_waiting(task)

    def process_stop_result(self, task_key: str, run: int, poll_number: int, now: float) -> None:
        """Take note that a worker has taken an order to stop."""
        task = self._task(task_key)
        if task is None or task.run != run or task.state != TaskState.STOPPING:
            return
        if not task.stop_confirmed_at:  # a repeated order must not move the time and the look
            task.stop_confirmed_at = now
            task.after_poll = poll_number

    # Decisions

    def plan(self, now: float, now_unix: float) -> tuple[list[StartDecision], list[StopDecision]]:
        """Return the orders that are due."""
        self._check_uncertain(now)
        if now - self.checked_at >= CHECK_SECONDS:
            self.checked_at = now
            self._check_lost(now)
            self._check_due(now_unix)
            self._check_overdue(now)
            self._move_slowed(now, now_unix)
        self._repeat_stops(now)
        starts = self.starts.plan(
            self.waiting,
            self.workers.values(),
            self.catalog,
            partial(self._start, now),
            now,
            now_unix,
        )
        stops, self.stops = self.stops, []
        return starts, stops

    def next_advice_request(self, now: float, now_unix: float) -> AdviceRequest | None:
        """Return what to ask the placement service next, or None."""
        if not self.waiting or not advises(self.catalog):
            return None
        ranked = self.starts.ranked(self.waiting.values(), self.catalog, now, now_unix)
        able = [w for w in self.workers.values() if w.can_accept_work(now, FRESH_SECONDS)]
        return self.advice.next_request(ranked, able, now)

    def record_advice(self, request: AdviceRequest, advice: Advice, requested_at: float) -> None:
        """Take in an answer of the placement service that was asked at `requested_at`."""
        self.event_count += 1
        self.advice.record_response(request, advice, requested_at)
        requested, allowed = len(request.incarnations), len(advice.tickets)
        self._record_decision("step advised", request.step, workers=requested, allowed=allowed)

    def _start(self, now: float, task: Task, worker: WorkerView, run: int) -> StartDecision:
        del self.waiting[task.key]
        task.run = run
        task.state = TaskState.STARTING
        task.agent_id = worker.agent_id
        task.born_ms = worker.born_ms
        task.missed_polls = 0
        task.stop_confirmed_at = 0.0
        task.percent = 0.0 if task.step.continuous else 100.0
        worker.assign(task)
        if task.step.uses_leftover:
            worker.leftover_started_at = now
        task.job.has_started = True
        self._changed(task.job)
        step = task.step
        command = StartCommand(
            task.key,
            task.run,
            task.job.spec.payload,
            task.checkpoint,
            step.target_ms,
            step.uses_leftover,
            self.advice.ticket(task, worker, now),
        )
        self._record_decision(
            "start",
            task.key,
            run=task.run,
            agent=worker.agent_id,
            report_age_s=round(now - worker.last_report, 3),
            leftover_cores=round(worker.leftover_cores(), 2),
            serving_cores=round(worker.serving_cores, 2),
            image=step.image or None,
            config=self.catalog.version,
        )
        return StartDecision(worker.agent_id, task, command)

    # Ends of runs

    def _ended(self, worker: WorkerView, end: EndedRun, now: float, now_unix: float) -> None:
        task = self._task(end.task)
        known = task is not None and end.run in task.ended_runs and end.how != RunEnd.DONE
        if task is None or task.job.has_ended or known or task.state == TaskState.DONE:
            job_id = task.job.job_id if task else ""
            version = task.job.version if task else 0
            worker.pending_ends.append((end.number, job_id, version))
            if task is not None and task.run == end.run and task.state in ON_WORKER:
                self._release(task)
            return
        here = task.agent_id == worker.agent_id and task.run == end.run
        task.ended_runs.add(end.run)
        task.run = max(task.run, end.run)
        if end.checkpoint:
            self._save(task, end.checkpoint)
        self._record_decision(
            "run ended",
            task.key,
            run=end.run,
            agent=worker.agent_id,
            how=end.how,
            ran_s=round(now - task.started, 2) if here else None,
            estimate_s=task.step.estimate_seconds,
        )
        if here and task.state in ON_WORKER:
            task.ran_seconds = now - task.started
            self._release(task)
        if end.how == RunEnd.DONE and not task.step.continuous:
            self._done(worker, task, now, now_unix)
        else:
            self._not_done(worker, task, end, now, now_unix)
        self._changed(task.job)
        worker.pending_ends.append((end.number, task.job.job_id, task.job.version))

    def _done(self, worker: WorkerView, task: Task, now: float, now_unix: float) -> None:
        quarantine.record_success(worker)
        job = task.job
        # One end of a gang stands for all of its members.
        for member in job.siblings(task) if task.step.gang else [task]:
            self._mark_done(member)
        if job.complete:
            self._end_job(job, now, now_unix)
        elif not job.open_tasks[(task.name.occurrence, task.name.step)]:
            for other in job.tasks.values():
                if other.state == TaskState.WAITING:
                    self._make_waiting(other)

    def _mark_done(self, task: Task) -> None:
        if task.state == TaskState.DONE:
            return
        if task.state in ON_WORKER:
            if not task.step.gang:  # an earlier attempt was done after all
                self.stops.append(StopDecision(task.agent_id, task.key, task.run))
            self._release(task)
        self.waiting.pop(task.key, None)
        self.uncertain.pop(task.key, None)
        task.job.mark_done(task)

    def _not_done(
        self, worker: WorkerView, task: Task, end: EndedRun, now: float, now_unix: float
    ) -> None:
        if end.how == RunEnd.FAILED:
            task.failures += 1
            task.avoid = worker.agent_id
            pause = quarantine.record_failure(worker, task.job.job_id, self.workers.values(), now)
            if pause:
                jobs = worker.recent_failures[:]
                self._record_decision(
                    "worker set aside", worker.agent_id, failed_jobs=jobs, for_s=pause
                )
        queue = self.catalog.by_name(task.job.queue)
        limit = queue.max_attempts if queue else 1
        members = task.job.siblings(task) if task.step.gang else [task]
        failures = sum(member.failures for member in members)
        if end.how == RunEnd.FAILED and not task.step.continuous and failures >= limit:
            task.job.failed = True
            self._record_decision("job failed", task.job.job_id, task=task.key, failures=failures)
            self._end_job(task.job, now, now_unix)
        elif task.state not in ON_WORKER and task.state != TaskState.UNCERTAIN:
            self._make_waiting(task)

    def _end_job(self, job: Job, now: float, now_unix: float) -> None:
        job.ended_unix = now_unix
        self.advice.forget(job.job_id)
        for task in job.tasks.values():
            self.waiting.pop(task.key, None)
            self.timed.pop(task.key, None)
            self.uncertain.pop(task.key, None)
            if task.state in (TaskState.STARTING, TaskState.RUNNING):
                self._stop(task, now)
        self._changed(job)
        took_s = round(now_unix - job.accepted_unix, 2)
        self._record_decision("job over", job.job_id, state=job.state.value, took_s=took_s)

    # Comparison of what should run with what does

    def _compare(self, worker: WorkerView, report: AgentReport, now: float) -> None:
        listed = {running.task: running for running in report.running}
        for running in report.running:
            self._see(worker, running, now)
        ended = {(end.task, end.run) for end in report.ended}
        for task in list(worker.tasks.values()):
            found = listed.get(task.key)
            if found is not None and found.run == task.run:
                task.missed_polls = 0
            elif report.look > task.after_poll and (task.key, task.run) not in ended:
                self._handle_missed_poll(task, now)

    def _see(self, worker: WorkerView, running: ActiveRun, now: float) -> None:
        task = self._task(running.task)
        if task is None or task.job.has_ended:
            if task is None or task.key not in worker.tasks:
                self.stops.append(
                    StopDecision(worker.agent_id, running.task, running.run, is_tracked=False)
                )
            return
        if task.state == TaskState.UNCERTAIN and running.run not in task.ended_runs:
            self._adopt(worker, task, running, now)
        mine = task.agent_id == worker.agent_id and task.run == running.run
        if not mine:
            self.stops.append(
                StopDecision(worker.agent_id, running.task, running.run, is_tracked=False)
            )
            return
        if running.checkpoint:
            self._save(task, running.checkpoint)
        task.percent = running.percent
        task.measurement = running.measurement

    def _adopt(self, worker: WorkerView, task: Task, running: ActiveRun, now: float) -> None:
        self.uncertain.pop(task.key, None)
        task.run = running.run
        task.state = TaskState.RUNNING
        task.agent_id = worker.agent_id
        task.born_ms = worker.born_ms
        task.started = now
        task.missed_polls = 0
        task.job.has_started = True
        worker.assign(task)
        self._changed(task.job)
        self._record_decision("run adopted", task.key, run=task.run, agent=worker.agent_id)

    def _handle_missed_poll(self, task: Task, now: float) -> None:
        if task.state == TaskState.STOPPING and task.stop_confirmed_at:
            # While it is being stopped, a run is listed neither as running nor as ended.
            if now - task.stop_confirmed_at > self.stop_seconds + POLL_DELAY_SECONDS:
                self._lost(task, now, "stopped before it began")
        elif task.state == TaskState.RUNNING:
            task.missed_polls += 1
            if task.missed_polls >= MAX_MISSED_POLLS:
                self._record_decision("run missing", task.key, run=task.run, agent=task.agent_id)
                self._stop(task, now)

    def _begin_incarnation(self, worker: WorkerView, report: AgentReport, now: float) -> None:
        worker.pending_ends.clear()
        worker.acknowledged = 0
        worker.recent_failures.clear()
        worker.quarantined_until = 0.0
        assert report.identity is not None
        listed = {(running.task, running.run) for running in report.running}
        for task in list(worker.tasks.values()):
            # An order that was on its way may have reached the new life; its reply settles it.
            settled = task.state != TaskState.STARTING and report.look > task.after_poll
            if settled and (task.key, task.run) not in listed:
                self._lost(task, now, "worker restarted")
            else:
                task.born_ms = report.identity.born_ms

    def _check_lost(self, now: float) -> None:
        for worker in self.workers.values():
            if now > worker.granted_until and (worker.tasks or not worker.has_reported):
                self._all_lost(worker, now, "grant expired")
                worker.has_reported = True

    def _all_lost(self, worker: WorkerView, now: float, why: str) -> None:
        for task in list(worker.tasks.values()):
            self._lost(task, now, why)

    def _lost(self, task: Task, now: float, why: str) -> None:
        self._record_decision("run lost", task.key, run=task.run, agent=task.agent_id, why=why)
        self._release(task)
        self._make_waiting(task)

    def _check_uncertain(self, now: float) -> None:
        if not self.uncertain or not all(worker.has_reported for worker in self.workers.values()):
            return
        tasks, self.uncertain = self.uncertain, {}
        for task in tasks.values():
            self._make_waiting(task)

    def _check_due(self, now_unix: float) -> None:
        for task in list(self.timed.values()):
            if now_unix >= task.job.spec.due_unix(task.name.occurrence):
                del self.timed[task.key]
                self._make_waiting(task, due=True)

    def _check_overdue(self, now: float) -> None:
        for task, limit in overdue_runs(self.workers.values(), self.overdue, now):
            self._record_decision(
                "run overdue",
                task.key,
                run=task.run,
                agent=task.agent_id,
                limit_s=round(limit, 2),
            )
            task.avoid = task.agent_id
            task.restarts += 1
            self._stop(task, now)

    def _move_slowed(self, now: float, now_unix: float) -> None:
        workers = [w for w in self.workers.values() if w.can_accept_work(now, FRESH_SECONDS)]
        self.moving = [task for task in self.moving if task.state == TaskState.STOPPING]
        slowed = slowed_runs(workers, self.interference, now)
        if not slowed:
            return
        ranked = self.starts.with_ranks(slowed, self.catalog, now, now_unix)
        batch = [task for task in self.waiting.values() if task.step.uses_leftover]
        waiting = WaitingCores(
            (rank, task.step.size.cores)
            for rank, task, _ in self.starts.with_ranks(batch, self.catalog, now, now_unix)
        )
        by_rank = [(rank, task) for rank, task, _ in ranked]
        for task in runs_to_move(by_rank, workers, waiting, self.moving, self.interference):
            self.moving.append(task)
            task.avoid = task.agent_id
            pace = self.workers[task.agent_id].pace_percent
            self._record_decision(
                "run moved", task.key, run=task.run, agent=task.agent_id, pace=pace
            )
            self._stop(task, now)

    def _stop(self, task: Task, now: float) -> None:
        if task.state != TaskState.STOPPING:
            self.event_count += 1
            task.state = TaskState.STOPPING
            task.stop_sent = float("-inf")
            task.stop_confirmed_at = 0.0

    def _repeat_stops(self, now: float) -> None:
        for worker in self.workers.values():
            for task in worker.tasks.values():
                due = now - task.stop_sent >= STOP_RETRY_SECONDS
                if task.state == TaskState.STOPPING and due and worker.reachable:
                    task.stop_sent = now
                    self.stops.append(StopDecision(worker.agent_id, task.key, task.run))

    # Helpers

    def _save(self, task: Task, checkpoint: str) -> None:
        """Keep saved progress; all members of a gang resume from the same."""
        for member in task.job.siblings(task) if task.step.gang else [task]:
            member.checkpoint = checkpoint

    def _make_waiting(self, task: Task, due: bool = False) -> None:
        task.state = TaskState.WAITING
        self.event_count += 1
        job = task.job
        if job.has_ended or not job.step_eligible(task.name.occurrence, task.step):
            return
        if task.step.gang:
            for member in job.siblings(task):
                if member.state in (TaskState.STARTING, TaskState.RUNNING):
                    self._stop(member, self.checked_at)
        if job.spec.repeats and not due:
            self.timed[task.key] = task
        else:
            self.waiting[task.key] = task

    def _release(self, task: Task) -> None:
        worker = self.workers.get(task.agent_id)
        if worker is not None:
            worker.remove(task)
            self.event_count += 1
        task.state = TaskState.WAITING
        task.agent_id = ""

    def _changed(self, job: Job) -> None:
        job.version += 1
        self.event_count += 1
        self.dirty[job.job_id] = job

    def _task(self, key: str) -> Task | None:
        job = self.jobs.get(key.partition(".")[0])
        return job.tasks.get(key) if job else None

    def _record_decision(self, what: str, subject: str, **inputs: Any) -> None:
        self.decisions.append(DecisionRecord(what, subject, inputs))

"""Scheduler of the owner: its jobs and workers, and the decisions that follow from each event.

Nothing here waits or reads a clock. Times are seconds of a clock that also counts while a host is
suspended; times whose names end in `unix` are Unix times in seconds. Ends of runs take effect in
memory immediately, so that the next step starts without waiting for the store. Callers are shown
only what is stored, and only stored ends are acknowledged to workers.
"""

from __future__ import annotations

from functools import partial
from typing import Any

from acaciastand.workflow import crashes, quarantine
from acaciastand.workflow.advice import Advice, AdviceCache, AdviceRequest, has_advised_queue
from acaciastand.workflow.catalog import Catalog
from acaciastand.workflow.decisions import DecisionRecord, StartDecision, StopDecision
from acaciastand.workflow.interference import (
    Interference,
    LearnedInterference,
    reference_cores,
)
from acaciastand.workflow.isolation import is_quiet
from acaciastand.workflow.job import ON_WORKER, Job, Task, TaskState
from acaciastand.workflow.limits import MAX_REPORT_AGE_SECONDS
from acaciastand.workflow.moves import (
    WaitingCores,
    runs_outlasting_drain,
    runs_to_move,
    slowed_runs,
)
from acaciastand.workflow.overdue import LongestSibling, OverduePolicy, overdue_runs
from acaciastand.workflow.pacing import BatchCost
from acaciastand.workflow.placement import Placement, SeparatingPlacement
from acaciastand.workflow.ranking import LeastSlackFirst, RankingPolicy
from acaciastand.workflow.reports import (
    ActiveRun,
    AgentReport,
    CrashedRun,
    EndedRun,
    RunEnd,
    StartCommand,
    StartOutcome,
    WorkerCrash,
)
from acaciastand.workflow.starts import StartPlanner
from acaciastand.workflow.worker import LeavingRun, WorkerView, services_by_step

# Longest time that a worker takes to stop a run, unless the settings give another.
DEFAULT_STOP_SECONDS = 1.0
MAX_POLL_AGE_SECONDS = 0.6  # A poll that is reported now was made at most this long ago.
# Minimum time between two checks of the time limits of all runs and workers.
CHECK_INTERVAL_SECONDS = 0.09
STOP_REPEAT_SECONDS = 0.4  # Time between two commands to stop the same run.
MAX_MISSED_POLLS = 2  # A run that this many polls in a row do not list is stopped.
# A worker that rejected a start for lack of capacity gets no other start for this long.
NO_CAPACITY_PAUSE_SECONDS = 0.5
START_RETRY_SECONDS = 0.15  # Time from a refused start of a task to its next start.
START_SECONDS = 0.5  # Longest usual time from the decision to start a run to the worker's answer.


class Scheduler:
    """Jobs and workers of one deployment, and the decisions on them.

    Parameters
    ----------
    ranking, placement
        Policies on the order of waiting tasks and on their workers.
    stop_seconds
        Longest time that a worker takes to stop a run.
    interference
        Model of the interference between images that share a worker.

    Attributes
    ----------
    advice
        Advice of the placement service.
    start_planner
        Placement of waiting tasks on workers.
    overdue_policy
        Policy on how long a run may take.
    catalog
        Version of the operators' configuration that is in use.
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
    last_check_at
        When the time limits were last checked.
    moving
        Tasks whose runs are stopped in order to continue on another worker.
    event_count
        Number of changes so far that call for a new plan.
    """

    def __init__(
        self,
        ranking: RankingPolicy | None = None,
        placement: Placement | None = None,
        stop_seconds: float = DEFAULT_STOP_SECONDS,
        interference: Interference | None = None,
    ) -> None:
        self.interference = interference or LearnedInterference()
        self.advice = AdviceCache()
        self.start_planner = StartPlanner(
            ranking or LeastSlackFirst(),
            placement or SeparatingPlacement(self.interference),
            self.advice,
        )
        self.stop_seconds = stop_seconds
        self.overdue_policy: OverduePolicy = LongestSibling()
        self.catalog = Catalog()
        self.jobs: dict[str, Job] = {}
        self.workers: dict[str, WorkerView] = {}
        self.waiting: dict[str, Task] = {}
        self.not_yet_due: dict[str, Task] = {}
        self.uncertain: dict[str, Task] = {}
        self.dirty: dict[str, Job] = {}
        self.pending_stops: list[StopDecision] = []
        self.decisions: list[DecisionRecord] = []
        self.last_check_at = float("-inf")
        self.moving: list[Task] = []
        self.event_count = 0

    # Jobs

    def add_job(self, job: Job, certain: bool = True) -> None:
        """Add a stored job.

        Parameters
        ----------
        job
            Job to add; ignored if its id is known already.
        certain
            Whether no former owner can have started tasks of the job.
        """
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

    def cancel_job(self, job_id: str, now: float, now_unix: float) -> Job | None:
        """Cancel a job, stop its runs and return it; None if there is no job with this id."""
        job = self.jobs.get(job_id)
        if job is None or job.has_ended:
            return job
        job.cancelled = True
        self._end_job(job, now, now_unix)
        return job

    def remove_job(self, job_id: str) -> None:
        """Remove a job, which must have ended."""
        self.jobs.pop(job_id, None)
        self.dirty.pop(job_id, None)

    def mark_stored(self, job: Job, version: int) -> None:
        """Record that the changes of a job up to `version` are stored."""
        job.stored_version = max(job.stored_version, version)
        if job.stored_version == job.version:
            job.stored_state = job.state
            self.dirty.pop(job.job_id, None)

    def count_waiting(self) -> dict[str, int]:
        """Return the number of accepted jobs without a started task, by queue."""
        counts: dict[str, int] = {}
        for job in self.jobs.values():
            if not job.has_started and not job.has_ended:
                counts[job.queue] = counts.get(job.queue, 0) + 1
        return counts

    # Workers

    def add_worker(self, agent_id: str, has_reported: bool, granted_until: float) -> WorkerView:
        """Return the worker of an agent; it is added if it is new.

        Parameters
        ----------
        agent_id
            Id of the agent.
        has_reported
            Whether no former owner can have started runs on a new worker.
        granted_until
            Latest time until which the agent of a new worker may keep its runs alive.
        """
        worker = self.workers.get(agent_id)
        if worker is None:
            worker = self.workers[agent_id] = WorkerView(agent_id)
            worker.has_reported = has_reported
            worker.granted_until = granted_until
        return worker

    def process_report(
        self, agent_id: str, report: AgentReport, now: float, now_unix: float
    ) -> None:
        """Update the worker of an agent and its runs from a report."""
        worker = self.workers[agent_id]
        worker.last_report_at = now
        worker.worker_unresponsive = report.silent
        worker.pace_percent = report.pace_percent
        worker.tail_share = report.tail_share
        for crash in report.crashes:
            if crash.born_ms > worker.crash_ms:
                self._process_crash(worker, crash, now, now_unix)
        if report.lapsed:
            self._mark_all_lost(worker, now, "lease of the runs expired")
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
        pending = {number for number, _, _ in worker.pending_ends}
        for end in report.ended:
            if end.number > worker.acknowledged and end.number not in pending:
                self._process_end(worker, end, now, now_unix)
        self._compare_with_report(worker, report, now)
        if report.look != worker.measured_poll:
            worker.measured_poll = report.look
            worker.update_measurements(now)
            self.interference.observe(worker, now)
        if report.identity.draining:
            for task in runs_outlasting_drain(worker, now):
                self._request_stop(task, now)

    def batch_costs(self, worker: WorkerView) -> dict[str, BatchCost]:
        """Return what each batch task on a worker takes from the services there.

        Empty if no service is on the worker.
        """
        services = services_by_step(worker)
        if not services:
            return {}
        return {
            task.key: self._batch_cost(task, worker, services)
            for task in worker.tasks.values()
            if task.step.uses_leftover
        }

    def _batch_cost(self, task: Task, worker: WorkerView, services: dict[str, Task]) -> BatchCost:
        scale = reference_cores(task, worker) / (task.step.size.cores or 1.0)
        known = {}
        for key, service in services.items():
            per_core = self.interference.headroom_per_core(task.step.image, service.step.image)
            if per_core is not None:
                known[key] = per_core * scale
        return BatchCost(task.step.size.cores, known, len(known) == len(services))

    def acknowledge_stored_ends(self, worker: WorkerView) -> int:
        """Acknowledge the ends of runs on a worker that are stored, in the order of their numbers.

        Returns
        -------
        int
            Number of the last acknowledged end.
        """
        worker.pending_ends.sort()
        while worker.pending_ends:
            number, job_id, version = worker.pending_ends[0]
            job = self.jobs.get(job_id)
            if job is not None and job.stored_version < version:
                break
            worker.pending_ends.pop(0)
            worker.acknowledged = number
        return worker.acknowledged

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
            if (job := self.jobs.get(job_id)) and job.stored_version < version
        }
        return 0 if worker.crash_versions else worker.crash_ms

    def process_start_result(
        self, task: Task, run: int, outcome: StartOutcome, poll_number: int, now: float
    ) -> None:
        """Update a task from the outcome of a command to start a run.

        Parameters
        ----------
        task, run
            Task and number of the run.
        outcome
            Outcome of the command.
        poll_number
            Number of the last poll that had begun by the time of the outcome.
        now
            Seconds of the owner's clock.
        """
        if task.run != run or task.state not in (TaskState.STARTING, TaskState.STOPPING):
            return
        worker = self.workers[task.agent_id]
        if outcome == StartOutcome.UNKNOWN:
            self._record_decision("start unknown", task.key, run=run, agent=task.agent_id)
            self._request_stop(task, now)
        elif outcome == StartOutcome.STARTED:
            task.after_poll = poll_number
            if task.state == TaskState.STARTING:
                task.state = TaskState.RUNNING
                task.started_at = now
                if worker.observed_task == task.key:
                    worker.observe(task, now + crashes.observation_seconds(task.crashes))
        else:
            self._record_decision(
                "start refused", task.key, run=run, agent=task.agent_id, why=outcome.value
            )
            if outcome == StartOutcome.NO_CAPACITY:
                worker.full_until = now + NO_CAPACITY_PAUSE_SECONDS
            elif outcome == StartOutcome.NO_TICKET:
                self.advice.drop_ticket(task, worker)
            self._release(task)
            task.not_before = now + START_RETRY_SECONDS
            self._make_waiting(task)

    def process_stop_result(self, task_key: str, run: int, poll_number: int, now: float) -> None:
        """Record that a worker accepted a command to stop a run.

        `poll_number` is the number of the last poll that had begun by then.
        """
        task = self._find_task(task_key)
        if task is None or task.run != run or task.state != TaskState.STOPPING:
            return
        # A repeated command must not change the time and the poll number.
        if not task.stop_confirmed_at:
            task.stop_confirmed_at = now
            task.after_poll = poll_number

    # Decisions

    def plan(self, now: float, now_unix: float) -> tuple[list[StartDecision], list[StopDecision]]:
        """Check all time limits and return the decisions to start and to stop runs."""
        self._check_uncertain(now)
        if now - self.last_check_at >= CHECK_INTERVAL_SECONDS:
            self.last_check_at = now
            self._check_grants(now)
            self._check_due(now_unix)
            self._check_overdue(now)
            self._move_slowed(now, now_unix)
        self._repeat_stops(now)
        starts = self.start_planner.plan_starts(
            self.waiting,
            self.workers.values(),
            self.catalog,
            partial(self._start, now),
            now,
            now_unix,
        )
        stops, self.pending_stops = self.pending_stops, []
        return starts, stops

    def next_advice_request(self, now: float, now_unix: float) -> AdviceRequest | None:
        """Return the next request to the placement service; None if no advice is needed."""
        if not self.waiting or not has_advised_queue(self.catalog):
            return None
        ranked = self.start_planner.tasks_by_rank(
            self.waiting.values(), self.catalog, now, now_unix
        )
        workers = [
            w for w in self.workers.values() if w.is_schedulable(now, MAX_REPORT_AGE_SECONDS)
        ]
        return self.advice.next_request(ranked, workers, now)

    def record_advice(self, request: AdviceRequest, advice: Advice, requested_at: float) -> None:
        """Record the advice on a request that was sent at `requested_at`."""
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
        is_isolated = is_quiet(worker, now)
        worker.last_start_at = now
        worker.assign(task)
        if is_isolated and crashes.is_suspect(task.crashes):
            seconds = START_SECONDS + crashes.observation_seconds(task.crashes)
            worker.observe(task, now + seconds)
        if task.step.uses_leftover:
            worker.leftover_started_at = now
        task.job.has_started = True
        self._mark_changed(task.job)
        step = task.step
        command = StartCommand(
            task.key,
            task.run,
            task.job.spec.payload,
            task.checkpoint,
            step.target_ms,
            step.uses_leftover,
            self.advice.find_ticket(task, worker, now),
        )
        self._record_decision(
            "start",
            task.key,
            run=task.run,
            agent=worker.agent_id,
            report_age_s=round(now - worker.last_report_at, 3),
            leftover_cores=round(worker.leftover_cores(), 2),
            serving_cores=round(worker.serving_cores, 2),
            image=step.image or None,
            config=self.catalog.version,
        )
        return StartDecision(worker.agent_id, task, command)

    # Ends of runs

    def _process_end(self, worker: WorkerView, end: EndedRun, now: float, now_unix: float) -> None:
        """Process the end of a run and keep it until it may be acknowledged.

        An end that was processed before or that no longer matters is only acknowledged.
        """
        task = self._find_task(end.task)
        is_processed = task is not None and end.run in task.ended_runs and end.how != RunEnd.DONE
        if task is None or task.job.has_ended or is_processed or task.state == TaskState.DONE:
            job_id = task.job.job_id if task else ""
            version = task.job.version if task else 0
            worker.pending_ends.append((end.number, job_id, version))
            if task is not None and task.run == end.run and task.state in ON_WORKER:
                self._release(task)
            return
        is_current = task.agent_id == worker.agent_id and task.run == end.run
        task.withdraw_crash(end.run)
        if end.how in (RunEnd.DONE, RunEnd.FAILED):
            task.crashes.clear()
        task.ended_runs.add(end.run)
        task.run = max(task.run, end.run)
        if end.checkpoint:
            self._set_checkpoint(task, end.checkpoint)
        self._record_decision(
            "run ended",
            task.key,
            run=end.run,
            agent=worker.agent_id,
            how=end.how,
            ran_s=round(now - task.started_at, 2) if is_current else None,
            estimate_s=task.step.estimate_seconds,
        )
        if is_current and task.state in ON_WORKER:
            task.last_run_seconds = now - task.started_at
            self._release(task)
        if end.how == RunEnd.DONE and not task.step.continuous:
            self._handle_done(worker, task, now, now_unix)
        else:
            self._handle_not_done(worker, task, end, now, now_unix)
        self._mark_changed(task.job)
        worker.pending_ends.append((end.number, task.job.job_id, task.job.version))

    def _handle_done(self, worker: WorkerView, task: Task, now: float, now_unix: float) -> None:
        quarantine.record_success(worker)
        job = task.job
        # The end of one member of a gang stands for all members.
        for member in job.siblings(task) if task.step.gang else [task]:
            self._mark_done(member)
        if job.is_complete:
            self._end_job(job, now, now_unix)
        elif not job.open_task_counts[(task.name.occurrence, task.name.step)]:
            for other in job.tasks.values():
                if other.state == TaskState.WAITING:
                    self._make_waiting(other)

    def _mark_done(self, task: Task) -> None:
        if task.state == TaskState.DONE:
            return
        if task.state in ON_WORKER:
            if not task.step.gang:  # An earlier run was done after all.
                self.pending_stops.append(StopDecision(task.agent_id, task.key, task.run))
            self._release(task)
        self.waiting.pop(task.key, None)
        self.uncertain.pop(task.key, None)
        task.job.mark_done(task)

    def _handle_not_done(
        self, worker: WorkerView, task: Task, end: EndedRun, now: float, now_unix: float
    ) -> None:
        if end.how == RunEnd.FAILED:
            task.failures += 1
            task.avoided_agent_id = worker.agent_id
            quarantine_seconds = quarantine.record_failure(
                worker, task.job.job_id, self.workers.values(), now
            )
            if quarantine_seconds:
                jobs = worker.recently_failed_jobs[:]
                self._record_decision(
                    "worker set aside", worker.agent_id, failed_jobs=jobs, for_s=quarantine_seconds
                )
        queue = self.catalog.by_name(task.job.queue)
        max_failures = queue.max_attempts if queue else 1
        members = task.job.siblings(task) if task.step.gang else [task]
        failures = sum(member.failures for member in members)
        if end.how == RunEnd.FAILED and not task.step.continuous and failures >= max_failures:
            self._fail_job(task, now, now_unix, failures=failures)
        elif task.state not in ON_WORKER and task.state != TaskState.UNCERTAIN:
            self._make_waiting(task)

    def _fail_job(self, task: Task, now: float, now_unix: float, **reason: Any) -> None:
        """End the job of a task that is given up; `reason` goes into the log."""
        task.job.failed = True
        self._record_decision("job failed", task.job.job_id, task=task.key, **reason)
        self._end_job(task.job, now, now_unix)

    def _end_job(self, job: Job, now: float, now_unix: float) -> None:
        job.ended_unix = now_unix
        self.advice.remove_job(job.job_id)
        for task in job.tasks.values():
            self.waiting.pop(task.key, None)
            self.not_yet_due.pop(task.key, None)
            self.uncertain.pop(task.key, None)
            if task.state in (TaskState.STARTING, TaskState.RUNNING):
                self._request_stop(task, now)
        self._mark_changed(job)
        took_s = round(now_unix - job.accepted_unix, 2)
        self._record_decision("job over", job.job_id, state=job.state.value, took_s=took_s)

    # Crashes of workers

    def _process_crash(
        self, worker: WorkerView, crash: WorkerCrash, now: float, now_unix: float
    ) -> None:
        """Attribute a crash that was not reported before, and give up tasks that crash workers."""
        worker.crash_ms = crash.born_ms
        worker.crashed_at = now
        affected = [(run, task) for run in crash.runs if (task := self._lost_in_crash(run))]
        former = {
            task.key: [known for known in task.crashes if known.run != run.run]
            for run, task in affected
        }
        suspects = crashes.find_suspects(crash, former)
        self._record_decision(
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
                self._fail_job(task, now, now_unix, crashes=len(task.crashes))
            worker.crash_versions[task.job.job_id] = task.job.version

    def _lost_in_crash(self, run: CrashedRun) -> Task | None:
        """Return the task of a run that a crash has ended, or None if it does not matter."""
        task = self._find_task(run.task)
        is_over = task is None or task.job.has_ended or run.run in task.ended_runs
        return None if is_over else task

    def _record_task_crash(
        self, task: Task, run: CrashedRun, suspects: crashes.Suspects, agent_id: str
    ) -> None:
        is_suspected = task.key in suspects.tasks
        task.run = max(task.run, run.run)
        task.record_crash(
            crashes.TaskCrash(
                run.run, run.ran_seconds, is_suspected, is_suspected and suspects.isolated
            )
        )
        self._mark_changed(task.job)
        if is_suspected:
            self._record_decision(
                "crash suspected",
                task.key,
                run=run.run,
                agent=agent_id,
                ran_s=round(run.ran_seconds, 3),
                crashes=len(task.crashes),
            )

    # Comparison of the assigned runs with the runs that workers list

    def _compare_with_report(self, worker: WorkerView, report: AgentReport, now: float) -> None:
        listed = {active_run.task: active_run for active_run in report.running}
        for active_run in report.running:
            self._process_active_run(worker, active_run, now)
        ended = {(end.task, end.run) for end in report.ended}
        worker.forget_ended(ended, now)
        for task in list(worker.tasks.values()):
            listed_run = listed.get(task.key)
            if listed_run is not None and listed_run.run == task.run:
                task.missed_polls = 0
                task.born_ms = worker.born_ms
            elif report.look > task.after_poll and (task.key, task.run) not in ended:
                self._handle_missed_poll(task, now)

    def _process_active_run(self, worker: WorkerView, active_run: ActiveRun, now: float) -> None:
        """Update the task of a run that a worker lists, or stop the run if it must not go on."""
        task = self._find_task(active_run.task)
        if task is None or task.job.has_ended:
            if task is None or task.key not in worker.tasks:
                self._stop_untracked(worker, task, active_run, now)
            return
        if not worker.worker_unresponsive:
            task.withdraw_crash(active_run.run)
        if task.state == TaskState.UNCERTAIN and active_run.run not in task.ended_runs:
            self._adopt_run(worker, task, active_run, now)
        is_current = task.agent_id == worker.agent_id and task.run == active_run.run
        if not is_current:
            self._stop_untracked(worker, task, active_run, now)
            return
        if active_run.checkpoint:
            self._set_checkpoint(task, active_run.checkpoint)
        task.percent = active_run.percent
        task.measurement = active_run.measurement
        # An agent repeats its last poll while the worker does not answer.
        if task.crashes and not worker.worker_unresponsive:
            self._check_cleared(task, now)

    def _stop_untracked(
        self, worker: WorkerView, task: Task | None, active_run: ActiveRun, now: float
    ) -> None:
        """Stop a run that is not the current run of its task; its resources stay reserved."""
        self.pending_stops.append(
            StopDecision(worker.agent_id, active_run.task, active_run.run, is_tracked=False)
        )
        if task is not None:
            until = now + self.stop_seconds + MAX_POLL_AGE_SECONDS
            key = (active_run.task, active_run.run)
            worker.leaving_runs[key] = LeavingRun(task.step.reserved, until)

    def _check_cleared(self, task: Task, now: float) -> None:
        """Clear a task of crashes once it has run beyond the point of the former ones."""
        if crashes.is_cleared(task.crashes, now - task.started_at - MAX_POLL_AGE_SECONDS):
            self._record_decision("suspicion cleared", task.key, run=task.run, agent=task.agent_id)
            task.crashes.clear()
            self._mark_changed(task.job)

    def _adopt_run(self, worker: WorkerView, task: Task, active_run: ActiveRun, now: float) -> None:
        """Make a run that a former owner started the current run of its task."""
        self.uncertain.pop(task.key, None)
        task.run = active_run.run
        task.state = TaskState.RUNNING
        task.agent_id = worker.agent_id
        task.born_ms = worker.born_ms
        task.started_at = now
        task.missed_polls = 0
        task.job.has_started = True
        worker.assign(task)
        self._mark_changed(task.job)
        self._record_decision("run adopted", task.key, run=task.run, agent=worker.agent_id)

    def _handle_missed_poll(self, task: Task, now: float) -> None:
        former_incarnation = task.born_ms != self.workers[task.agent_id].born_ms
        if task.state == TaskState.RUNNING and former_incarnation:
            self._mark_lost(task, now, "worker restarted")
        elif task.state == TaskState.STOPPING and task.stop_confirmed_at:
            # A run that is being stopped is listed neither as running nor as ended.
            if now - task.stop_confirmed_at > self.stop_seconds + MAX_POLL_AGE_SECONDS:
                self._mark_lost(task, now, "stopped before it began")
        elif task.state == TaskState.RUNNING:
            task.missed_polls += 1
            if task.missed_polls >= MAX_MISSED_POLLS:
                self._record_decision("run missing", task.key, run=task.run, agent=task.agent_id)
                self._request_stop(task, now)

    def _begin_incarnation(self, worker: WorkerView, report: AgentReport, now: float) -> None:
        """Reset a worker that has restarted; runs that it no longer lists are lost."""
        worker.pending_ends.clear()
        worker.acknowledged = 0
        worker.recently_failed_jobs.clear()
        worker.quarantined_until = 0.0
        worker.leaving_runs.clear()
        assert report.identity is not None
        listed = {(active_run.task, active_run.run) for active_run in report.running}
        for task in list(worker.tasks.values()):
            # A start command that was on its way may have reached the new incarnation. Its reply
            # or the next poll shows whether the run started.
            is_settled = task.state != TaskState.STARTING and report.look > task.after_poll
            if is_settled and (task.key, task.run) not in listed:
                self._mark_lost(task, now, "worker restarted")

    def _check_grants(self, now: float) -> None:
        for worker in self.workers.values():
            if now > worker.granted_until and (worker.tasks or not worker.has_reported):
                self._mark_all_lost(worker, now, "grant expired")
                worker.has_reported = True

    def _mark_all_lost(self, worker: WorkerView, now: float, why: str) -> None:
        for task in list(worker.tasks.values()):
            self._mark_lost(task, now, why)

    def _mark_lost(self, task: Task, now: float, why: str) -> None:
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
        for task in list(self.not_yet_due.values()):
            if now_unix >= task.job.spec.due_unix(task.name.occurrence):
                del self.not_yet_due[task.key]
                self._make_waiting(task, is_due=True)

    def _check_overdue(self, now: float) -> None:
        for task, limit in overdue_runs(self.workers.values(), self.overdue_policy, now):
            self._record_decision(
                "run overdue",
                task.key,
                run=task.run,
                agent=task.agent_id,
                limit_s=round(limit, 2),
            )
            task.avoided_agent_id = task.agent_id
            task.overdue_restarts += 1
            self._request_stop(task, now)

    def _move_slowed(self, now: float, now_unix: float) -> None:
        workers = [
            w for w in self.workers.values() if w.is_schedulable(now, MAX_REPORT_AGE_SECONDS)
        ]
        self.moving = [task for task in self.moving if task.state == TaskState.STOPPING]
        slowed = slowed_runs(workers, self.interference, now)
        if not slowed:
            return
        ranked = self.start_planner.rank_tasks(slowed, self.catalog, now, now_unix)
        batch = [task for task in self.waiting.values() if task.step.uses_leftover]
        waiting = WaitingCores(
            (rank, task.step.size.cores)
            for rank, task, _ in self.start_planner.rank_tasks(batch, self.catalog, now, now_unix)
        )
        by_rank = [(rank, task) for rank, task, _ in ranked]
        for task in runs_to_move(by_rank, workers, waiting, self.moving, self.interference):
            self.moving.append(task)
            task.avoided_agent_id = task.agent_id
            pace = self.workers[task.agent_id].pace_percent
            self._record_decision(
                "run moved", task.key, run=task.run, agent=task.agent_id, pace=pace
            )
            self._request_stop(task, now)

    def _request_stop(self, task: Task, now: float) -> None:
        """Have the current run of a task stopped; `_repeat_stops` issues the commands."""
        if task.state != TaskState.STOPPING:
            self.event_count += 1
            task.state = TaskState.STOPPING
            task.stop_sent_at = float("-inf")
            task.stop_confirmed_at = 0.0

    def _repeat_stops(self, now: float) -> None:
        for worker in self.workers.values():
            for task in worker.tasks.values():
                is_due = now - task.stop_sent_at >= STOP_REPEAT_SECONDS
                if task.state == TaskState.STOPPING and is_due and worker.reachable:
                    task.stop_sent_at = now
                    self.pending_stops.append(StopDecision(worker.agent_id, task.key, task.run))

    # Helpers

    def _set_checkpoint(self, task: Task, checkpoint: str) -> None:
        """Set the checkpoint of a task. All members of a gang resume from the same checkpoint."""
        for member in task.job.siblings(task) if task.step.gang else [task]:
            member.checkpoint = checkpoint

    def _make_waiting(self, task: Task, is_due: bool = False) -> None:
        """Let a task wait for its next start, unless its job has ended or its step is not eligible.

        If it belongs to a gang, the runs of the other members are stopped. `is_due` tells that the
        occurrence of a repeated job is due.
        """
        task.state = TaskState.WAITING
        self.event_count += 1
        job = task.job
        if job.has_ended or not job.is_step_eligible(task.name.occurrence, task.step):
            return
        if task.step.gang:
            for member in job.siblings(task):
                if member.state in (TaskState.STARTING, TaskState.RUNNING):
                    self._request_stop(member, self.last_check_at)
        if job.spec.repeats and not is_due:
            self.not_yet_due[task.key] = task
        else:
            self.waiting[task.key] = task

    def _release(self, task: Task) -> None:
        """Take a task off its worker."""
        worker = self.workers.get(task.agent_id)
        if worker is not None:
            worker.remove(task)
            self.event_count += 1
        task.state = TaskState.WAITING
        task.agent_id = ""

    def _mark_changed(self, job: Job) -> None:
        job.version += 1
        self.event_count += 1
        self.dirty[job.job_id] = job

    def _find_task(self, key: str) -> Task | None:
        job = self.jobs.get(key.partition(".")[0])
        return job.tasks.get(key) if job else None

    def _record_decision(self, what: str, subject: str, **inputs: Any) -> None:
        self.decisions.append(DecisionRecord(what, subject, inputs))

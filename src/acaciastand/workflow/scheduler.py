"""Scheduler of the owner: its jobs and workers, and the decisions that follow from each event.

Nothing here waits or reads a clock. Times are seconds of a clock that also counts while a host is
suspended; times whose names end in `unix` are Unix times in seconds. Ends of runs take effect in
memory immediately, so that the next step starts without waiting for the store. Callers are shown
only what is stored, and only stored ends are acknowledged to workers.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import partial

from acaciastand.workflow import crashes
from acaciastand.workflow.advice import Advice, AdviceRequest, has_advised_queue
from acaciastand.workflow.backlog import BacklogTracker
from acaciastand.workflow.catalog import Catalog
from acaciastand.workflow.command_processing import CommandProcessor
from acaciastand.workflow.copies import CopyPlanner
from acaciastand.workflow.decisions import StartDecision, StopDecision
from acaciastand.workflow.exclusions import is_schedulable, is_usable
from acaciastand.workflow.interference import (
    Interference,
    LearnedInterference,
    reference_cores,
)
from acaciastand.workflow.isolation import is_quiet
from acaciastand.workflow.job import Job, StartState, Task, TaskState
from acaciastand.workflow.moves import WaitingCores, runs_to_move, slowed_runs
from acaciastand.workflow.overdue import LongestSibling, OverduePolicy, overdue_runs
from acaciastand.workflow.pacing import BatchCost, RunLimits
from acaciastand.workflow.placement import Placement, SeparatingPlacement
from acaciastand.workflow.ranking import LeastCostFirst, RankingPolicy
from acaciastand.workflow.report_processing import ReportProcessor
from acaciastand.workflow.reports import (
    AgentReport,
    PollPosition,
    StartCommand,
    StartOutcome,
)
from acaciastand.workflow.run_numbers import RunNumbers
from acaciastand.workflow.scheduler_state import SchedulerState
from acaciastand.workflow.starts import StartPlanner
from acaciastand.workflow.wait_monitor import WaitMonitor
from acaciastand.workflow.worker import WorkerView, services_by_step

# Longest time that a worker takes to stop a run, unless the settings give another.
DEFAULT_STOP_SECONDS = 1.0
# Minimum time between two checks of the time limits of all runs and workers.
CHECK_INTERVAL_SECONDS = 0.09
STOP_REPEAT_SECONDS = 0.4  # Time between two commands to stop the same run.
START_SECONDS = 0.5  # Longest usual time from the decision to start a run to the worker's answer.


class Scheduler(SchedulerState):
    """Jobs and workers of one deployment, and the decisions on them.

    Parameters
    ----------
    ranking, placement
        Policies on the order of waiting tasks and on their workers.
    stop_seconds
        Longest time that a worker takes to stop a run.
    interference
        Model of the interference between images that share a worker.
    run_numbers
        Numbers that this owner may give to runs.

    Attributes
    ----------
    backlog
        Estimate of the work that waits.
    start_planner
        Placement of waiting tasks on workers.
    copy_planner
        Copies of tasks whose steps allow them.
    wait_monitor
        Records why tasks wait.
    report_processor, command_processor
        Effects of the agents' reports and of their replies to commands.
    overdue_policy
        Policy on how long a run may take.
    moving
        Tasks whose runs are stopped in order to continue on another worker.
    unconfirmed_grant_end
        Latest end of an expired grant that another owner may have extended, by the last check;
        minus infinity for none.
    """

    def __init__(
        self,
        ranking: RankingPolicy | None = None,
        placement: Placement | None = None,
        stop_seconds: float = DEFAULT_STOP_SECONDS,
        interference: Interference | None = None,
        run_numbers: RunNumbers | None = None,
    ) -> None:
        super().__init__(
            stop_seconds, interference or LearnedInterference(), run_numbers or RunNumbers()
        )
        self.backlog = BacklogTracker(self)
        self.start_planner = StartPlanner(
            ranking or LeastCostFirst(self.backlog.shortage),
            placement or SeparatingPlacement(self.interference),
            self.advice,
            self.run_numbers,
            self.quarantine,
        )
        self.copy_planner = CopyPlanner(self, self.start_planner)
        self.wait_monitor = WaitMonitor(self)
        self.report_processor = ReportProcessor(self)
        self.command_processor = CommandProcessor(self)
        self.overdue_policy: OverduePolicy = LongestSibling()
        self.moving: list[Task] = []
        self.unconfirmed_grant_end = float("-inf")

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
        if not certain:
            job.highest_former_run = self.run_numbers.highest_former
        for task in job.tasks.values():
            if task.state == TaskState.DONE:
                continue
            if certain:
                self.make_waiting(task)
            else:
                task.state = TaskState.UNCERTAIN
                self.uncertain[task.key] = task

    def cancel_job(self, job_id: str, now: float, now_unix: float) -> Job | None:
        """Cancel a job, stop its runs and return it; None if there is no job with this id."""
        job = self.jobs.get(job_id)
        if job is None or job.has_ended:
            return job
        job.cancelled = True
        self.end_job(job, now, now_unix)
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

    def apply_catalog(self, catalog: Catalog, now: float, now_unix: float) -> None:
        """Use a version of the configuration."""
        self.catalog = catalog
        self.event_count += 1
        self.check_attempts(now, now_unix)

    def check_attempts(self, now: float, now_unix: float) -> None:
        """Fail the jobs with a task that has used its attempts by the configuration in use.

        Runs may have failed while the configuration did not have the queue of the job.
        """
        for job in self.jobs.values():
            task = None if job.has_ended else self._task_without_attempts(job)
            if task is not None:
                self.fail_job(task, now, now_unix, failures=job.count_failures(task))

    def _task_without_attempts(self, job: Job) -> Task | None:
        failed = (t for t in job.tasks.values() if t.failures and t.state != TaskState.DONE)
        return next((task for task in failed if self.has_used_attempts(task)), None)

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

    def remove_worker(self, agent_id: str) -> None:
        """Remove a worker on which no run can be."""
        assert not self.workers[agent_id].depends_on_grant, agent_id
        del self.workers[agent_id]
        self.quarantine.forget_worker(agent_id)
        self.event_count += 1

    def process_report(
        self, agent_id: str, report: AgentReport, now: float, now_unix: float
    ) -> None:
        """Update the worker of an agent and its runs from a report."""
        self.report_processor.process(agent_id, report, now, now_unix)

    def limits_of(self, keys: Iterable[str]) -> dict[str, RunLimits]:
        """Return the limits of the tasks with these keys, as far as they are known."""
        tasks = [task for key in keys if (task := self.find_task(key))]
        return {task.key: RunLimits(task.step.target_ms, task.step.uses_leftover) for task in tasks}

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
        """Return the incarnation up to which the consequences of crashes are stored."""
        return self.report_processor.crash_processor.stored_crash_ms(worker)

    def process_start_result(
        self, task: Task, run: int, outcome: StartOutcome, position: PollPosition, now: float
    ) -> None:
        """Update a task from the outcome of a command to start a run; see `CommandProcessor`."""
        self.command_processor.process_start_result(task, run, outcome, position, now)

    def process_stop_result(
        self, task_key: str, run: int, position: PollPosition, sent_at: float, now: float
    ) -> None:
        """Record that a worker accepted a command to stop a run; see `CommandProcessor`."""
        self.command_processor.process_stop_result(task_key, run, position, sent_at, now)

    # Decisions

    def plan(
        self, now: float, now_unix: float, confirmed_at: float
    ) -> tuple[list[StartDecision], list[StopDecision]]:
        """Check all time limits and return the decisions to start and to stop runs.

        Parameters
        ----------
        confirmed_at
            Latest time at which it is certain that no other owner had been elected.
        """
        self.zone_drains.mark_workers(self.workers.values(), now)
        self.quarantine.update(self.workers, now)
        self._check_uncertain(now)
        if now - self.last_check_at >= CHECK_INTERVAL_SECONDS:
            self.last_check_at = now
            self._check_grants(now, confirmed_at)
            self._check_due(now_unix)
            self._check_overdue(now)
            self._move_slowed(now, now_unix)
            self.zone_moves.request_moves(now)
        self._repeat_stops(now)
        start = partial(self._start, now)
        starts = self.start_planner.plan_starts(
            self.waiting, self.workers.values(), self.catalog, start, now, now_unix
        )
        starts += self.copy_planner.plan_copies(start, now, now_unix)
        self.backlog.update(now, now_unix)
        self.wait_monitor.update(now)
        stops, self.pending_stops = self.pending_stops, []
        return starts, stops

    def next_advice_request(self, now: float, now_unix: float) -> AdviceRequest | None:
        """Return the next request to the placement service; None if no advice is needed."""
        if not self.waiting or not has_advised_queue(self.catalog):
            return None
        ranked = self.start_planner.tasks_by_rank(
            self.waiting.values(), self.catalog, now, now_unix
        )
        workers = [w for w in self.workers.values() if is_usable(w, now)]
        trusted = [w for w in workers if is_schedulable(w, now)]
        request = self.advice.next_request(ranked, trusted, now)
        if request is None and len(trusted) < len(workers):
            # Perhaps only workers in quarantine may run a step.
            request = self.advice.next_request(ranked, workers, now)
        return request

    def record_advice(self, request: AdviceRequest, advice: Advice, requested_at: float) -> None:
        """Record the advice on a request that was sent at `requested_at`."""
        self.event_count += 1
        self.advice.record_response(request, advice, requested_at)
        requested, allowed = len(request.incarnations), len(advice.tickets)
        self.record_decision("step advised", request.step, workers=requested, allowed=allowed)

    def _start(self, now: float, task: Task, worker: WorkerView, run: int) -> StartDecision:
        self.waiting.pop(task.key, None)  # A copy does not wait.
        task.run = run
        task.state = TaskState.STARTING
        task.agent_id = worker.agent_id
        task.born_ms = worker.born_ms
        task.start_state = StartState.PENDING
        task.started_at = now
        task.is_run_timed = False
        task.is_run_resumed = bool(task.checkpoint)
        task.missed_polls = 0
        task.forget_stop()
        # A copy resumes from the run that got further, so no progress may be assumed.
        task.percent = 0.0 if task.step.continuous or task.step.allows_copies else 100.0
        is_isolated = is_quiet(worker, now)
        worker.last_start_at = now
        worker.assign(task)
        self.quarantine.record_start(task, worker, now)
        if is_isolated and crashes.is_suspect(task.crashes):
            seconds = START_SECONDS + crashes.observation_seconds(task.crashes)
            worker.observe(task, now + seconds)
        if task.step.uses_leftover:
            worker.leftover_started_at = now
        self.mark_changed(task.job)
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
        self.record_decision(
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

    # Time limits

    def _check_grants(self, now: float, confirmed_at: float) -> None:
        """Count the runs of workers whose grants have expired as lost.

        Another owner could have extended a grant, so it must have expired before `confirmed_at`.
        """
        self.unconfirmed_grant_end = float("-inf")
        for worker in self.workers.values():
            if now <= worker.granted_until or not worker.depends_on_grant:
                continue
            if confirmed_at <= worker.granted_until:
                self.unconfirmed_grant_end = max(self.unconfirmed_grant_end, worker.granted_until)
                continue
            worker.settle_former_starts()
            worker.leaving_runs.clear()
            report_age = round(now - worker.last_report_at, 2)
            for task in list(worker.tasks.values()):
                self.mark_lost(task, "grant expired", report_age_s=report_age)

    def _check_uncertain(self, now: float) -> None:
        if not self.uncertain or not self.all_have_reported:
            return
        unsettled = self.unsettled_tasks()
        for task in list(self.uncertain.values()):
            # The members of a gang start together, so one of them keeps the others waiting.
            members = task.job.siblings(task) if task.step.gang else [task]
            if not any(m.key in unsettled and m.key in self.uncertain for m in members):
                self.make_waiting(task)

    def _check_due(self, now_unix: float) -> None:
        for task in list(self.not_yet_due.values()):
            if now_unix >= task.job.spec.due_unix(task.name.occurrence):
                del self.not_yet_due[task.key]
                self.make_waiting(task, is_due=True)

    def _check_overdue(self, now: float) -> None:
        for task, limit in overdue_runs(self.workers, self.overdue_policy, now):
            self.record_decision(
                "run overdue",
                task.key,
                run=task.run,
                agent=task.agent_id,
                limit_s=round(limit, 2),
            )
            task.avoided_agent_id = task.agent_id
            task.overdue_restarts += 1
            self.request_stop(task, now)

    def _move_slowed(self, now: float, now_unix: float) -> None:
        workers = [w for w in self.workers.values() if is_schedulable(w, now)]
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
            self.record_decision(
                "run moved", task.key, run=task.run, agent=task.agent_id, pace=pace
            )
            self.request_stop(task, now)

    def _repeat_stops(self, now: float) -> None:
        for worker in self.workers.values():
            for task in worker.tasks.values():
                is_due = now - task.stop_sent_at >= STOP_REPEAT_SECONDS
                if task.state == TaskState.STOPPING and is_due and worker.reachable:
                    task.stop_sent_at = now
                    self.pending_stops.append(StopDecision(worker.agent_id, task.key, task.run))

"""Effects of the agents' reports: ends, progress and losses of runs, and restarts of workers."""

from __future__ import annotations

from acaciastand.workflow import crashes
from acaciastand.workflow.crash_processing import CrashProcessor
from acaciastand.workflow.decisions import StopDecision
from acaciastand.workflow.job import ON_WORKER, StartState, Task, TaskState
from acaciastand.workflow.moves import runs_outlasting_drain
from acaciastand.workflow.reports import ActiveRun, AgentReport, EndedRun, RunEnd
from acaciastand.workflow.scheduler_state import SchedulerState
from acaciastand.workflow.task_copy import TaskCopy, detach_run
from acaciastand.workflow.worker import LeavingRun, WorkerView

MAX_POLL_AGE_SECONDS = 0.6  # A poll that is reported now was made at most this long ago.
MAX_MISSED_POLLS = 2  # A run that this many polls in a row do not list is stopped.


class ReportProcessor:
    """Brings the state of the scheduler up to date with what agents report.

    Parameters
    ----------
    state
        State of the scheduler.

    Attributes
    ----------
    crash_processor
        Effects of crashes of workers.
    """

    def __init__(self, state: SchedulerState) -> None:
        self.state = state
        self.crash_processor = CrashProcessor(state)

    def process(self, agent_id: str, report: AgentReport, now: float, now_unix: float) -> None:
        """Update the worker of an agent and its runs from a report."""
        worker = self.state.workers[agent_id]
        worker.last_report_at = now
        worker.worker_unresponsive = report.silent
        worker.pace_percent = report.pace_percent
        worker.tail_share = report.tail_share
        for crash in report.crashes:
            if crash.born_ms > worker.crash_ms:
                self.crash_processor.process(worker, crash, now, now_unix)
        if report.lapsed:
            self._handle_expired_lease(worker)
        if report.identity is None:
            return
        if worker.born_ms and worker.born_ms != report.identity.born_ms:
            self._begin_incarnation(worker, report)
        began_draining = report.identity.draining and not (
            worker.identity and worker.identity.draining
        )
        worker.identity = report.identity
        if began_draining:
            self.state.record_decision(
                "worker draining", agent_id, remaining_s=report.identity.remaining_seconds
            )
        if not report.position.number:
            return
        former_agent = worker.measured_poll.agent_incarnation
        if former_agent and former_agent != report.position.agent_incarnation:
            self.state.record_decision("agent restarted", agent_id, runs=len(worker.tasks))
        if not report.has_more_ends and (report.settled or report.unsettled_starts):
            worker.has_reported = True
            worker.unsettled_starts = set(report.unsettled_starts)
        pending = {number for number, _, _ in worker.pending_ends}
        for end in report.ended:
            if end.number > worker.acknowledged and end.number not in pending:
                self._process_end(worker, end, now, now_unix)
        self._compare_with_report(worker, report, now)
        if report.position != worker.measured_poll:
            worker.measured_poll = report.position
            worker.update_measurements(now)
            self.state.interference.observe(worker, now)
        if report.identity.draining:
            for task in runs_outlasting_drain(worker, now):
                self.state.request_stop(task, now)

    def _handle_expired_lease(self, worker: WorkerView) -> None:
        """Count the runs of all starts that are not pending as lost.

        The agent answers commands and sends reports over one connection, in order. A start that it
        has not answered may not have reached it when it sent the report.
        """
        worker.settle_former_starts()
        worker.leaving_runs.clear()
        for task in list(worker.tasks.values()):
            if task.start_state != StartState.PENDING:
                self.state.mark_lost(task, "lease of the runs expired")

    def _process_end(self, worker: WorkerView, end: EndedRun, now: float, now_unix: float) -> None:
        """Process the end of a run and keep it until it may be acknowledged.

        An end that was processed before or that no longer matters is only acknowledged.
        """
        task = self.state.find_task(end.task)
        holder = task.find_run(end.run) if task is not None else None
        if holder is not None and holder.agent_id != worker.agent_id:
            holder = None
        if task is not None:
            self.state.quarantine.record_end(task, end.run, worker.agent_id, end.how, now)
        # The end of a run that is still tracked on this worker has not been processed.
        is_processed = (
            task is not None
            and holder is None
            and end.run in task.ended_runs
            and end.how != RunEnd.DONE
        )
        if task is None or task.job.has_ended or is_processed or task.state == TaskState.DONE:
            job_id = task.job.job_id if task else ""
            version = task.job.version if task else 0
            worker.pending_ends.append((end.number, job_id, version))
            if holder is not None and holder.state in ON_WORKER:
                self.state.release(holder)
            return
        task.withdraw_crash(end.run)
        if end.how in (RunEnd.DONE, RunEnd.FAILED):
            task.crashes.clear()
        task.ended_runs.add(end.run)
        task.record_run(end.run)
        self.state.record_begin(task)
        if end.checkpoint:
            self._set_checkpoint(task, holder or task, end.checkpoint)
        self.state.record_decision(
            "run ended",
            task.key,
            run=end.run,
            agent=worker.agent_id,
            how=end.how,
            ran_s=round(now - holder.started_at, 2) if holder else None,
            estimate_s=task.step.estimate_seconds,
        )
        if holder is not None and holder.state in ON_WORKER:
            task.last_run_seconds = now - holder.started_at if holder.is_run_timed else 0.0
            if end.how == RunEnd.DONE:
                self.state.finished_runs.record(holder, worker.pace_percent)
            self.state.release(holder)
        if end.how == RunEnd.DONE and not task.step.continuous:
            self._record_copy_result(task, end.run)
            self._handle_done(worker, task, now, now_unix)
        else:
            self.state.record_lost_copy(task, end.run, end.how)
            self._handle_not_done(worker, task, holder, end, now, now_unix)
        self.state.mark_changed(task.job)
        worker.pending_ends.append((end.number, task.job.job_id, task.job.version))

    def _set_checkpoint(self, task: Task, holder: Task, checkpoint: str) -> None:
        """Set the checkpoint of a task, unless another run of it has got further."""
        if all(holder.percent >= other.percent for other in (task, *task.copies)):
            self.state.set_checkpoint(task, checkpoint)

    def _record_copy_result(self, task: Task, done_run: int) -> None:
        """Record which of the runs of a task was done first, if it has a copy."""
        if done_run == task.copy_run:
            self.state.record_decision("copy won", task.key, run=done_run)
            task.copy_run = 0
        elif task.copy_run:
            self.state.record_stopped_copy(task, "first run done")

    def _handle_done(self, worker: WorkerView, task: Task, now: float, now_unix: float) -> None:
        job = task.job
        # The end of one member of a gang stands for all members.
        for member in job.siblings(task) if task.step.gang else [task]:
            self._mark_done(member, now)
        if job.is_complete:
            self.state.end_job(job, now, now_unix)
        elif not job.open_task_counts[(task.name.occurrence, task.name.step)]:
            for follower in job.followers(task):
                if follower.state == TaskState.WAITING:
                    self.state.make_waiting(follower)

    def _mark_done(self, task: Task, now: float) -> None:
        if task.state == TaskState.DONE:
            return
        if task.state in ON_WORKER and task.step.allows_copies:
            detach_run(task, self.state.workers)
        elif task.state in ON_WORKER:
            if not task.step.gang:  # An earlier run was done after all.
                self.state.pending_stops.append(StopDecision(task.agent_id, task.key, task.run))
            self.state.release(task)
        self.state.forget_waiting(task)
        task.job.mark_done(task)
        for copy in task.copies:
            self.state.request_stop(copy, now)

    def _handle_not_done(
        self,
        worker: WorkerView,
        task: Task,
        holder: Task | None,
        end: EndedRun,
        now: float,
        now_unix: float,
    ) -> None:
        """Restart a task whose run has ended; `holder` had the run, None if it was not tracked."""
        if end.how == RunEnd.FAILED:
            task.job.record_failure(task, end.run)
            task.avoided_agent_id = worker.agent_id
        if end.how == RunEnd.FAILED and self.state.has_used_attempts(task):
            self.state.fail_job(task, now, now_unix, failures=task.job.count_failures(task))
        elif holder is not None or task.state == TaskState.WAITING:
            self.state.restart(holder or task)

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
                task.start_state = StartState.CONFIRMED
            elif self._shows_missing(report, task) and (task.key, task.run) not in ended:
                self._handle_missed_poll(task, now)

    def _shows_missing(self, report: AgentReport, task: Task) -> bool:
        """Return whether a report would list the run of a task if its worker knew of it."""
        return not report.has_more_ends and report.position.is_after(task.after_poll)

    def _process_active_run(self, worker: WorkerView, active_run: ActiveRun, now: float) -> None:
        """Update the task of a run that a worker lists, or stop the run if it must not go on."""
        task = self.state.find_task(active_run.task)
        if task is None or task.job.has_ended:
            if task is None or task.key not in worker.tasks:
                self._stop_untracked(worker, task, active_run, now)
            return
        self.state.record_begin(task)
        if not worker.worker_unresponsive:
            self.state.quarantine.record_listed(worker, task, active_run.run, now)
            task.withdraw_crash(active_run.run)
        if self._may_be_adopted(worker, task):
            self._adopt_run(worker, task, active_run, now)
        elif self._may_be_copy(worker, task, active_run):
            self._adopt_copy(worker, task, active_run, now)
        holder = task.find_run(active_run.run)
        if holder is None or holder.agent_id != worker.agent_id:
            self._stop_untracked(worker, task, active_run, now)
            return
        holder.percent = active_run.percent
        holder.measurement = active_run.measurement
        if active_run.checkpoint:
            self._set_checkpoint(task, holder, active_run.checkpoint)
        # An agent repeats its last poll while the worker does not answer.
        if holder.crashes and not worker.worker_unresponsive:
            self._check_cleared(holder, now)

    def _stop_untracked(
        self, worker: WorkerView, task: Task | None, active_run: ActiveRun, now: float
    ) -> None:
        """Stop a run that is not the current run of its task.

        Its resources stay reserved, and the task does not start elsewhere meanwhile.
        """
        self.state.pending_stops.append(
            StopDecision(worker.agent_id, active_run.task, active_run.run, is_tracked=False)
        )
        if task is not None:
            task.record_run(active_run.run)
            until = now + self.state.stop_seconds + MAX_POLL_AGE_SECONDS
            key = (active_run.task, active_run.run)
            worker.leaving_runs[key] = LeavingRun(task.step.reserved, until)

    def _check_cleared(self, task: Task, now: float) -> None:
        """Clear a task of crashes once it has run beyond the point of the former ones."""
        if crashes.is_cleared(task.crashes, now - task.started_at - MAX_POLL_AGE_SECONDS):
            self.state.record_decision(
                "suspicion cleared", task.key, run=task.run, agent=task.agent_id
            )
            task.crashes.clear()
            self.state.mark_changed(task.job)

    def _may_be_adopted(self, worker: WorkerView, task: Task) -> bool:
        """Return whether a run that a worker lists may go on as the current run of its task.

        A task that waits has a run if a start was carried out late, or if a former owner gave its
        number to another run as well. The members of a gang have to start together, and an agent
        repeats its last poll while its worker does not answer.
        """
        if task.state == TaskState.UNCERTAIN:
            return True
        waits = task.key in self.state.waiting or task.key in self.state.not_yet_due
        return waits and not task.step.gang and not worker.worker_unresponsive

    def _adopt_run(self, worker: WorkerView, task: Task, active_run: ActiveRun, now: float) -> None:
        """Make a run that the owner does not know the current run of its task."""
        self.state.forget_waiting(task)
        task.record_run(task.run)
        self._track_run(worker, task, active_run, now)
        self.state.record_decision("run adopted", task.key, run=task.run, agent=worker.agent_id)

    def _may_be_copy(self, worker: WorkerView, task: Task, active_run: ActiveRun) -> bool:
        """Return whether a run that the owner does not know may go on as a copy."""
        return (
            task.step.allows_copies
            and task.state in ON_WORKER
            and not task.copies
            and task.find_run(active_run.run) is None
            and active_run.run not in task.ended_runs
            and task.key not in worker.tasks
            and (active_run.task, active_run.run) not in worker.leaving_runs
        )

    def _adopt_copy(
        self, worker: WorkerView, task: Task, active_run: ActiveRun, now: float
    ) -> None:
        """Track a copy that a former owner started."""
        task.record_run(active_run.run)
        task.copy_run = max(task.run, active_run.run)
        self._track_run(worker, TaskCopy(task), active_run, now)
        self.state.record_decision(
            "copy adopted", task.key, run=active_run.run, agent=worker.agent_id
        )

    def _track_run(self, worker: WorkerView, task: Task, active_run: ActiveRun, now: float) -> None:
        task.run = active_run.run
        task.state = TaskState.RUNNING
        task.start_state = StartState.CONFIRMED
        task.agent_id = worker.agent_id
        task.born_ms = worker.born_ms
        task.started_at = now
        task.is_run_timed = False
        task.missed_polls = 0
        worker.assign(task)
        self.state.mark_changed(task.job)

    def _handle_missed_poll(self, task: Task, now: float) -> None:
        former_incarnation = task.born_ms != self.state.workers[task.agent_id].born_ms
        if task.state == TaskState.RUNNING and former_incarnation:
            self.state.mark_lost(task, "worker restarted")
        elif task.state == TaskState.STOPPING and task.stop_is_over:
            # A run that is being stopped is listed neither as running nor as ended. Only a poll
            # that began after the longest time that a stop takes shows that the run is gone.
            self.state.mark_lost(task, "stopped before it began")
        elif task.state == TaskState.RUNNING:
            task.missed_polls += 1
            if task.missed_polls >= MAX_MISSED_POLLS:
                self.state.record_decision(
                    "run missing", task.key, run=task.run, agent=task.agent_id
                )
                self.state.request_stop(task, now)

    def _begin_incarnation(self, worker: WorkerView, report: AgentReport) -> None:
        """Reset a worker that has restarted; runs that it no longer lists are lost."""
        worker.pending_ends.clear()
        worker.acknowledged = 0
        worker.leaving_runs.clear()
        assert report.identity is not None
        self.state.record_decision(
            "worker restarted",
            worker.agent_id,
            born_ms=report.identity.born_ms,
            runs=len(worker.tasks),
        )
        listed = {(active_run.task, active_run.run) for active_run in report.running}
        # An incarnation with another id rejects calls that were sent to its predecessor.
        assert worker.identity is not None
        has_same_id = worker.identity.worker_id == report.identity.worker_id
        for task in list(worker.tasks.values()):
            if has_same_id and task.start_state == StartState.UNKNOWN:
                # The new incarnation may carry out the call unless it has taken a stop before.
                task.forget_stop()
                continue
            # A start command that was on its way may have reached the new incarnation. Its reply
            # or the next poll shows whether the run started.
            is_settled = task.state != TaskState.STARTING and report.position.is_after(
                task.after_poll
            )
            if is_settled and (task.key, task.run) not in listed:
                self.state.mark_lost(task, "worker restarted")

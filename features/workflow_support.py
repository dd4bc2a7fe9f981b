"""A scheduler with simulated workers, for scenarios about jobs of dependent steps."""

from acaciastand.resources import Resources
from acaciastand.workflow.catalog import Catalog, Queue
from acaciastand.workflow.job import ON_WORKER, Job, TaskState
from acaciastand.workflow.reports import (
    ActiveRun,
    AgentReport,
    CrashedRun,
    EndedRun,
    PollPosition,
    StartOutcome,
    WorkerCrash,
    WorkerIdentity,
)
from acaciastand.workflow.scheduler import Scheduler
from acaciastand.workflow.spec import StepSpec, WorkflowSpec

START_UNIX = 1_700_000_000.0
BORN_MS = 5_000
QUEUES = (
    Queue("checks", "h", "/checks/", "desk", 0, 3, 1.5, 0.25),
    Queue("plans", "h", "/plans/", "desk", 2, 4, 2.0, 1.0),
    Queue("watchers", "h", "/watchers/", "desk", 0, 4, 2.2, 2.5),
)


# A crashed worker loses its runs' lease and restarts after these times in seconds.
LEASE_END_SECONDS = 3.2
RESTART_SECONDS = 3.5


class SimulatedWorker:
    """Simulated worker with its current runs and the numbered ends of its runs."""

    def __init__(self, agent_id, cores, memory_mb):
        self.agent_id = agent_id
        self.capacity = Resources(cores, memory_mb, 0)
        self.zone = "zone-a"
        self.slow_start_seconds = 0.0
        self.born_ms = BORN_MS
        self.running = {}
        self.ended = []
        self.agent_incarnation = 1
        self.poll_number = 0
        self.polls_begun = 0
        self.drain_seconds = 0.0
        self.last_end_number = 0
        self.started_at = {}
        self.crash_report = None
        self.crashed_at = None
        self.max_listed_ends = None
        self.answers = True
        self.report_changes = {}  # Fields in which the reports of its agent differ.

    def crash(self, crashed_at):
        """End all runs without a list of their ends."""
        runs = [
            CrashedRun(key, run, crashed_at - self.started_at[key])
            for key, run in self.running.items()
        ]
        self.crash_report = WorkerCrash(self.born_ms, runs)
        self.crashed_at = crashed_at

    def restart(self):
        """Begin another incarnation."""
        self.born_ms += 1_000
        self.running, self.ended = {}, []
        self.last_end_number = 0
        self.crashed_at = None

    def restart_agent(self):
        """Begin another incarnation of the agent, which counts its polls anew."""
        self.agent_incarnation += 1
        self.poll_number = self.polls_begun = 0

    @property
    def position(self):
        """Position of the last poll that was answered."""
        return PollPosition(self.agent_incarnation, self.poll_number)

    @property
    def begun_position(self):
        """Position of the last poll that has begun."""
        return PollPosition(self.agent_incarnation, self.polls_begun)

    def listed_ends(self, acknowledged):
        """Return the ends that a poll lists: all, or a limited number after the acknowledged."""
        if self.max_listed_ends is None:
            return list(self.ended)
        ends = [end for end in self.ended if end.number > acknowledged]
        return ends[: self.max_listed_ends]

    def has_more_ends(self, acknowledged):
        listed = self.listed_ends(acknowledged)
        return self.max_listed_ends is not None and len(listed) >= self.max_listed_ends

    def identity(self):
        return WorkerIdentity(
            f"w-{self.agent_id}",
            self.born_ms,
            "desk",
            "10.0.0.1:1",
            self.zone,
            self.capacity,
            ["a", "rack-1"],
            bool(self.drain_seconds),
            self.drain_seconds,
            self.slow_start_seconds,
        )

    def end(self, key, how, checkpoint=""):
        self.last_end_number += 1
        run = self.running.pop(key)
        self.ended.append(EndedRun(self.last_end_number, key, run, how, checkpoint))


class WorkflowWorld:
    """A scheduler with simulated workers and a clock.

    Commands take effect at once, except starts at the agents in `unanswered` and stops at those in
    `ignored_stops`. The tasks in `deadly` crash the worker that starts them after that many
    seconds, and `crashes` tells how often they did. With `completes`, tasks are done after the
    estimated time, and progress is stored at once. The heartbeats of the owner are stored until
    `confirmed_at`, or all of them if it is None. With `keeps_starts`, starts are not answered.
    """

    def __init__(self, ranking=None, placement=None, has_reported=True, interference=None):
        self.now = 100.0
        self.scheduler = Scheduler(ranking, placement, 0.4, interference)
        self.scheduler.catalog = Catalog(1, list(QUEUES), ["desk"])
        self.workers = {}
        self.has_reported = has_reported
        self.started = []
        self.stopped = []
        self.unanswered = set()
        self.ignored_stops = set()
        self.deadly = {}
        self.crashes = {}
        self.completes = False
        self.confirmed_at = None
        self.keeps_starts = False
        self.kept_starts = []

    @property
    def now_unix(self):
        return START_UNIX + self.now

    def add_worker(self, agent_id, cores=16.0, memory_mb=64_000, unresponsive=False):
        worker = self.workers[agent_id] = SimulatedWorker(agent_id, cores, memory_mb)
        view = self.scheduler.add_worker(agent_id, self.has_reported, self.now + 5.0)
        view.reachable = not unresponsive
        if not unresponsive:
            self.report(agent_id)
        return worker

    def submit(self, job_id, queue, *steps, certain=True, **repetition):
        job = Job(job_id, queue, WorkflowSpec("text", list(steps), **repetition), self.now_unix)
        self.scheduler.add_job(job, certain)
        return job

    def report(self, agent_id, **changes):
        worker = self.workers[agent_id]
        view = self.scheduler.workers[agent_id]
        if worker.crash_report is not None:
            changes = self._crash_changes(worker, view, changes)
        worker.polls_begun += 1
        if worker.crashed_at is None and worker.answers:
            worker.poll_number = worker.polls_begun
        report = AgentReport(
            worker.identity(),
            worker.position,
            [ActiveRun(key, run) for key, run in worker.running.items()],
            worker.listed_ends(view.acknowledged),
            has_more_ends=worker.has_more_ends(view.acknowledged),
        ).replace(**{**worker.report_changes, **changes})
        self.scheduler.process_report(agent_id, report, self.now, self.now_unix)
        view.granted_until = max(view.granted_until, self.now + 4.0)

    def _crash_changes(self, worker, view, changes):
        """Return the fields by which the report differs after a crash of the worker."""
        if worker.crashed_at is not None and self.now >= worker.crashed_at + RESTART_SECONDS:
            worker.restart()
        if worker.crashed_at is None:
            if self.scheduler.stored_crash_ms(view) == worker.crash_report.born_ms:
                worker.crash_report = None
                return changes
            return {"crashes": [worker.crash_report], **changes}
        if self.now < worker.crashed_at + LEASE_END_SECONDS:
            return {"silent": True, **changes}
        lost = {
            "position": PollPosition(),
            "running": [],
            "ended": [],
            "lapsed": True,
            "silent": True,
        }
        return {**lost, "crashes": [worker.crash_report], **changes}

    def _complete_runs(self):
        for worker in self.workers.values():
            if worker.crashed_at is not None:
                continue
            for key in list(worker.running):
                step_spec = self.scheduler.jobs[key.partition(".")[0]].tasks[key].step
                ran_seconds = self.now - worker.started_at[key]
                if not step_spec.continuous and ran_seconds >= step_spec.estimate_seconds:
                    worker.end(key, "done")

    def crash(self, agent_id, seconds=0.05):
        """Crash a worker for a reason of its own, some seconds after the last plan."""
        if self.workers[agent_id].crashed_at is None:
            self.workers[agent_id].crash(self.now + seconds)

    def _crash_deadly(self):
        """Crash the workers whose deadly tasks have run long enough."""
        for worker in self.workers.values():
            if worker.crashed_at is not None:
                continue
            due = [
                (worker.started_at[key] + self.deadly[key], key)
                for key in worker.running
                if key in self.deadly
                and worker.started_at[key] + self.deadly[key] <= self.now + 0.05
            ]
            if due:
                crashed_at, key = min(due)
                self.crashes[key] = self.crashes.get(key, 0) + 1
                worker.crash(crashed_at)

    def report_all(self):
        for agent_id, view in self.scheduler.workers.items():
            if view.reachable:
                self.report(agent_id)

    def advance(self, seconds, step=0.1):
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += step
            if self.completes:
                self._complete_runs()
                self.store_all()
            self.report_all()
            self.plan()
        check_consistency(self.scheduler)

    def plan(self):
        confirmed_at = self.now if self.confirmed_at is None else self.confirmed_at
        starts, stops = self.scheduler.plan(self.now, self.now_unix, confirmed_at)
        for start in starts:
            self._start(start)
        for stop in stops:
            self._stop(stop)
        self._crash_deadly()
        return starts

    def store_all(self):
        for job in list(self.scheduler.dirty.values()):
            self.scheduler.mark_stored(job, job.version)

    def end(self, key, how="done", checkpoint=""):
        worker = next(w for w in self.workers.values() if key in w.running)
        worker.end(key, how, checkpoint)
        self.report(worker.agent_id)

    def running(self):
        return {key: w.agent_id for w in self.workers.values() for key in w.running}

    def _start(self, start):
        worker = self.workers[start.agent_id]
        self.started.append((start.command.task, start.command.run, start.agent_id))
        if self.keeps_starts:
            self.kept_starts.append(start)
            return
        if worker.crashed_at is not None:
            outcome = StartOutcome.REFUSED
        elif start.agent_id in self.unanswered:
            outcome = StartOutcome.UNKNOWN
        else:
            worker.running[start.command.task] = start.command.run
            worker.started_at[start.command.task] = self.now
            outcome = StartOutcome.STARTED
        self.answer_start(start, outcome)

    def answer_start(self, start, outcome):
        position = self.workers[start.agent_id].begun_position
        self.scheduler.process_start_result(
            start.task, start.command.run, outcome, position, self.now
        )

    def _stop(self, stop):
        self.stopped.append((stop.task_key, stop.run, stop.agent_id))
        worker = self.workers[stop.agent_id]
        if stop.agent_id in self.ignored_stops or worker.crashed_at is not None:
            return
        if not worker.answers:
            return
        if worker.running.get(stop.task_key) == stop.run:
            worker.end(stop.task_key, "stopped", "saved-at-stop")
        self.scheduler.process_stop_result(
            stop.task_key, stop.run, worker.begun_position, self.now, self.now
        )


def check_consistency(scheduler):
    """Check that each task is in the sets and on the worker that its state tells of, only."""
    for job in scheduler.jobs.values():
        if job.has_ended and job.is_idle():
            continue
        for task in job.tasks.values():
            sets = [
                name
                for name in ("waiting", "not_yet_due", "uncertain")
                if task.key in getattr(scheduler, name)
            ]
            allowed = {
                TaskState.WAITING: ([], ["waiting"], ["not_yet_due"]),
                TaskState.UNCERTAIN: (["uncertain"], []) if job.has_ended else (["uncertain"],),
            }
            assert sets in allowed.get(task.state, ([],)), (task.key, task.state, sets)
            workers = [w.agent_id for w in scheduler.workers.values() if task.key in w.tasks]
            expected = [task.agent_id] if task.state in ON_WORKER else []
            assert task.step.speculative or not task.copies, (task.key, task.copies)
            expected += [copy.agent_id for copy in task.copies]
            assert sorted(workers) == sorted(expected), (task.key, task.state, workers, expected)


def step(count=1, cores=1.0, memory_mb=100, seconds=1.0, **fields):
    """Return a step of equal tasks."""
    return StepSpec(count, Resources(cores, memory_mb, 0), seconds, **fields)

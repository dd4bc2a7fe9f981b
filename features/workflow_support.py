"""A scheduler with simulated workers, for scenarios about jobs of dependent steps."""

from acaciastand.resources import Resources
from acaciastand.workflow.catalog import Catalog, Queue
from acaciastand.workflow.job import Job
from acaciastand.workflow.reports import (
    ActiveRun,
    AgentReport,
    EndedRun,
    StartOutcome,
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


class SimulatedWorker:
    """Simulated worker with its current runs and the numbered ends of its runs."""

    def __init__(self, agent_id, cores, memory_mb):
        self.agent_id = agent_id
        self.capacity = Resources(cores, memory_mb, 0)
        self.born_ms = BORN_MS
        self.running = {}
        self.ended = []
        self.poll_number = 0
        self.drain_seconds = 0.0
        self.last_end_number = 0

    def identity(self):
        return WorkerIdentity(
            f"w-{self.agent_id}",
            self.born_ms,
            "desk",
            "10.0.0.1:1",
            "zone-a",
            self.capacity,
            ["a", "rack-1"],
            bool(self.drain_seconds),
            self.drain_seconds,
        )

    def end(self, key, how, checkpoint=""):
        self.last_end_number += 1
        run = self.running.pop(key)
        self.ended.append(EndedRun(self.last_end_number, key, run, how, checkpoint))


class WorkflowWorld:
    """A scheduler with simulated workers and a clock.

    Commands take effect at once, except starts at the agents in `unanswered` and stops at those in
    `ignored_stops`.
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

    def submit(self, job_id, queue, *steps, certain=True):
        job = Job(job_id, queue, WorkflowSpec("text", list(steps)), self.now_unix)
        self.scheduler.add_job(job, certain)
        return job

    def report(self, agent_id, **changes):
        worker = self.workers[agent_id]
        worker.poll_number += 1
        report = AgentReport(
            worker.identity(),
            worker.poll_number,
            [ActiveRun(key, run) for key, run in worker.running.items()],
            list(worker.ended),
        ).replace(**changes)
        view = self.scheduler.workers[agent_id]
        self.scheduler.process_report(agent_id, report, self.now, self.now_unix)
        view.granted_until = max(view.granted_until, self.now + 4.0)

    def report_all(self):
        for agent_id, view in self.scheduler.workers.items():
            if view.reachable:
                self.report(agent_id)

    def advance(self, seconds, step=0.1):
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += step
            self.report_all()
            self.plan()

    def plan(self):
        starts, stops = self.scheduler.plan(self.now, self.now_unix)
        for start in starts:
            self._start(start)
        for stop in stops:
            self._stop(stop)
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
        if start.agent_id in self.unanswered:
            outcome = StartOutcome.UNKNOWN
        else:
            worker.running[start.command.task] = start.command.run
            outcome = StartOutcome.STARTED
        self.scheduler.process_start_result(
            start.task, start.command.run, outcome, worker.poll_number, self.now
        )

    def _stop(self, stop):
        self.stopped.append((stop.task_key, stop.run, stop.agent_id))
        worker = self.workers[stop.agent_id]
        if stop.agent_id in self.ignored_stops:
            return
        if worker.running.get(stop.task_key) == stop.run:
            worker.end(stop.task_key, "stopped", "saved-at-stop")
        self.scheduler.process_stop_result(stop.task_key, stop.run, worker.poll_number, self.now)


def step(count=1, cores=1.0, memory_mb=100, seconds=1.0, **fields):
    """Return a step of equal tasks."""
    return StepSpec(count, Resources(cores, memory_mb, 0), seconds, **fields)

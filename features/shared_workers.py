"""Simulated workers on which batch tasks take headroom from services whose load swings."""

import math
import random

from workflow_support import QUEUES, START_UNIX, step

from acaciastand.resources import Resources
from acaciastand.workflow.catalog import Catalog
from acaciastand.workflow.job import Job
from acaciastand.workflow.pacing import RunLimits
from acaciastand.workflow.reports import (
    ActiveRun,
    AgentReport,
    EndedRun,
    PollPosition,
    StartOutcome,
    WorkerIdentity,
)
from acaciastand.workflow.scheduler import Scheduler
from acaciastand.workflow.spec import WorkflowSpec

TICK_SECONDS = 0.05
PLAN_SECONDS = 0.1
POLL_SECONDS = 0.35
PACE_DELAY_SECONDS = 0.1
TARGET_MS = 50.0
IDLE_TAIL_MS = 10.0
MEAN_LOAD, SWING, SWING_SECONDS = 0.45, 0.6, 14.0
SHOWS_AFTER_SECONDS = 0.5  # Time constant with which a change shows in a tail latency.
NOISE_SHARE = 0.07
TAKEN_PER_CORE = 0.3  # Headroom that a core takes from a service that needs the same resource.
SERVICE_CORES = 6.4
BATCH_CORES = 3.5
RESOURCES = 3  # Shared resources; each image needs one of them, some batch images none.
SERVICE_IMAGES, BATCH_IMAGES = 8, 16


class SimulatedRun:
    """A run on a simulated worker."""

    def __init__(self, command, task, now):
        self.key = command.task
        self.number = command.run
        self.task = task
        self.pace_changes = [(now, 100)]
        self.work_seconds = 0.0
        self.cores = 0.0
        self.shown_taken = 0.0

    def pace(self, now):
        return next(p for at, p in reversed(self.pace_changes) if at <= now or p == 100)


class SharedWorker:
    """A worker that measures its runs, with the pacer of its agent."""

    def __init__(self, agent_id, cores, pacer, poll_at):
        self.agent_id = agent_id
        self.identity = WorkerIdentity(
            f"w-{agent_id}",
            5_000,
            "desk",
            "10.0.0.1:1",
            "zone-a",
            Resources(cores, 128_000, 0),
            ["a", "rack-1"],
        )
        self.cores = cores
        self.pacer = pacer
        self.poll_at = poll_at
        self.poll_number = 0
        self.runs = {}
        self.ended = []
        self.end_count = 0

    @property
    def position(self):
        return PollPosition(1, self.poll_number)


class SharedWorkersWorld:
    """A scheduler, its workers and callers that submit services and then batch jobs.

    Attributes
    ----------
    over_seconds
        Seconds for which service tasks exceeded their latency target, summed over the tasks.
    batch_seconds
        Time that each batch job took.
    """

    def __init__(self, seed, pacer, worker_count=16, **policies):
        self.rng = random.Random(seed)
        self.now = 100.0
        self.scheduler = Scheduler(stop_seconds=0.4, **policies)
        self.scheduler.catalog = Catalog(1, list(QUEUES), ["desk"])
        self.workers = {}
        for number in range(worker_count):
            worker = SharedWorker(
                f"agent-{number}",
                self.rng.choice((32.0, 32.0, 48.0)),
                pacer(),
                self.now + self.rng.random() * POLL_SECONDS,
            )
            self.workers[worker.agent_id] = worker
            view = self.scheduler.add_worker(worker.agent_id, True, self.now + 3600.0)
            view.reachable = True
            self._report(worker)
        self.phases = {}
        self.over_seconds = 0.0
        self.service_seconds = 0.0
        self.batch_seconds = {}
        self.plan_at = 0.0

    @property
    def now_unix(self):
        return START_UNIX + self.now

    def taken_per_core(self, batch_image, service_image):
        batch, service = int(batch_image[1:]), int(service_image[1:])
        if batch % 4 == RESOURCES:
            return 0.01  # Needs none of the resources.
        return TAKEN_PER_CORE if batch % 4 == service % RESOURCES else 0.01

    def batch_images(self):
        return [f"b{number}" for number in range(BATCH_IMAGES)]

    def service_images(self):
        return [f"s{number}" for number in range(SERVICE_IMAGES)]

    def submit_services(self, count, width):
        for number in range(count):
            apart = 1 if number % 2 else 0
            image = f"s{self.rng.randrange(SERVICE_IMAGES)}"
            self._submit(
                "watchers",
                step(
                    width,
                    SERVICE_CORES,
                    13_000,
                    0.0,
                    continuous=True,
                    target_ms=TARGET_MS,
                    image=image,
                    max_per_worker=apart,
                ),
            )

    def submit_batch(self, width, seconds):
        image = f"b{self.rng.randrange(BATCH_IMAGES)}"
        fields = {"uses_leftover": True, "saves_progress": True, "image": image}
        first = step(width, BATCH_CORES, 6_000, seconds, **fields)
        second = step(width, BATCH_CORES, 6_000, seconds, after=[0], **fields)
        return self._submit("plans", first, second)

    def advance(self, seconds):
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now += TICK_SECONDS
            for worker in self.workers.values():
                self._work(worker)
                if self.now >= worker.poll_at:
                    worker.poll_at += POLL_SECONDS
                    self._poll(worker)
            if self.now >= self.plan_at:
                self.plan_at = self.now + PLAN_SECONDS
                self._plan()

    def _submit(self, queue, *steps):
        job_id = f"{len(self.scheduler.jobs):016x}"
        job = Job(job_id, queue, WorkflowSpec("text", list(steps)), self.now_unix)
        self.phases[job_id] = self.rng.random() * SWING_SECONDS
        self.scheduler.add_job(job)
        return job

    def _work(self, worker):
        """Let all runs of a worker go on for one tick."""
        services = [run for run in worker.runs.values() if run.task.step.continuous]
        batch = [run for run in worker.runs.values() if not run.task.step.continuous]
        loads = {run.key: self._load(run) for run in services}
        unused = worker.cores - sum(SERVICE_CORES * load for load in loads.values())
        wanted = {run.key: BATCH_CORES * run.pace(self.now) / 100 for run in batch}
        squeeze = min(1.0, unused / max(sum(wanted.values()), 0.01))
        for run in batch:
            run.cores = wanted[run.key] * squeeze
            run.work_seconds += TICK_SECONDS * run.cores / BATCH_CORES
            if run.work_seconds >= run.task.step.estimate_seconds:
                self._end(worker, run, "done")
        for run in services:
            taken = sum(
                other.cores * self.taken_per_core(other.task.step.image, run.task.step.image)
                for other in batch
            )
            share = TICK_SECONDS / SHOWS_AFTER_SECONDS
            run.shown_taken += share * (taken * 32.0 / worker.cores - run.shown_taken)
            self.service_seconds += TICK_SECONDS
            if self._tail_ms(run, loads[run.key]) > TARGET_MS:
                self.over_seconds += TICK_SECONDS

    def _load(self, run):
        angle = 2 * math.pi * (self.now + self.phases[run.task.job.job_id]) / SWING_SECONDS
        return MEAN_LOAD * (1 + SWING * math.sin(angle))

    def _tail_ms(self, run, load):
        headroom = TARGET_MS / IDLE_TAIL_MS * (1 - load) - run.shown_taken
        return TARGET_MS / max(headroom, 0.1)

    def _poll(self, worker):
        self._report(worker)
        pacer = worker.pacer
        view = self.scheduler.workers[worker.agent_id]
        rows = self._active_runs(worker)
        limits = {run.key: run.limits for run in worker.runs.values()}
        paces = pacer.update(rows, limits, self.scheduler.batch_costs(view), self.now)
        for key, percent in paces.items():
            run = worker.runs[key]
            if run.pace_changes[-1][1] != percent:
                run.pace_changes.append((self.now + PACE_DELAY_SECONDS, percent))

    def _active_runs(self, worker):
        return [
            ActiveRun(run.key, run.number, measurement=self._measure(run))
            for run in worker.runs.values()
        ]

    def _measure(self, run):
        noise = 1 + NOISE_SHARE * (2 * self.rng.random() - 1)
        if run.task.step.continuous:
            return round(self._tail_ms(run, self._load(run)) * noise)
        return round(run.cores * 1000 * noise)

    def _report(self, worker):
        worker.poll_number += 1
        paces = list(getattr(worker.pacer, "paces", {}).values())
        report = AgentReport(
            worker.identity,
            worker.position,
            self._active_runs(worker),
            list(worker.ended),
            pace_percent=min(paces, default=100),
            tail_share=worker.pacer.tail_share,
        )
        self.scheduler.process_report(worker.agent_id, report, self.now, self.now_unix)

    def _plan(self):
        starts, stops = self.scheduler.plan(self.now, self.now_unix, self.now)
        for start in starts:
            worker = self.workers[start.agent_id]
            run = worker.runs[start.command.task] = SimulatedRun(
                start.command, start.task, self.now
            )
            run.limits = RunLimits(start.command.target_ms, start.command.uses_leftover)
            if start.command.checkpoint:
                run.work_seconds = float(start.command.checkpoint)
            self.scheduler.process_start_result(
                start.task, run.number, StartOutcome.STARTED, worker.position, self.now
            )
        for stop in stops:
            worker = self.workers[stop.agent_id]
            if stop.task_key in worker.runs:
                self._end(worker, worker.runs[stop.task_key], "stopped")
            self.scheduler.process_stop_result(
                stop.task_key, stop.run, worker.position, self.now, self.now
            )
        self._store_all()

    def _store_all(self):
        for job in list(self.scheduler.dirty.values()):
            self.scheduler.mark_stored(job, job.version)
            if job.has_ended:
                self.batch_seconds[job.job_id] = job.ended_unix - job.accepted_unix
        for worker in self.workers.values():
            view = self.scheduler.workers[worker.agent_id]
            acknowledged = self.scheduler.acknowledge_stored_ends(view)
            worker.ended = [end for end in worker.ended if end.number > acknowledged]

    def _end(self, worker, run, how):
        worker.end_count += 1
        del worker.runs[run.key]
        checkpoint = str(run.work_seconds) if how == "stopped" else ""
        worker.ended.append(EndedRun(worker.end_count, run.key, run.number, how, checkpoint))
        self._report(worker)

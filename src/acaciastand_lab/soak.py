"""Randomized soak: real entries and agents, faults from outside, promises checked by callers.

``python -m acaciastand_lab.soak --seed 1 --runs 50`` plays seeds 1 to 50 and prints each broken
promise with the seed that shows it. All randomness comes from the seed; the interleaving of
processes does not.
"""

from __future__ import annotations

import random
import shutil
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Any

import gevent
import typer

from acaciastand_lab import soak_jobs
from acaciastand_lab.partitions import PartitionFaults
from acaciastand_lab.platform_site import Site, broken_promises, configuration, describe_run
from acaciastand_lab.soak_checks import early_starts
from acaciastand_lab.soak_zone_drains import ZONE_DRAIN_MS, ZONES, ZoneDrainFaults

ENTRIES = 3
AGENTS = 3
FAULT_SECONDS = 12.0  # Time with load and faults.
SETTLE_SECONDS = 40.0  # All acknowledged jobs have to be over this long after the last fault.
SUBMIT_PAUSE_SECONDS = 0.25
ATTEMPTS = 5  # Attempts of a caller that gets no acknowledgement.
REFUSALS = frozenset({429, 503})
CANCELLED_SHARE = 0.12
REPEATED_SHARE = 0.2
# Share of the jobs whose task takes each worker down that starts it, and for how long.
CRASHING_SHARE = 0.05
CRASH_SECONDS = 1.5
CRASHES_TO_GIVE_UP = 2  # A task under which so many workers have crashed may be given up.
# A task under which three workers have crashed is started fewer than three times more.
MAX_CRASHING_STARTS = 5
# Time after the last fault in which all connections are made again.
CALM_SECONDS = 4.0
CONFIGURATION_SECONDS = 2.0  # A change of the configuration is in force after this time.

# Time before the first partition: an owner is connected to its agents some seconds after it was
# elected, and acts on silence only then.
CALM_START_SECONDS = 6.0
# Pause between the starts of two processes, since a starting interpreter keeps a core busy.
START_PAUSE_SECONDS = 0.1
READY_SECONDS = 20.0


class Submission:
    """What a caller knows of one job.

    Parameters
    ----------
    crash_seconds
        Time for which each start of its task takes the worker down; 0 if it does not.
    seconds
        Time that each of its tasks takes; 0 if that is drawn when it is handed in.
    """

    def __init__(
        self,
        job_id: str,
        steps: list[dict[str, Any]],
        crash_seconds: float = 0.0,
        seconds: float = 0.0,
    ) -> None:
        self.job_id = job_id
        self.steps = steps
        self.crash_seconds = crash_seconds
        self.seconds = seconds
        self.answers: list[int] = []
        self.accepted = False
        self.cancelled_at = 0.0
        self.cancel_tried = False


class Soak:
    """One run of one seed.

    Parameters
    ----------
    seed, seconds
        Seed of the faults, and how long they go on.
    extended
        Whether the faults include silent connections, workers that are down and tasks that crash
        them. Without them a seed plays as it always did.
    logs_folder
        Folder that gets the logs and settings of all processes if a promise is broken.
    partitions
        Whether the faults are partitions and freezes instead, under short and long tasks.
    entries, agents
        Number of processes of each kind.
    copies
        Whether the jobs have steps that allow copies of a task at the same time.
    zone_drains
        Whether operators also drain zones at random.
    """

    def __init__(
        self,
        seed: int,
        seconds: float = FAULT_SECONDS,
        extended: bool = False,
        logs_folder: Path | None = None,
        partitions: bool = False,
        entries: int = ENTRIES,
        agents: int = AGENTS,
        copies: bool = False,
        zone_drains: bool = False,
    ) -> None:
        self.random = random.Random(seed)
        self.extended = extended
        self.logs_folder = logs_folder
        self.seconds = seconds
        self.entries = entries
        self.agents = agents
        self.copies = copies
        self.copied_steps: set[str] = set()  # Names of the steps that allow copies.
        zones = (ZONES, ZONE_DRAIN_MS) if zone_drains else (1, 0)
        self.site = Site(entries, agents, seed, True, *zones)
        self.zone_drains = ZoneDrainFaults(self.site, self.random) if zone_drains else None
        self.partitions = PartitionFaults(self.site, self.random) if partitions else None
        self.jobs: list[Submission] = []
        self.problems: list[str] = []
        self.faults: list[str] = []
        self.version = 1
        self.repairs: list[Callable[[], None]] = []

    def run(self) -> list[str]:
        """Play the run and return the broken promises."""
        try:
            self._start()
            callers = gevent.spawn(self._submit_forever)
            if self.partitions:
                gevent.sleep(CALM_START_SECONDS)
            end = time.monotonic() + self.seconds
            while time.monotonic() < end:
                self._inject()
                gevent.sleep(self._pause_seconds())
            callers.kill()
            self._repair()
            if self.extended:
                self._check_configuration()
            if self.zone_drains:
                self.zone_drains.submit_after_bound(self._submit_new)
            self._check_all()
            if self.problems and self.logs_folder is not None:
                self._keep_logs(self.logs_folder)
        finally:
            self.site.close()
        return self.problems

    def _start(self) -> None:
        if self.partitions:
            self.site.start_all(START_PAUSE_SECONDS)
            self.site.wait_ready(READY_SECONDS + self.entries + self.agents)
        else:
            self.site.start_all()
            self.site.wait_ready()

    def _keep_logs(self, folder: Path) -> None:
        shutil.copytree(self.site.folder, folder, dirs_exist_ok=True)
        runs = sorted(self.site.history(), key=lambda run: run.began)
        lines = {
            "runs.txt": [describe_run(run) for run in runs],
            "faults.txt": self.faults,
            "problems.txt": self.problems,
        }
        for name, texts in lines.items():
            (folder / name).write_text("\n".join(texts) + "\n", encoding="utf-8")

    # Faults

    def _inject(self) -> None:
        if self.partitions:
            self.faults.append(self.partitions.inject())
            return
        extension = (self._mute, self._take_worker_down) if self.extended else ()
        drains = (self.zone_drains.change,) if self.zone_drains else ()
        fault = self.random.choice(
            (
                *extension,
                *drains,
                self._kill,
                self._pause,
                self._stop,
                self._silence,
                self._reset,
                self._delay,
                self._store_down,
                self._store_loses,
                self._crash_worker,
                self._lose_starts,
                self._configure,
                self._forget_history,
                self._kill_all,
            )
        )
        self.faults.append(fault.__name__.strip("_"))
        fault()

    def _pause_seconds(self) -> float:
        if self.partitions:
            return self.partitions.pause_seconds()
        return self.random.uniform(0.1, 1.2)

    def _process(self) -> str:
        return self.random.choice(list(self.site.settings))

    def _later(self, action: Callable[[], None], low: float = 0.3, high: float = 4.0) -> None:
        self.repairs.append(action)
        gevent.spawn_later(self.random.uniform(low, high), action)

    def _kill(self) -> None:
        name = self.site.owner() if self.random.random() < 0.5 else self._process()
        self.site.restart(name or self._process())

    def _kill_all(self) -> None:
        if self.random.random() < 0.3:
            for name in self.site.settings:
                self.site.signal(name, signal.SIGKILL)
            for name in self.site.settings:
                self.site.restart(name)

    def _pause(self) -> None:
        name = self._process()
        self.site.signal(name, signal.SIGSTOP)
        self._later(lambda: self.site.signal(name, signal.SIGCONT), 0.2, 5.0)

    def _stop(self) -> None:
        name = self._process()
        process = self.site.processes[name]
        self.site.signal(name, signal.SIGTERM)

        def start_again() -> None:
            if self.site.processes[name] is process:
                self.site.restart(name)

        self._later(start_again, 1.0, 6.0)

    def _proxy(self) -> Any:
        return self.random.choice(self.site.proxies)

    def _silence(self) -> None:
        proxy = self._proxy()
        forward, backward = self.random.choice(((True, True), (True, False), (False, True)))
        proxy.silence(forward, backward)
        self._later(proxy.heal)

    def _reset(self) -> None:
        self._proxy().reset()

    def _mute(self) -> None:
        self._proxy().mute()

    def _take_worker_down(self) -> None:
        self.random.choice(self.site.workers).go_down(self.random.uniform(0.3, 4.0))

    def _delay(self) -> None:
        proxy = self._proxy()
        proxy.delay_seconds = self.random.uniform(0.02, 0.5)
        self._later(proxy.heal)

    def _store_down(self) -> None:
        self.site.store.down = True
        self._later(lambda: setattr(self.site.store, "down", False), 0.3, 3.0)

    def _store_loses(self) -> None:
        self.site.store.lost_share = self.random.uniform(0.1, 0.5)
        self._later(lambda: setattr(self.site.store, "lost_share", 0.0))

    def _forget_history(self) -> None:
        self.site.store.store.forget_history()

    def _crash_worker(self) -> None:
        self.random.choice(self.site.workers).crash()

    def _lose_starts(self) -> None:
        worker = self.random.choice(self.site.workers)
        worker.unanswered_share = self.random.uniform(0.1, 0.6)
        self._later(lambda: setattr(worker, "unanswered_share", 0.0))

    def _configure(self) -> None:
        self.version += self.random.randint(1, 5)
        self.site.store.write("op/config", configuration(self.version))

    def _repair(self) -> None:
        for repair in self.repairs:
            repair()
        if self.partitions:
            self.partitions.repair()
        if self.zone_drains:
            self.zone_drains.drain_one()
        for proxy in self.site.proxies:
            proxy.heal()
        for name, process in list(self.site.processes.items()):
            if process.poll() is not None:
                self.site.start(name)

    # Callers

    def _submit_forever(self) -> None:
        while True:
            self._submit_new()
            gevent.sleep(self.random.uniform(0.5, 1.5) * SUBMIT_PAUSE_SECONDS)

    def _submit_new(self) -> None:
        job = self._new_job()
        self.jobs.append(job)
        gevent.spawn(self._submit, job, self.random.random(), self.random.random())

    def _new_job(self) -> Submission:
        job_id = f"{len(self.jobs) + 1:016x}"
        if self.partitions:
            steps, seconds = soak_jobs.short_or_long_steps(self.random, self.agents)
            return Submission(job_id, steps, seconds=seconds)
        if self.copies:
            steps, seconds = soak_jobs.speculative_steps(self.random)
            self.copied_steps |= soak_jobs.allowing_copies(job_id, steps)
            return Submission(job_id, steps, seconds=seconds)
        if self.extended and self.random.random() < CRASHING_SHARE:
            step = {"count": 1, "cpu": 200, "estimateMs": 400}
            return Submission(job_id, [step], CRASH_SECONDS)
        return Submission(job_id, soak_jobs.random_steps(self.random))

    def _submit(self, job: Submission, repeat: float, cancel: float) -> None:
        seconds = job.seconds or 0.1 + 0.6 * repeat
        payload = {"seconds": seconds, "crash_seconds": job.crash_seconds}
        for attempt in range(ATTEMPTS):
            entry = f"entry-{(attempt + int(job.job_id, 16)) % self.entries + 1}"
            status = self.site.submit(entry, job.job_id, *job.steps, **payload)
            job.answers.append(status)
            if status == 200:
                job.accepted = True
                break
            gevent.sleep(0.3)
        if job.accepted and repeat < REPEATED_SHARE:
            job.answers.append(self.site.submit("entry-1", job.job_id, *job.steps, **payload))
        if job.accepted and cancel < CANCELLED_SHARE:
            self._cancel(job)

    def _cancel(self, job: Submission) -> None:
        job.cancel_tried = True
        for attempt in range(ATTEMPTS):
            status, _ = self.site.call(f"entry-{attempt % self.entries + 1}", "DELETE", job.job_id)
            if status == 200:
                job.cancelled_at = time.monotonic()
                return
            if status == 410:
                self.problems.append(f"{job.job_id}: accepted, but a cancel was answered 410")
                return

    # Checks

    def _check_all(self) -> None:
        end = time.monotonic() + SETTLE_SECONDS
        open_jobs = [job for job in self.jobs if job.accepted]
        while open_jobs and time.monotonic() < end:
            open_jobs = [job for job in open_jobs if not self._has_ended(job)]
            gevent.sleep(0.2)
        for job in open_jobs:
            state = self.site.state(job.job_id)
            self.problems.append(f"{job.job_id}: accepted, and {state or 'not known'} at the end")
        history = self.site.history()
        self.problems += broken_promises(history, time.monotonic(), self.copied_steps)
        self.problems += early_starts(self.jobs, history)
        self._check_refusals(history)
        self._check_cancels(history)
        self._check_crashes(history)
        if self.zone_drains:
            self.problems += self.zone_drains.find_starts(history)

    def _has_ended(self, job: Submission) -> bool:
        state = self.site.state(job.job_id)
        if state == "unknown":
            self.problems.append(f"{job.job_id}: accepted, but not known")
        if (state == "failed" and not self._may_be_given_up(job)) or (
            state == "cancelled" and not job.cancel_tried
        ):
            self.problems.append(f"{job.job_id}: {state} without cause")
        return state in ("completed", "cancelled", "failed", "unknown")

    def _may_be_given_up(self, job: Submission) -> bool:
        """Return whether two workers or more have crashed under a task of a job."""
        crashed: dict[str, int] = {}
        for run in self.site.history():
            if run.task.startswith(job.job_id) and run.how == "crashed":
                crashed[run.task] = crashed.get(run.task, 0) + 1
        return max(crashed.values(), default=0) >= CRASHES_TO_GIVE_UP

    def _check_configuration(self) -> None:
        """Change the configuration just after all connections went silent, and see it in force."""
        gevent.sleep(CALM_SECONDS)
        for proxy in self.site.proxies:
            proxy.mute()
        self._configure()
        gevent.sleep(CONFIGURATION_SECONDS)
        for entry in self.site.names("entry"):
            if not self.site.is_in_force(entry, self.version):
                self.problems.append(f"{entry}: version {self.version} is not in force in time")

    def _check_crashes(self, history: list[Any]) -> None:
        for job in self.jobs:
            starts = sum(run.task.startswith(job.job_id) for run in history)
            if job.crash_seconds and starts > MAX_CRASHING_STARTS:
                self.problems.append(f"{job.job_id}: {starts} starts crashed their workers")

    def _check_refusals(self, history: list[Any]) -> None:
        ran = {run.task.partition(".")[0] for run in history}
        for job in self.jobs:
            if job.answers and set(job.answers) <= REFUSALS and job.job_id in ran:
                self.problems.append(f"{job.job_id}: refused each time, but it ran")

    def _check_cancels(self, history: list[Any]) -> None:
        cancelled = {job.job_id: job.cancelled_at for job in self.jobs if job.cancelled_at}
        for run in history:
            at = cancelled.get(run.task.partition(".")[0])
            if at is not None and run.began > at + SETTLE_SECONDS / 4:
                self.problems.append(f"{run.task}: began long after its cancel")


def main(
    seed: Annotated[int, typer.Option(help="First seed.")] = 1,
    runs: Annotated[int, typer.Option(min=1, help="Number of seeds.")] = 1,
    seconds: Annotated[float, typer.Option(help="Time with faults, in seconds.")] = FAULT_SECONDS,
    extended: Annotated[
        bool, typer.Option(help="Add silent connections and crashes of workers.")
    ] = False,
    logs: Annotated[
        Path | None, typer.Option(help="Folder for the logs of failed seeds, one folder each.")
    ] = None,
    partitions: Annotated[
        bool, typer.Option(help="Play partitions and freezes under short and long tasks instead.")
    ] = False,
    entries: Annotated[int, typer.Option(min=1, help="Number of entries.")] = ENTRIES,
    agents: Annotated[int, typer.Option(min=1, help="Number of agents.")] = AGENTS,
    copies: Annotated[bool, typer.Option(help="Submit steps that allow copies of tasks.")] = False,
    zone_drains: Annotated[bool, typer.Option(help="Drain zones at random, too.")] = False,
) -> None:
    """Play seeds and print the broken promises of each."""
    failed = 0
    for number in range(seed, seed + runs):
        folder = logs / str(number) if logs else None
        soak = Soak(
            number, seconds, extended, folder, partitions, entries, agents, copies, zone_drains
        )
        problems = soak.run()
        failed += bool(problems)
        accepted = sum(job.accepted for job in soak.jobs)
        print(
            f"seed {number}: {len(soak.jobs)} jobs, {accepted} accepted, {len(problems)} problems"
        )
        for problem in problems[:8]:
            print(f"  {problem}")
        if problems:
            separator = "\n    " if partitions else " "
            print(f"  faults: {separator.join(soak.faults)}", flush=True)
    print(f"{runs - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    typer.run(main)

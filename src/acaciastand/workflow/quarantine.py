"""Quarantine of workers that fail what they start.

Designed for workers that fail every task while they announce themselves as healthy. Each failure
uses up one of the failed runs that a task may have, although the task would succeed elsewhere. A
task without another place is not held back, so that no quarantine outlives its cause for it.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator

from acaciastand.placement.failure_attribution import (
    AttemptOutcome,
    AttemptStart,
    EvidenceBasedAttribution,
)
from acaciastand.placement.quarantine import QuarantineRules
from acaciastand.workflow.catalog import Queue
from acaciastand.workflow.decisions import RecordDecision
from acaciastand.workflow.job import Task
from acaciastand.workflow.limits import STARVING_SECONDS
from acaciastand.workflow.placement import could_hold
from acaciastand.workflow.reports import RunEnd
from acaciastand.workflow.worker import Standing, WorkerView

RULES = QuarantineRules(
    score=2,
    evidence_lifetime_seconds=30.0,
    min_successful_run_seconds=1.0,
    first_probe_pause_seconds=1.5,
    max_probe_pause_seconds=24.0,
    retry_pause_seconds=1.0,
)
URGENT_PRIORITY = 0  # A task of such a queue is no probe while it has another place.
MAX_LOGGED_JOBS = 4  # Failed jobs that are named in the log for one worker.

OUTCOMES: dict[str, AttemptOutcome] = {
    RunEnd.DONE: AttemptOutcome.SUCCEEDED,
    RunEnd.FAILED: AttemptOutcome.FAILED,
}


class WorkerQuarantine:
    """Finds the workers of one owner that fail what they start, and who may use them meanwhile.

    Parameters
    ----------
    record_decision
        Keeps a decision for the log.

    Attributes
    ----------
    attribution
        Evidence on workers and jobs.
    flagged_at
        When each worker that is not trusted lost its standing, by the id of its agent.
    """

    def __init__(self, record_decision: RecordDecision) -> None:
        self.record_decision = record_decision
        self.attribution = EvidenceBasedAttribution(RULES)
        self.flagged_at: dict[str, float] = {}

    # Evidence

    def record_start(self, task: Task, worker: WorkerView, now: float) -> None:
        """Record that a run was assigned; on a worker in quarantine it may be the probe."""
        name = _run_name(task, task.run)
        start = AttemptStart(worker.agent_id, worker.incarnation, name, task.run, now)
        self.attribution.record_start(start)
        if worker.standing is Standing.QUARANTINED:
            worker.is_probe_due = False
            worker.has_probe = True

    def record_listed(self, worker: WorkerView, task: Task, run: int, now: float) -> None:
        """Record that a worker lists a run, which shows after a while that it does not fail it."""
        if self.attribution.has_evidence(worker.agent_id):
            self.attribution.record_running(worker.agent_id, _run_name(task, run), run, now)

    def record_end(self, task: Task, run: int, how: str, now: float) -> None:
        """Record the end of a run; empty or any end but done and failed is no evidence."""
        outcome = OUTCOMES.get(how, AttemptOutcome.UNKNOWN)
        self.attribution.record_end(_run_name(task, run), run, outcome, now)

    # Standing

    def update(self, workers: Collection[WorkerView], now: float) -> None:
        """Set the standing of all workers for the next plan."""
        current = self.attribution.current_quarantine(workers, now)
        if not (current.quarantined or current.suspected or self.flagged_at):
            return
        for worker in workers:
            agent_id = worker.agent_id
            if agent_id in current.quarantined:
                self._set_standing(worker, Standing.QUARANTINED, now)
            elif agent_id in current.suspected:
                self._set_standing(worker, Standing.SUSPECTED, now)
            elif worker.standing is not Standing.TRUSTED:
                self._set_standing(worker, Standing.TRUSTED, now)
            worker.is_probe_due = current.quarantined.get(agent_id, False)
            worker.has_probe = self.attribution.has_probe(agent_id)
            worker.retry_from = current.retry_from.get(agent_id, 0.0)

    def forget_worker(self, agent_id: str) -> None:
        """Forget the standing of a worker that is removed."""
        self.flagged_at.pop(agent_id, None)

    def _set_standing(self, worker: WorkerView, standing: Standing, now: float) -> None:
        if worker.standing is standing:
            return
        worker.standing = standing
        agent_id = worker.agent_id
        if standing is Standing.TRUSTED:
            after_s = round(now - self.flagged_at.pop(agent_id, now), 2)
            self.record_decision("worker trusted again", agent_id, after_s=after_s)
            return
        self.flagged_at.setdefault(agent_id, now)
        jobs = self.attribution.failed_jobs(agent_id)
        what = "worker set aside" if standing is Standing.QUARANTINED else "worker suspected"
        self.record_decision(
            what, agent_id, failed_jobs=jobs[:MAX_LOGGED_JOBS], failed_job_count=len(jobs)
        )

    # Use

    def tiers(
        self,
        task: Task,
        queue: Queue,
        workers: list[WorkerView],
        places: Iterable[WorkerView],
        now: float,
    ) -> Iterator[list[WorkerView]]:
        """Yield the workers that a task may start on, in the order in which they are to be tried.

        Parameters
        ----------
        workers
            Workers to which the task can be assigned now apart from their standing.
        places
            These, and the workers that are closed to it for a moment.
        """
        if not self.flagged_at:
            yield workers
            return
        quarantined = [w for w in workers if w.standing is Standing.QUARANTINED]
        trusted = [w for w in workers if w.standing is Standing.TRUSTED]
        probes = [w for w in quarantined if w.is_probe_due] if _may_probe(task, queue) else []
        yield trusted + probes
        suspected = [w for w in workers if w.standing is Standing.SUSPECTED]
        if suspected or quarantined:
            yield from self._flagged_tiers(task, suspected, quarantined, places, now)

    def _flagged_tiers(
        self,
        task: Task,
        suspected: list[WorkerView],
        quarantined: list[WorkerView],
        places: Iterable[WorkerView],
        now: float,
    ) -> Iterator[list[WorkerView]]:
        """Yield the workers on which a task that finds no other place may fail.

        After a failure there, a task that can be given up waits for a moment. It does not wait for
        the outcome of other tasks if no worker that is trusted could ever hold it.
        """
        trusted = (w for w in places if w.standing is Standing.TRUSTED)
        if not any(could_hold(task.step, worker) for worker in trusted):
            for workers in (suspected, quarantined):
                yield [w for w in workers if not task.failures or now >= w.retry_from]
            return
        due = [w for w in quarantined if now >= w.retry_from]
        is_starving = not task.step.continuous and task.job.idle_seconds(now) >= STARVING_SECONDS
        if task.step.continuous or is_starving or not task.failures:
            yield [w for w in suspected if now >= w.retry_from]
        if task.step.continuous:
            yield due
        elif is_starving:
            yield [w for w in due if not w.has_probe]


def _may_probe(task: Task, queue: Queue) -> bool:
    """Return whether a task may show whether a worker works again although it has another place."""
    if task.failures or task.step.gang or task.crashes:
        return False
    return task.step.continuous or queue.priority > URGENT_PRIORITY


def _run_name(task: Task, run: int) -> str:
    """Return the name of a run for the attribution, which takes the job from its first part."""
    return f"{task.job.job_id}/{task.key}:{run}"

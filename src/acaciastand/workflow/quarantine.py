"""Quarantine of workers that fail what they start.

Designed for workers that fail every task while they announce themselves as healthy. Each failure
uses up one of the failed runs that a task may have, although the task would succeed elsewhere. A
task without another place is not held back, so that no quarantine outlives its cause for it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from acaciastand.placement.failure_attribution import (
    AttemptOutcome,
    AttemptStart,
    EvidenceBasedAttribution,
)
from acaciastand.placement.quarantine import Access, QuarantineRules
from acaciastand.workflow.catalog import Queue
from acaciastand.workflow.crashes import is_suspect
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
    first_retry_pause_seconds=1.0,
    max_retry_pause_seconds=3.0,
    proven_run_seconds=2.0,
)
UPDATE_SECONDS = 0.1  # Longest time between two updates of the standing of the workers.
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
    updated_at
        When the standing of the workers was last set.
    has_changed
        Whether there may be new evidence since.
    """

    def __init__(self, record_decision: RecordDecision) -> None:
        self.record_decision = record_decision
        self.attribution = EvidenceBasedAttribution(RULES)
        self.flagged_at: dict[str, float] = {}
        self.updated_at = float("-inf")
        self.has_changed = False

    # Evidence

    def record_start(self, task: Task, worker: WorkerView, now: float) -> None:
        """Record that a run was assigned; on a worker in quarantine it may be the probe."""
        name = _run_name(task, task.run, worker.agent_id)
        start = AttemptStart(worker.agent_id, worker.incarnation, name, task.run, now)
        self.attribution.record_start(start)
        if worker.standing is not Standing.TRUSTED:
            worker.is_probe_due = False
            if worker.access is Access.ONE:
                worker.access = Access.NONE
            self.has_changed = True

    def record_listed(self, worker: WorkerView, task: Task, run: int, now: float) -> None:
        """Record that a worker lists a run, which shows after a while that it does not fail it."""
        if self.attribution.has_evidence(worker.agent_id, task.job.job_id):
            name = _run_name(task, run, worker.agent_id)
            self.attribution.record_running(worker.agent_id, name, run, now)
            self.has_changed = True

    def record_end(self, task: Task, run: int, agent_id: str, how: str, now: float) -> None:
        """Record the end of a run on a worker; only done and failed are evidence."""
        outcome = OUTCOMES.get(how, AttemptOutcome.UNKNOWN)
        self.attribution.record_end(_run_name(task, run, agent_id), run, outcome, now)
        self.has_changed |= bool(self.flagged_at) or outcome is AttemptOutcome.FAILED

    # Standing

    def update(self, workers: Mapping[str, WorkerView], now: float) -> None:
        """Set the standing of all workers for the next plan, if it may be another."""
        if not self.has_changed and now - self.updated_at < UPDATE_SECONDS:
            return
        self.has_changed = False
        self.updated_at = now
        current = self.attribution.current_quarantine(workers.values(), now)
        for agent_id in {*current.access, *self.flagged_at}:
            worker = workers[agent_id]
            if agent_id in current.quarantined:
                self._set_standing(worker, Standing.QUARANTINED, now)
            elif agent_id in current.suspected:
                self._set_standing(worker, Standing.SUSPECTED, now)
            else:
                self._set_standing(worker, Standing.TRUSTED, now)
            worker.is_probe_due = current.quarantined.get(agent_id, False)
            worker.access = current.access.get(agent_id, Access.NONE)

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

    def trusted(self, task: Task, queue: Queue, workers: Iterable[WorkerView]) -> list[WorkerView]:
        """Return the workers on which a task starts before it starts on any other.

        These are the trusted ones and, for a task that can spare an attempt, those that are due for
        a probe.
        """
        may_probe = _may_probe(task, queue)
        return [
            w for w in workers if w.standing is Standing.TRUSTED or (may_probe and w.is_probe_due)
        ]

    def flagged(
        self, task: Task, workers: Iterable[WorkerView], places: Iterable[WorkerView], now: float
    ) -> list[WorkerView]:
        """Return the flagged workers on which a task may start that found no trusted one.

        Tasks that last cannot use up their attempts, and do not wait for the outcome of others for
        long. Any other may try a worker that is merely suspected while it has not failed, and each
        worker if it has no other place.

        Parameters
        ----------
        workers
            Workers to which the task can be assigned now apart from their standing.
        places
            These, and the workers that are closed to it for a moment.
        """
        flagged = [w for w in workers if w.standing is not Standing.TRUSTED]
        if task.is_held(now):
            return flagged
        accessible = [w for w in flagged if w.access is not Access.NONE]
        if task.step.continuous or self._has_no_other_place(task, places, now):
            return accessible
        if task.failures:
            return []
        return [w for w in accessible if w.standing is Standing.SUSPECTED]

    def _has_no_other_place(self, task: Task, places: Iterable[WorkerView], now: float) -> bool:
        """Return whether a task can wait no longer for a worker that is trusted.

        Either none could ever hold it, or its job has had nothing on a worker for too long.
        """
        trusted = (w for w in places if w.standing is Standing.TRUSTED)
        if not any(could_hold(task.step, worker) for worker in trusted):
            return True
        return task.job.idle_seconds(now) >= STARVING_SECONDS


def _may_probe(task: Task, queue: Queue) -> bool:
    """Return whether a task may show whether a worker works again although it has another place."""
    if task.failures or task.step.gang or is_suspect(task.crashes):
        return False
    return task.step.continuous or queue.priority > URGENT_PRIORITY


def _run_name(task: Task, run: int, agent_id: str) -> str:
    """Return the name of a run for the attribution, which takes the job from its first part."""
    return f"{task.job.job_id}/{task.key}:{run}@{agent_id}"

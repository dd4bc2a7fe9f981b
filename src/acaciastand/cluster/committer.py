"""Storage of job progress under the owner's fence, several jobs in one commit."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent.event import Event

from acaciastand.cluster.clock import now
from acaciastand.cluster.keys import OWNER_KEY, PROGRESS_PREFIX, encode_progress
from acaciastand.cluster.store_availability import StoreAvailability
from acaciastand.coordination.store import StoreAnswerLost, StoreUnavailable
from acaciastand.coordination.transactions import CommitConflict, TransactionalStore
from acaciastand.errors import Conflict
from acaciastand.telemetry.metrics import Metrics
from acaciastand.workflow.job import Job
from acaciastand.workflow.scheduler import Scheduler

# A commit may name 32 keys: each job takes two of them and the owner key one.
MAX_JOBS_PER_COMMIT = 14
GROUP_COMMIT_DELAY_SECONDS = 0.008  # Changes within this time go into one commit.
RETRY_SECONDS = 0.1


class OwnershipLost(Conflict):
    """Another entry owns the jobs now."""

    code = "ownership_lost"


class Committer:
    """Writes changed jobs to the store.

    Parameters
    ----------
    scheduler
        Its dirty jobs are those to store.
    fence
        Revision of the owner key at this owner's claim; a commit fails once it has changed.
    on_stored
        Called after each successful commit with its jobs.

    Attributes
    ----------
    commit_due
        Set by the owner when jobs have changed.
    """

    def __init__(
        self,
        store: TransactionalStore,
        scheduler: Scheduler,
        fence: int,
        metrics: Metrics,
        on_stored: Callable[[list[Job]], None],
    ) -> None:
        self.store = store
        self.scheduler = scheduler
        self.fence = fence
        self.metrics = metrics
        self.on_stored = on_stored
        self.commit_due = Event()
        self.store_availability = StoreAvailability("commits")

    def run(self) -> None:
        """Commit changed jobs whenever `commit_due` is set, until the ownership is lost.

        Raises
        ------
        OwnershipLost
            The owner key has been rewritten since the claim.
        """
        while True:
            self.commit_due.wait()
            gevent.sleep(GROUP_COMMIT_DELAY_SECONDS)
            self.commit_due.clear()
            while self.scheduler.dirty:
                if not self.commit_batch():
                    gevent.sleep(RETRY_SECONDS)

    def commit_batch(self) -> bool:
        """Commit up to `MAX_JOBS_PER_COMMIT` changed jobs.

        Returns
        -------
        bool
            Whether the store answered; False if the call must be repeated after a pause. After a
            conflict the jobs stay dirty and go into a later commit.

        Raises
        ------
        OwnershipLost
            The owner key has been rewritten since the claim.
        """
        jobs = list(self.scheduler.dirty.values())[:MAX_JOBS_PER_COMMIT]
        versions = [job.version for job in jobs]
        puts = {PROGRESS_PREFIX + job.job_id: encode_progress(job.progress()) for job in jobs}
        expected = {PROGRESS_PREFIX + job.job_id: job.revision for job in jobs}
        expected[OWNER_KEY] = self.fence
        started_at = now()
        try:
            revision = self.store.commit(expected, puts)
        except CommitConflict as conflict:
            self._reconcile(conflict, jobs)
            return True
        except (StoreUnavailable, StoreAnswerLost) as error:
            self.store_availability.record_failure(error)
            return False
        self.metrics.observe("commit_seconds", now() - started_at)
        self.store_availability.record_success()
        for job, version in zip(jobs, versions, strict=True):
            job.revision = revision
            self.scheduler.mark_stored(job, version)
        self.on_stored(jobs)
        return True

    def _reconcile(self, conflict: CommitConflict, jobs: list[Job]) -> None:
        """Adopt the revisions that an unanswered commit of this owner has written.

        Raises
        ------
        OwnershipLost
            The owner key has been rewritten since the claim.
        """
        if conflict.current[OWNER_KEY].revision != self.fence:
            raise OwnershipLost("the owner key was rewritten", "stop acting as the owner")
        for job in jobs:
            job.revision = conflict.current[PROGRESS_PREFIX + job.job_id].revision

"""Removal of jobs that ended long ago, from the store and from the owner's memory."""

from __future__ import annotations

import logging

import gevent

from acaciastand.cluster.clock import now_unix
from acaciastand.cluster.keys import CANCELS_PREFIX, JOBS_PREFIX, OWNER_KEY, PROGRESS_PREFIX
from acaciastand.coordination.transactions import TransactionalStore
from acaciastand.errors import AcaciastandError
from acaciastand.workflow.job import Job
from acaciastand.workflow.scheduler import Scheduler

RETENTION_SECONDS = 150.0  # Time for which the state of an ended job can be queried.
REMOVAL_INTERVAL_SECONDS = 10.0
MAX_JOBS_PER_COMMIT = 10  # Each job takes three of the 32 keys that a commit may name.
COMMIT_PAUSE_SECONDS = 0.05  # Pause between two commits of one round.

logger = logging.getLogger(__name__)


class JobRetention:
    """Removes ended jobs once their retention time has passed.

    Parameters
    ----------
    fence
        Revision of the owner key at this owner's claim; a removal fails once it has changed.
    """

    def __init__(self, store: TransactionalStore, scheduler: Scheduler, fence: int) -> None:
        self.store = store
        self.scheduler = scheduler
        self.fence = fence

    def remove_forever(self) -> None:
        """Remove expired jobs every `REMOVAL_INTERVAL_SECONDS`."""
        while True:
            gevent.sleep(REMOVAL_INTERVAL_SECONDS)
            self.remove_expired()

    def remove_expired(self) -> None:
        """Remove all jobs whose end is stored and older than `RETENTION_SECONDS`."""
        limit = now_unix() - RETENTION_SECONDS
        expired = [
            job
            for job in self.scheduler.jobs.values()
            if job.ended_unix and job.ended_unix < limit and job.stored_version == job.version
        ]
        for first in range(0, len(expired), MAX_JOBS_PER_COMMIT):
            self._remove_jobs(expired[first : first + MAX_JOBS_PER_COMMIT])
            gevent.sleep(COMMIT_PAUSE_SECONDS)

    def _remove_jobs(self, jobs: list[Job]) -> None:
        keys = [
            prefix + job.job_id
            for job in jobs
            for prefix in (JOBS_PREFIX, CANCELS_PREFIX, PROGRESS_PREFIX)
        ]
        try:
            self.store.commit({OWNER_KEY: self.fence}, {}, keys)
        except AcaciastandError as error:
            logger.warning("ended jobs not removed", extra={"error": str(error)})
            return
        for job in jobs:
            self.scheduler.remove_job(job.job_id)

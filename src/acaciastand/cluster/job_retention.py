"""Removal of jobs that ended long ago, from the store and from memory."""

from __future__ import annotations

import logging

import gevent

from acaciastand.cluster.clock import now_unix
from acaciastand.cluster.keys import CANCELS_PREFIX, JOBS_PREFIX, OWNER_KEY, PROGRESS_PREFIX
from acaciastand.coordination.transactions import TransactionalStore
from acaciastand.errors import AcaciastandError
from acaciastand.workflow.job import Job
from acaciastand.workflow.scheduler import Scheduler

RETENTION_SECONDS = 150.0  # ended jobs can be asked for this long
REMOVAL_INTERVAL_SECONDS = 10.0  # between two rounds
MAX_JOBS_PER_COMMIT = 10  # jobs removed in one commit of at most 32 entries; three keys each
COMMIT_PAUSE_SECONDS = 0.05  # between two such commits

logger = logging.getLogger(__name__)


class JobRetention:
    """Removes ended jobs under the owner's fence.

    Parameters
    ----------
    fence
        Revision of the owner key at this owner's claim.
    """

    def __init__(self, store: TransactionalStore, scheduler: Scheduler, fence: int) -> None:
        self.store = store
        self.scheduler = scheduler
        self.fence = fence

    def remove_forever(self) -> None:
        """Remove old jobs again and again."""
        while True:
            gevent.sleep(REMOVAL_INTERVAL_SECONDS)
            self.remove_expired()

    def remove_expired(self) -> None:
        """Remove all jobs that ended long ago."""
        limit = now_unix() - RETENTION_SECONDS
        old = [
            job
            for job in self.scheduler.jobs.values()
            if job.ended_unix and job.ended_unix < limit and job.durable_version == job.version
        ]
        for first in range(0, len(old), MAX_JOBS_PER_COMMIT):
            self._remove_jobs(old[first : first + MAX_JOBS_PER_COMMIT])
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
            logger.warning("old jobs not removed", extra={"error": str(error)})
            return
        for job in jobs:
            self.scheduler.forget(job.job_id)

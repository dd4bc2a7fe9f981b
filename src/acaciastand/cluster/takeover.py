"""What a new owner reads from the store."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from acaciastand.cluster.keys import (
    AGENTS_PREFIX,
    CANCELS_PREFIX,
    INBOX_PREFIX,
    JOBS_PREFIX,
    PROGRESS_PREFIX,
    StoredItemUnreadable,
    load_job,
)
from acaciastand.coordination.transactions import Item, Listing, TransactionalStore
from acaciastand.record import Record
from acaciastand.workflow.job import Job


class StoredState(Record):
    """Registrations, submissions and cancellations, and the progress of the jobs.

    Parameters
    ----------
    agents, inbox, progress
        The items below the prefixes of that name.
    """

    __slots__ = ("agents", "inbox", "progress")

    def __init__(self, agents: Listing, inbox: Listing, progress: Listing) -> None:
        self.agents = agents
        self.inbox = inbox
        self.progress = progress

    @classmethod
    def read(cls, store: TransactionalStore) -> StoredState:
        """Return what is stored.

        Raises
        ------
        StoreUnavailable, StoreAnswerLost
            Some of it cannot be read.
        """
        return cls(store.list(AGENTS_PREFIX), store.list(INBOX_PREFIX), store.list(PROGRESS_PREFIX))

    def jobs(self, on_ignored: Callable[[Exception], None]) -> Iterator[tuple[Item, Job]]:
        """Yield the submission of each job, and the job with its progress.

        `on_ignored` is called with the error of each job that cannot be decoded.
        """
        progress = {item.key[len(PROGRESS_PREFIX) :]: item for item in self.progress.items}
        for item in self.inbox.items:
            if not item.key.startswith(JOBS_PREFIX):
                continue
            job_id = item.key[len(JOBS_PREFIX) :]
            try:
                yield item, load_job(job_id, item, progress.get(job_id))
            except StoredItemUnreadable as error:
                on_ignored(error)

    @property
    def cancels(self) -> list[Item]:
        """Cancellations of jobs."""
        return [item for item in self.inbox.items if item.key.startswith(CANCELS_PREFIX)]

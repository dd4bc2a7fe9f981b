"""Submissions, cancellations and queries of jobs, which any entry accepts.

The entry that receives a submission or cancellation writes it to the store itself, so that these
calls do not depend on the owner. The owner receives them in a message or from its watch.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import gevent

from acaciastand.checks import MALFORMED, check_integer, check_text
from acaciastand.cluster.clock import now, now_unix
from acaciastand.cluster.election import CONFIRMATION_VALID_SECONDS
from acaciastand.cluster.keys import (
    CANCELS_PREFIX,
    JOBS_PREFIX,
    PROGRESS_PREFIX,
    encode_fields,
    encode_job,
    load_job,
)
from acaciastand.cluster.owner import Owner
from acaciastand.cluster.peers import PeerLink
from acaciastand.cluster.unanswered_writes import UnansweredWrites
from acaciastand.coordination.store import StoreAnswerLost, StoreUnavailable
from acaciastand.coordination.transactions import CommitConflict, Item, TransactionalStore
from acaciastand.errors import AcaciastandError, NotFound, OutcomeUnknown, Refused
from acaciastand.workflow.job import Job, JobState
from acaciastand.workflow.spec import WorkflowSpec

# Longest age of the number of waiting jobs that callers are given.
MAX_WAITING_JOBS_AGE_SECONDS = 2.0
# Age from which this entry asks the owner again.
WAITING_JOBS_REFRESH_SECONDS = 0.3
RETRY_SECONDS = 0.08  # Pause before a call to the store is repeated.
OWNER_TIMEOUT_SECONDS = 0.5  # Time to wait for the owner before the store is read instead.
# Value of the header Retry-After, which holds whole seconds. An outage may end at any moment.
RETRY_AFTER_SECONDS = 1
# Time for a commit from this entry and one through a peer, after which the caller is answered.
MAX_WRITE_SECONDS = 1.3
# Longest time to read the store before a job is refused; the caller waits for the answer.
MAX_REFUSAL_READ_SECONDS = 0.1

# Names of the calls to the owner.
JOB_STATE_CALL = "state"
INBOX_ITEM_CALL = "notice"
WAITING_JOBS_CALL = "waiting"

logger = logging.getLogger(__name__)


class JobApiUnavailable(Refused):
    """Nothing was written, and neither this entry nor a peer reaches the store."""

    code = "intake_unavailable"


class JobUnknown(NotFound):
    """No job with this id was ever accepted, or it ended long ago."""

    code = "job_unknown"
    http_status = 410


class JobApi:
    """Accepts submissions and cancellations and answers queries.

    Parameters
    ----------
    store
        Store that calls reach through other entries too.
    owner
        Returns the current term of ownership of this entry; None if it is not the owner.
    owner_link
        Returns the connection to the owner; None if there is none.

    Attributes
    ----------
    waiting_jobs
        Number of jobs that have not begun, by queue, as the owner last reported.
    waiting_jobs_at
        When the owner was last asked for them and answered.
    unanswered
        Writes that have begun and have no known outcome.
    """

    def __init__(
        self,
        store: TransactionalStore,
        owner: Callable[[], Owner | None],
        owner_link: Callable[[], PeerLink | None],
    ) -> None:
        self.store = store
        self.owner = owner
        self.owner_link = owner_link
        self.waiting_jobs: dict[str, int] = {}
        self.waiting_jobs_at = float("-inf")
        self.unanswered = UnansweredWrites()

    def may_be_stored(self, job_id: str) -> bool:
        """Return whether an earlier attempt may have stored a job.

        That is assumed unless a direct read of the store shows otherwise within
        `MAX_REFUSAL_READ_SECONDS`, and while an attempt has no answer.
        """
        key = JOBS_PREFIX + job_id
        if key in self.unanswered:
            return True
        read = gevent.spawn(self._may_be_written, key)
        read.join(MAX_REFUSAL_READ_SECONDS)
        return not read.successful() or bool(read.value) or key in self.unanswered

    def _may_be_written(self, key: str) -> bool:
        try:
            return bool(self.store.get_directly(key).revision)
        except (StoreUnavailable, StoreAnswerLost) as error:
            logger.info("submission not read", extra={"key": key, "error": str(error)})
            return True

    def submit(self, job_id: str, queue: str, spec: WorkflowSpec, deadline: float) -> None:
        """Store a job; a repeated call with the same id changes nothing.

        Parameters
        ----------
        job_id, queue, spec
            Id chosen by the caller, name of the queue, and the submitted job.
        deadline
            Time on the clock of `now` until which an unanswered write is repeated.

        Raises
        ------
        JobApiUnavailable
            This call has not stored the job and never will.
        OutcomeUnknown
            The job may have been stored.
        """
        job = Job(job_id, queue, spec, now_unix())
        self._create_key(JOBS_PREFIX + job_id, encode_job(job), deadline)

    def cancel(self, job_id: str, deadline: float) -> None:
        """Cancel a job.

        Raises
        ------
        JobUnknown
            No job with this id is stored.
        JobApiUnavailable, OutcomeUnknown
            As in `submit`.
        """
        if self.state(job_id, deadline) is None:
            raise JobUnknown(f"there is no job {job_id}", "check the job id")
        self._create_key(CANCELS_PREFIX + job_id, encode_fields(now_unix()), deadline)

    def state(self, job_id: str, deadline: float) -> JobState | None:
        """Return the state of a job, or None if no such job is stored.

        Raises
        ------
        JobApiUnavailable
            Neither the owner nor the store can be reached.
        """
        owner_state = self._state_from_owner(job_id)
        if owner_state is not None:
            return owner_state
        while True:
            try:
                return self._state_from_store(job_id)
            except StoreUnavailable as error:
                if now() + RETRY_SECONDS >= deadline:
                    raise JobApiUnavailable(
                        f"the state of job {job_id} cannot be read", "ask again later"
                    ) from error
            gevent.sleep(RETRY_SECONDS)
            owner_state = self._state_from_owner(job_id)
            if owner_state is not None:
                return owner_state

    def count_waiting(self, queue: str) -> int:
        """Return how many jobs of a queue have not begun.

        The number is at most `MAX_WAITING_JOBS_AGE_SECONDS` old.

        Raises
        ------
        Refused
            No owner that knows all accepted jobs has answered lately.
        """
        owner = self.owner()
        if owner is not None and owner.is_ready:
            return owner.count_waiting().get(queue, 0)
        if now() - self.waiting_jobs_at > WAITING_JOBS_REFRESH_SECONDS:
            self._refresh_waiting_jobs()
        # What the owner counts may be as old as the last heartbeat that it stored.
        max_age_seconds = MAX_WAITING_JOBS_AGE_SECONDS - CONFIRMATION_VALID_SECONDS
        if now() - self.waiting_jobs_at > max_age_seconds:
            raise JobApiUnavailable(
                "no owner has counted the waiting jobs lately", "ask again later"
            )
        return self.waiting_jobs.get(queue, 0)

    def _refresh_waiting_jobs(self) -> None:
        link = self.owner_link()
        if link is None:
            return
        asked_at = now()
        try:
            counts = link.call(WAITING_JOBS_CALL, {}, OWNER_TIMEOUT_SECONDS)
            self.waiting_jobs = {check_text(q): check_integer(n) for q, n in counts.items()}
            self.waiting_jobs_at = asked_at
        except (AcaciastandError, *MALFORMED) as error:
            logger.info("owner did not report the waiting jobs", extra={"error": str(error)})

    def _create_key(self, key: str, value: bytes, deadline: float) -> None:
        """Create a key and notify the owner; a key that exists already counts as created.

        Raises
        ------
        JobApiUnavailable
            The key was not written.
        OutcomeUnknown
            The key may have been written.
        """
        deadline = min(deadline, now() + MAX_WRITE_SECONDS)
        may_be_written = False
        self.unanswered.begin(key)
        while True:
            try:
                revision = self.store.commit({key: 0}, {key: value})
            except CommitConflict as conflict:
                revision = conflict.current[key].revision
            except StoreAnswerLost as error:
                may_be_written = True
                revision = 0
                logger.info("commit unanswered", extra={"key": key, "error": str(error)})
            except StoreUnavailable as error:
                revision = 0
                logger.info("store turned away", extra={"key": key, "error": str(error)})
                if not may_be_written:
                    self.unanswered.end(key)
                    raise JobApiUnavailable(
                        "the store cannot be reached", "send it again"
                    ) from error
            if revision:
                self.unanswered.end(key)
                return self._notify_owner(Item(key, value, revision))
            if now() + RETRY_SECONDS >= deadline:
                raise OutcomeUnknown("the outcome of the write is unknown", "send it again")
            gevent.sleep(RETRY_SECONDS)

    def _notify_owner(self, item: Item) -> None:
        owner = self.owner()
        if owner is not None and owner.is_ready:
            owner.apply_item(item)
            return
        link = self.owner_link()
        if link is not None:
            payload = {"key": item.key, "value": item.value, "revision": item.revision}
            gevent.spawn(_send_inbox_item, link, payload)

    def _state_from_owner(self, job_id: str) -> JobState | None:
        """Return the state that the owner reports; None if it does not answer or know the job."""
        owner = self.owner()
        if owner is not None and owner.is_ready:
            return owner.job_state(job_id)
        link = self.owner_link()
        if link is None:
            return None
        try:
            reply = link.call(JOB_STATE_CALL, {"job_id": job_id}, OWNER_TIMEOUT_SECONDS)
            return JobState(reply["state"]) if reply["state"] else None
        except (AcaciastandError, *MALFORMED) as error:
            logger.info(
                "owner did not report the job state", extra={"job": job_id, "error": str(error)}
            )
            return None

    def _state_from_store(self, job_id: str) -> JobState | None:
        submission = self.store.get(JOBS_PREFIX + job_id)
        if not submission.revision:
            return None
        if self.store.get(CANCELS_PREFIX + job_id).revision:
            return JobState.CANCELLED
        progress = self.store.get(PROGRESS_PREFIX + job_id)
        job = load_job(job_id, submission, progress if progress.revision else None)
        return job.state


def _send_inbox_item(link: PeerLink, payload: dict[str, Any]) -> None:
    try:
        link.call(INBOX_ITEM_CALL, payload, OWNER_TIMEOUT_SECONDS)
    except AcaciastandError as error:
        logger.info("owner not notified", extra={"key": payload["key"], "error": str(error)})

"""Choice of the next call to the worker for a task, from the state of its attempt."""

from __future__ import annotations

from acaciastand.host.attempts import (
    Attempt,
    AttemptResult,
    AttemptState,
    WorkerCommand,
    WorkerCommandKind,
)

# A lease at the worker is renewed when less than this share of the grant's length is left of it.
LEASE_RENEWAL_SHARE = 2 / 3
# Commands that carry the end of the grant as the new lease.
LEASING_KINDS = (WorkerCommandKind.START, WorkerCommandKind.RENEW, WorkerCommandKind.RESUME)


def next_command(attempt: Attempt, now: float) -> WorkerCommand | None:
    """Return the call to make to the worker now and record it as in progress; None for none."""
    if attempt.command_in_progress:
        return None
    kind = _next_kind(attempt, now)
    if kind is None:
        return None
    attempt.command_in_progress = True
    if kind in LEASING_KINDS:
        attempt.lease_until = attempt.valid_until
    return WorkerCommand(
        kind,
        attempt.task_id,
        attempt.number,
        attempt.valid_until,
        attempt.keep_progress,
        attempt.limit_cores,
    )


def _next_kind(attempt: Attempt, now: float) -> WorkerCommandKind | None:
    expired = now >= attempt.valid_until
    if attempt.state is AttemptState.STOPPING:
        return WorkerCommandKind.STOP
    if attempt.state is AttemptState.STARTING:
        return _start_kind(attempt, expired)
    if attempt.state is AttemptState.RUNNING and expired:
        attempt.state = AttemptState.PAUSED
        return WorkerCommandKind.PAUSE
    # The worker's clock is estimated low, so a lease ends before its grant by up to the
    # duration of a status call. A resume for the remaining time would end in another pause.
    if attempt.state is AttemptState.PAUSED and not expired and attempt.outlasts_lease:
        attempt.state = AttemptState.RUNNING
        return WorkerCommandKind.RESUME
    if attempt.state is not AttemptState.RUNNING:
        return None
    is_due = attempt.lease_until - now < attempt.grant.grant_seconds * LEASE_RENEWAL_SHARE
    if is_due and attempt.outlasts_lease:
        # Renewed before a throttle call is made, which may fail repeatedly.
        return WorkerCommandKind.RENEW
    return _pressure_kind(attempt)


def _pressure_kind(attempt: Attempt) -> WorkerCommandKind | None:
    if attempt.limit_cores != attempt.limit_sent:
        return WorkerCommandKind.THROTTLE
    if attempt.checkpoint_requested:
        attempt.checkpoint_requested = False
        return WorkerCommandKind.CHECKPOINT
    return None


def _start_kind(attempt: Attempt, expired: bool) -> WorkerCommandKind | None:
    if not expired:
        attempt.start_sent = True
        return WorkerCommandKind.START
    attempt.stop_result = AttemptResult.EVICTED
    attempt.begin_stop(keep_progress=True)
    return WorkerCommandKind.STOP if attempt.state is AttemptState.STOPPING else None

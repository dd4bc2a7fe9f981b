"""Stable reasons of refusals and retries; each one has its own counter."""

from __future__ import annotations

from enum import StrEnum


class Reason(StrEnum):
    """Why work was refused or tried again."""

    # At the agent; nothing has run.
    NO_SLOT = "no_slot"
    NO_CONNECTION = "no_connection"
    DRAINING = "draining"
    RECOVERING = "recovering"
    TARGET_DOWN = "target_down"
    UNKNOWN_SERVICE = "unknown_service"
    DEADLINE_TOO_SHORT = "deadline_too_short"
    DEADLINE_PASSED = "deadline_passed"
    OVER_CAPACITY = "over_capacity"
    STALE_GRANT = "stale_grant"
    STALE_EPOCH = "stale_epoch"
    OLD_ATTEMPT = "old_attempt"
    EARLIER_ATTEMPT_HELD = "earlier_attempt_held"
    BUCKET_NOT_HELD = "bucket_not_held"
    WORKER_UNAVAILABLE = "worker_unavailable"
    BODY_TOO_LARGE = "body_too_large"
    LEDGER_FULL = "ledger_full"
    SHEDDING = "shedding"

    # At the entry; nothing has run.
    NO_TARGET = "no_target"
    QUEUE_FULL = "queue_full"
    RETRY_BUDGET_SPENT = "retry_budget_spent"
    NO_OWNER = "no_owner"
    STORE_UNAVAILABLE = "store_unavailable"
    SHARD_FULL = "shard_full"
    NEVER_FITS = "never_fits"
    QUOTA_EXCEEDED = "quota_exceeded"
    FORWARD_LIMIT = "forward_limit"

    # The work may have run.
    CONNECTION_LOST = "connection_lost"
    TIMED_OUT = "timed_out"
    KEY_FORGOTTEN = "key_forgotten"
    HOME_MOVED = "home_moved"
    TARGET_BROKE_OFF = "target_broke_off"
    DUPLICATE_REQUEST = "duplicate_request"

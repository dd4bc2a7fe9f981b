"""Quarantine of workers that fail what they start: its limits, and its state at one moment."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import Protocol

from acaciastand.record import Record

# Defaults of the limits, which suit attempts of minutes.
SCORE_TO_QUARANTINE = 3
MAX_QUARANTINED_SHARE = 0.34
EVIDENCE_LIFETIME_SECONDS = 600.0
MIN_SUCCESSFUL_RUN_SECONDS = 10.0
FIRST_PROBE_PAUSE_SECONDS = 5.0
MAX_PROBE_PAUSE_SECONDS = 300.0
FIRST_RETRY_PAUSE_SECONDS = 2.0
MAX_RETRY_PAUSE_SECONDS = 10.0
PROVEN_RUN_SECONDS = 5.0


class Access(Enum):
    """How many tasks without another place may start on a flagged worker now."""

    NONE = "none"
    ONE = "one"
    ANY = "any"


class QuarantineSubject(Protocol):
    """A worker as far as the quarantine needs to know it."""

    @property
    def agent_id(self) -> str:
        """Id of the agent beside the worker."""

    @property
    def incarnation(self) -> str:
        """Text that changes when the worker restarts; empty if it is not known."""

    @property
    def redundancy_group(self) -> str:
        """Workers with the same text can stand in for each other."""


class QuarantineRules(Record):
    """Limits of a quarantine.

    Parameters
    ----------
    score
        Score at which a worker is flagged, see `EvidenceBasedAttribution`.
    max_share
        Share of the workers of a redundancy group that can be quarantined; the number is rounded
        down.
    evidence_lifetime_seconds
        Age at which failures of a worker that is not flagged are forgotten.
    min_successful_run_seconds, max_successful_run_seconds
        Limits of the time after which a run that goes on counts as a success of its worker. From
        the longer one on it counts as a success of its job too.
    first_probe_pause_seconds, max_probe_pause_seconds
        Pause before the first probe, and the longest one. It doubles after each probe that failed.
    first_retry_pause_seconds, max_retry_pause_seconds
        Pause before one task without another place may start on a flagged worker, and the longest
        one. It doubles after each failure of a run that began there since the worker was flagged.
    proven_run_seconds
        Once a probe, or such a task, has gone on for this long, further tasks without another place
        may start beside it.
    """

    __slots__ = (
        "score",
        "max_share",
        "evidence_lifetime_seconds",
        "min_successful_run_seconds",
        "max_successful_run_seconds",
        "first_probe_pause_seconds",
        "max_probe_pause_seconds",
        "first_retry_pause_seconds",
        "max_retry_pause_seconds",
        "proven_run_seconds",
    )

    def __init__(
        self,
        score: int = SCORE_TO_QUARANTINE,
        max_share: float = MAX_QUARANTINED_SHARE,
        evidence_lifetime_seconds: float = EVIDENCE_LIFETIME_SECONDS,
        min_successful_run_seconds: float = MIN_SUCCESSFUL_RUN_SECONDS,
        max_successful_run_seconds: float = MIN_SUCCESSFUL_RUN_SECONDS,
        first_probe_pause_seconds: float = FIRST_PROBE_PAUSE_SECONDS,
        max_probe_pause_seconds: float = MAX_PROBE_PAUSE_SECONDS,
        first_retry_pause_seconds: float = FIRST_RETRY_PAUSE_SECONDS,
        max_retry_pause_seconds: float = MAX_RETRY_PAUSE_SECONDS,
        proven_run_seconds: float = PROVEN_RUN_SECONDS,
    ) -> None:
        self.score = score
        self.max_share = max_share
        self.evidence_lifetime_seconds = evidence_lifetime_seconds
        self.min_successful_run_seconds = min_successful_run_seconds
        self.max_successful_run_seconds = max_successful_run_seconds
        self.first_probe_pause_seconds = first_probe_pause_seconds
        self.max_probe_pause_seconds = max_probe_pause_seconds
        self.first_retry_pause_seconds = first_retry_pause_seconds
        self.max_retry_pause_seconds = max_retry_pause_seconds
        self.proven_run_seconds = proven_run_seconds


class Quarantine(Record):
    """Workers that are currently flagged as failing.

    Parameters
    ----------
    quarantined
        Agents that are assigned only probes and tasks without another place, each with whether it
        may be assigned a probe now.
    suspected
        Flagged agents beyond the largest quarantined share of their group. They stay in use, but
        not for urgent tasks and tasks that have failed.
    access
        How many tasks without another place may start on each flagged agent now.
    """

    __slots__ = ("quarantined", "suspected", "access")

    def __init__(
        self,
        quarantined: Mapping[str, bool] | None = None,
        suspected: frozenset[str] = frozenset(),
        access: Mapping[str, Access] | None = None,
    ) -> None:
        self.quarantined = quarantined or {}
        self.suspected = suspected
        self.access = access or {}

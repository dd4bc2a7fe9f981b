"""Log lines about the loss and the return of the store, one each per component of a daemon."""

from __future__ import annotations

import logging

from acaciastand.cluster.clock import now
from acaciastand.errors import AcaciastandError

logger = logging.getLogger(__name__)


class StoreAvailability:
    """Whether the store calls of one component succeed at present.

    Parameters
    ----------
    part
        Name of the component in the log.

    Attributes
    ----------
    lost_at
        When calls began to fail; None while they succeed.
    """

    __slots__ = ("part", "lost_at")

    def __init__(self, part: str) -> None:
        self.part = part
        self.lost_at: float | None = None

    @property
    def is_lost(self) -> bool:
        """Whether the last call failed."""
        return self.lost_at is not None

    def record_failure(self, error: AcaciastandError) -> None:
        """Record a failed call; the first one after a success is logged."""
        if self.lost_at is None:
            self.lost_at = now()
            logger.warning("store lost", extra={"part": self.part, "error": str(error)})

    def record_success(self) -> None:
        """Record a successful call; the first one after a failure is logged."""
        if self.lost_at is not None:
            away_s = round(now() - self.lost_at, 2)
            self.lost_at = None
            logger.info("store regained", extra={"part": self.part, "away_s": away_s})

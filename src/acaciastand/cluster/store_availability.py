"""Log lines on the loss and return of the store, one each, for the parts of an entry."""

from __future__ import annotations

import logging

from acaciastand.cluster.clock import now
from acaciastand.errors import AcaciastandError

logger = logging.getLogger(__name__)


class StoreAvailability:
    """Whether one part of an entry reaches the store.

    Parameters
    ----------
    part
        Name of the part in the log.

    Attributes
    ----------
    lost_at
        When it lost the store; None while its calls succeed.
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
        """Take note of a call that failed."""
        if self.lost_at is None:
            self.lost_at = now()
            logger.warning("store lost", extra={"part": self.part, "error": str(error)})

    def record_success(self) -> None:
        """Take note of a call that succeeded."""
        if self.lost_at is not None:
            away_s = round(now() - self.lost_at, 2)
            self.lost_at = None
            logger.info("store regained", extra={"part": self.part, "away_s": away_s})

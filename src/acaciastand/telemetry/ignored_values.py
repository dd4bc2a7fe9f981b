"""Log and count of values from elsewhere that cannot be decoded and are skipped."""

from __future__ import annotations

import logging
from collections.abc import Callable

from acaciastand.telemetry.metrics import Metrics

REPEAT_SECONDS = 60.0  # The same error is logged again after this long.
MAX_REMEMBERED = 256  # Errors that are remembered, so that they are not logged each time.

logger = logging.getLogger(__name__)


class IgnoredValues:
    """Counts each value that is skipped, and logs it unless it was logged a moment ago.

    Parameters
    ----------
    metrics
        Metrics of the process.
    clock
        Returns seconds of a clock that never goes back.
    """

    def __init__(self, metrics: Metrics, clock: Callable[[], float]) -> None:
        self.metrics = metrics
        self.clock = clock
        self.logged_at: dict[str, float] = {}

    def record(self, source: str, error: Exception) -> None:
        """Record a skipped value.

        Parameters
        ----------
        source
            Where the value was read: a prefix of the store, or the kind of message.
        error
            Tells what was wrong with it.
        """
        self.metrics.count("values_ignored", source)
        text = f"{source}: {error or type(error).__name__}"
        now = self.clock()
        if now - self.logged_at.get(text, float("-inf")) < REPEAT_SECONDS:
            return
        if len(self.logged_at) >= MAX_REMEMBERED:
            self.logged_at.clear()
        self.logged_at[text] = now
        logger.error("value ignored", extra={"source": source, "error": text})

    def recorder(self, source: str) -> Callable[[Exception], None]:
        """Return a function that records the error of a value from `source`."""
        return lambda error: self.record(source, error)

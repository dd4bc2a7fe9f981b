"""Measures the delay of a daemon's event loop."""

from __future__ import annotations

import logging

import gevent

from acaciastand.cluster.clock import now
from acaciastand.telemetry.metrics import Metrics

INTERVAL_SECONDS = 0.5  # Interval between two measurements.
WARNING_SECONDS = 1.0  # A longer delay is logged.

logger = logging.getLogger(__name__)


def measure_loop_lag(metrics: Metrics) -> None:
    """Record the delay of a timer until the greenlet is killed, and log long delays."""
    while True:
        slept_at = now()
        gevent.sleep(INTERVAL_SECONDS)
        lag_seconds = max(0.0, now() - slept_at - INTERVAL_SECONDS)
        metrics.observe("loop_lag_seconds", lag_seconds)
        if lag_seconds >= WARNING_SECONDS:
            logger.warning("event loop delayed", extra={"seconds": round(lag_seconds, 3)})

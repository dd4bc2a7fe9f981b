"""Requests of the owner to the operators' placement service, one at a time."""

from __future__ import annotations

import logging

import gevent
from gevent.event import Event

from acaciastand.cluster.clock import now, now_unix
from acaciastand.errors import AcaciastandError
from acaciastand.telemetry.metrics import Metrics
from acaciastand.workflow.advice import PlacementAdvisor
from acaciastand.workflow.scheduler import Scheduler

POLL_SECONDS = 0.03  # Interval between checks for a step that needs advice.
RETRY_SECONDS = 0.1  # Pause after a failed call to the placement service.
# Time to wait for the placement service beyond the time that it takes to decide.
MARGIN_SECONDS = 1.0

logger = logging.getLogger(__name__)


def advise_forever(
    advisor: PlacementAdvisor, scheduler: Scheduler, metrics: Metrics, plan_due: Event
) -> None:
    """Ask for the advice that waiting steps need until the greenlet is killed.

    Parameters
    ----------
    advisor
        Placement service.
    scheduler
        Scheduler that names the next request and gets the advice.
    plan_due
        Set after each advice.
    """
    while True:
        request = scheduler.next_advice_request(now(), now_unix())
        if request is None:
            gevent.sleep(POLL_SECONDS)
            continue
        requested_at = now()
        seconds = request.response_seconds + MARGIN_SECONDS
        try:
            advice = advisor.advise(request.step, request.worker_ids, seconds)
        except AcaciastandError as error:
            metrics.count("advice", "failed")
            logger.warning("no advice", extra={"step": request.step, "error": str(error)})
            gevent.sleep(RETRY_SECONDS)
            continue
        metrics.count("advice", "answered")
        scheduler.record_advice(request, advice, requested_at)
        plan_due.set()

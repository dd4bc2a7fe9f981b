"""HTTP interface for callers.

A single sink receives all requests, since the operators choose the hosts and paths of the queues.
"""

from __future__ import annotations

import logging
import math
from typing import Any

import falcon

from acaciastand.cluster.admission_control import AdmissionControl, JobRefused
from acaciastand.cluster.catalog_copy import CatalogCopy
from acaciastand.cluster.clock import now
from acaciastand.cluster.job_api import RETRY_AFTER_SECONDS, JobApi
from acaciastand.cluster.keys import JOB_ID
from acaciastand.errors import AcaciastandError, InvalidInput, NotFound, Outcome
from acaciastand.platform.operator import DEADLINE_HEADER, decode_job
from acaciastand.telemetry.metrics import Metrics
from acaciastand.workflow.catalog import Catalog, Queue

DEFAULT_DEADLINE_SECONDS = 3.0
# Part of a caller's deadline that is left for the response to arrive.
RESPONSE_MARGIN_SECONDS = 0.25
MAX_DEADLINE_SECONDS = 30.0
GONE = "410 Gone"

logger = logging.getLogger(__name__)


class CallerSink:
    """Falcon sink that answers submissions, cancellations and queries.

    Parameters
    ----------
    job_api
        Carries out the calls.
    admission
        Decides which jobs are refused for lack of room.
    configuration
        Copy of the operators' configuration.
    """

    def __init__(
        self,
        job_api: JobApi,
        admission: AdmissionControl,
        configuration: CatalogCopy,
        metrics: Metrics,
    ) -> None:
        self.job_api = job_api
        self.admission = admission
        self.configuration = configuration
        self.metrics = metrics

    def __call__(self, req: falcon.Request, resp: falcon.Response, **_parameters: Any) -> None:
        """Answer one request, and measure and log it."""
        received_at = now()
        try:
            self._dispatch(req, resp, received_at + timeout_seconds(req))
        except AcaciastandError as error:
            self._write_error(error, resp)
        status = str(resp.status)[:3]
        self.metrics.observe("request_seconds", now() - received_at, req.method)
        self.metrics.count("requests", f"{req.method}.{status}")
        logger.info(
            "answered",
            extra={
                "job": req.path.rpartition("/")[2],
                "method": req.method,
                "status": status,
                "ms": round((now() - received_at) * 1000, 1),
                "config": self.configuration.version or None,
                "config_age_s": round(self.configuration.age_seconds, 2),
            },
        )

    def _dispatch(
        self, request: falcon.Request, response: falcon.Response, deadline: float
    ) -> None:
        catalog = self.configuration.catalog
        if catalog is None:
            response.status = falcon.HTTP_503
            response.set_header("Retry-After", str(RETRY_AFTER_SECONDS))
            return
        queue = catalog.find_queue(request.host, request.path)
        job_id = request.path[len(queue.prefix) :] if queue else ""
        if queue is None or (job_id and not JOB_ID.fullmatch(job_id)):
            raise NotFound(
                f"no queue serves {request.host}{request.path}", "check the host and the path"
            )
        if request.method == "GET":
            self._get(queue, job_id, response, deadline)
        elif request.method == "POST" and job_id:
            self._post(queue, job_id, request, response, catalog, deadline)
        elif request.method == "DELETE" and job_id:
            self.job_api.cancel(job_id, deadline)
        else:
            response.status = falcon.HTTP_405

    def _get(self, queue: Queue, job_id: str, response: falcon.Response, deadline: float) -> None:
        if not job_id:
            response.media = {"waiting": self.job_api.count_waiting(queue.name)}
            return
        state = self.job_api.state(job_id, deadline)
        if state is None:
            response.status = GONE
        else:
            response.media = {"state": state.value}

    def _post(
        self,
        queue: Queue,
        job_id: str,
        request: falcon.Request,
        response: falcon.Response,
        catalog: Catalog,
        deadline: float,
    ) -> None:
        body = request.bounded_stream.read(catalog.max_body_bytes + 1)
        if len(body) > catalog.max_body_bytes:
            raise InvalidInput(
                "the request body is too large", f"send at most {catalog.max_body_bytes} bytes"
            )
        spec = decode_job(body)
        self.admission.check(job_id, queue, spec)
        self.job_api.submit(job_id, queue.name, spec, deadline)
        response.media = {}

    def _write_error(self, error: AcaciastandError, response: falcon.Response) -> None:
        response.status = falcon.code_to_http_status(error.http_status)
        response.media = {"error": error.code, "message": error.message, "remedy": error.remedy}
        if isinstance(error, JobRefused):
            response.set_header("Retry-After", str(math.ceil(error.retry_after_seconds)))
        elif error.outcome is Outcome.NOT_RUN and error.http_status == 503:
            response.set_header("Retry-After", str(RETRY_AFTER_SECONDS))


def timeout_seconds(request: falcon.Request) -> float:
    """Return the time for a request: the caller's deadline less the time for the response."""
    try:
        seconds = int(request.get_header(DEADLINE_HEADER) or 0) / 1000
    except ValueError:
        seconds = 0.0
    seconds = min(seconds, MAX_DEADLINE_SECONDS) or DEFAULT_DEADLINE_SECONDS
    return max(0.1, seconds - RESPONSE_MARGIN_SECONDS)

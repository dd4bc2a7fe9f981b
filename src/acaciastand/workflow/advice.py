"""Advice of the operators' placement service: the workers that may run a step, with tickets.

On an advised queue a worker starts a task only with a ticket for the step of the task. Whether a
worker is allowed for a step never changes, but the ticket expires and is valid for one incarnation
of the worker only.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable, Sequence

from acaciastand.record import Record
from acaciastand.workflow.catalog import Catalog, Queue
from acaciastand.workflow.job import Task
from acaciastand.workflow.placement import fits
from acaciastand.workflow.worker import WorkerView

MAX_WORKERS_PER_REQUEST = 30  # Each worker in a request delays the response.
TICKET_MARGIN_SECONDS = 1.0  # A start arrives up to this long after its ticket was looked up.


class Advice(Record):
    """Response of the placement service for one step.

    Parameters
    ----------
    tickets
        Ticket of each worker that is allowed, by the id of the worker.
    valid_seconds
        Time for which the tickets are valid, in seconds.
    """

    __slots__ = ("tickets", "valid_seconds")

    def __init__(self, tickets: dict[str, str], valid_seconds: float) -> None:
        self.tickets = tickets
        self.valid_seconds = valid_seconds


class PlacementAdvisor(ABC):
    """The placement service; it handles one request at a time."""

    @abstractmethod
    def advise(self, step: str, worker_ids: Sequence[str], seconds: float) -> Advice:
        """Return which of the workers may run a step.

        Parameters
        ----------
        step
            Name of the step, as returned by `step_name`.
        worker_ids
            Ids of the workers in question.
        seconds
            Timeout of the call.

        Raises
        ------
        AcaciastandError
            There was no response within `seconds`.
        """


class Ticket(Record):
    """A ticket and the time at which it expires, in seconds of the owner's clock."""

    __slots__ = ("text", "expires_at")

    def __init__(self, text: str, expires_at: float) -> None:
        self.text = text
        self.expires_at = expires_at


class AdviceRequest(Record):
    """Request to the placement service.

    Parameters
    ----------
    step
        Name of the step.
    incarnations
        Incarnations of workers, as pairs of the worker's id and its `born_ms`.
    queue
        Queue of the job.
    """

    __slots__ = ("step", "incarnations", "queue")

    def __init__(self, step: str, incarnations: list[tuple[str, int]], queue: Queue) -> None:
        self.step = step
        self.incarnations = incarnations
        self.queue = queue

    @property
    def worker_ids(self) -> list[str]:
        """Ids of the workers in the request."""
        return [worker_id for worker_id, _ in self.incarnations]

    @property
    def response_seconds(self) -> float:
        """Time that the placement service takes for the response, in seconds."""
        return self.queue.advice_seconds + self.queue.advice_worker_seconds * len(self.incarnations)


class StepAdvice:
    """Advice on one step.

    Attributes
    ----------
    allowed
        Whether a worker may run the step, by its incarnation.
    tickets
        Latest tickets for the step, by the incarnation of the worker.
    """

    __slots__ = ("allowed", "tickets")

    def __init__(self) -> None:
        self.allowed: dict[tuple[str, int], bool] = {}
        self.tickets: dict[tuple[str, int], Ticket] = {}


class AdviceCache:
    """Responses of the placement service, and the choice of the next request.

    Designed for a queue whose jobs may run on few workers only. The first request for a step names
    all workers with free capacity. Later requests name allowed workers again once their tickets
    have expired, and never a worker that is not allowed.
    """

    def __init__(self) -> None:
        self.advice_by_step: dict[str, StepAdvice] = {}

    def find_ticket(self, task: Task, worker: WorkerView, now: float) -> str:
        """Return a valid ticket for a start on a worker, or an empty string if there is none."""
        step_advice = self.advice_by_step.get(step_name(task))
        ticket = step_advice.tickets.get(_incarnation(worker)) if step_advice else None
        if ticket is None or ticket.expires_at - TICKET_MARGIN_SECONDS <= now:
            return ""
        return ticket.text

    def next_request(
        self,
        ranked: Iterable[tuple[Task, Queue]],
        workers: Sequence[WorkerView],
        now: float,
    ) -> AdviceRequest | None:
        """Return the request for the first waiting step that has no usable ticket.

        Parameters
        ----------
        ranked
            Waiting tasks with their queues, the most urgent first.
        workers
            Workers to which new work may be assigned.
        now
            Seconds of the owner's clock.

        Returns
        -------
        AdviceRequest or None
            None if no step needs advice, or if there is no worker to request advice on.
        """
        checked: set[str] = set()
        for task, queue in ranked:
            step = step_name(task)
            if not queue.advised or step in checked:
                continue
            checked.add(step)
            fitting = [
                worker
                for worker in workers
                if worker.identity
                and worker.identity.service == queue.service
                and fits(task, worker)
            ]
            if any(self.find_ticket(task, worker, now) for worker in fitting):
                continue
            incarnations = self._incarnations_to_request(step, fitting)
            if incarnations:
                return AdviceRequest(step, incarnations, queue)
        return None

    def record_response(self, request: AdviceRequest, advice: Advice, requested_at: float) -> None:
        """Record the advice on a request that was sent at `requested_at`."""
        step_advice = self.advice_by_step.setdefault(request.step, StepAdvice())
        expires_at = requested_at + advice.valid_seconds
        for incarnation in request.incarnations:
            ticket = advice.tickets.get(incarnation[0], "")
            step_advice.allowed[incarnation] = bool(ticket)
            if ticket:
                step_advice.tickets[incarnation] = Ticket(ticket, expires_at)

    def drop_ticket(self, task: Task, worker: WorkerView) -> None:
        """Drop a ticket that a worker refused."""
        step_advice = self.advice_by_step.get(step_name(task))
        if step_advice is not None:
            step_advice.tickets.pop(_incarnation(worker), None)

    def remove_job(self, job_id: str) -> None:
        """Drop the advice on all steps of a job that has ended."""
        prefix = f"{job_id}."
        for step in [step for step in self.advice_by_step if step.startswith(prefix)]:
            del self.advice_by_step[step]

    def _incarnations_to_request(
        self, step: str, workers: Sequence[WorkerView]
    ) -> list[tuple[str, int]]:
        """Return the allowed workers, or else the unknown ones, most leftover cores first."""
        step_advice = self.advice_by_step.get(step) or StepAdvice()
        by_leftover_cores = sorted(
            workers, key=lambda worker: worker.leftover_cores(), reverse=True
        )
        incarnations = [_incarnation(worker) for worker in by_leftover_cores]
        allowed = [key for key in incarnations if step_advice.allowed.get(key)]
        unknown = [key for key in incarnations if key not in step_advice.allowed]
        return (allowed or unknown)[:MAX_WORKERS_PER_REQUEST]


def step_name(task: Task) -> str:
    """Return the name of the step of a task in requests to the placement service."""
    return f"{task.name.job_id}.{task.name.occurrence}.{task.name.step}"


def has_advised_queue(catalog: Catalog) -> bool:
    """Return whether any queue is advised."""
    return any(queue.advised for queue in catalog.queues)


def _incarnation(worker: WorkerView) -> tuple[str, int]:
    assert worker.identity is not None
    return worker.identity.worker_id, worker.identity.born_ms

"""Workers that the operators' placement service allows for a step, and its tickets.

On an advised queue a worker starts a task only with a ticket for its step. Whether a worker is
allowed for a step never changes, but its ticket expires and belongs to one life of the worker.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable, Sequence

from acaciastand.record import Record
from acaciastand.workflow.catalog import Catalog, Queue
from acaciastand.workflow.job import Task
from acaciastand.workflow.placement import fits
from acaciastand.workflow.worker import WorkerView

MAX_WORKERS_PER_REQUEST = 30  # in one question; each worker named makes the answer later
SPARE_SECONDS = 1.0  # a start arrives up to this long after the ticket was looked up


class Advice(Record):
    """Answer of the placement service.

    Parameters
    ----------
    tickets
        Ticket by the id of each worker that is allowed.
    valid_seconds
        How long the tickets are valid.
    """

    __slots__ = ("tickets", "valid_seconds")

    def __init__(self, tickets: dict[str, str], valid_seconds: float) -> None:
        self.tickets = tickets
        self.valid_seconds = valid_seconds


class PlacementAdvisor(ABC):
    """The placement service; it answers one question at a time."""

    @abstractmethod
    def advise(self, step: str, worker_ids: Sequence[str], seconds: float) -> Advice:
        """Return which of the workers may run a step.

        Raises
        ------
        AcaciastandError
            There was no answer within `seconds`.
        """


class Ticket(Record):
    """A ticket and when it expires."""

    __slots__ = ("text", "expires_at")

    def __init__(self, text: str, expires_at: float) -> None:
        self.text = text
        self.expires_at = expires_at


class AdviceRequest(Record):
    """What to ask next: lives of workers, as pairs of id and birth, for a step of a queue."""

    __slots__ = ("step", "incarnations", "queue")

    def __init__(self, step: str, incarnations: list[tuple[str, int]], queue: Queue) -> None:
        self.step = step
        self.incarnations = incarnations
        self.queue = queue

    @property
    def worker_ids(self) -> list[str]:
        """Ids of the workers asked about."""
        return [worker_id for worker_id, _ in self.incarnations]

    @property
    def response_seconds(self) -> float:
        """How long the service works on the answer."""
        return self.queue.advice_seconds + self.queue.advice_worker_seconds * len(self.incarnations)


class StepAdvice:
    """What is known of one step, by the life of each worker."""

    __slots__ = ("allowed", "tickets")

    def __init__(self) -> None:
        self.allowed: dict[tuple[str, int], bool] = {}
        self.tickets: dict[tuple[str, int], Ticket] = {}


class AdviceCache:
    """Tickets held, and the choice of the next question.

    Answers a queue whose jobs may run on few workers only: all workers with room are asked about
    in one question, those known to be allowed again once their tickets expire, and none that is
    known not to be.
    """

    def __init__(self) -> None:
        self.steps: dict[str, StepAdvice] = {}

    def ticket(self, task: Task, worker: WorkerView, now: float) -> str:
        """Return a ticket for a start on a worker, or an empty text without a valid one."""
        known = self.steps.get(step_name(task))
        found = known.tickets.get(_incarnation(worker)) if known else None
        if found is None or found.expires_at - SPARE_SECONDS <= now:
            return ""
        return found.text

    def next_request(
        self,
        ranked: Iterable[tuple[Task, Queue]],
        workers: Sequence[WorkerView],
        now: float,
    ) -> AdviceRequest | None:
        """Return what to ask for the first waiting step without a ticket for a worker with room."""
        seen: set[str] = set()
        for task, queue in ranked:
            step = step_name(task)
            if not queue.advised or step in seen:
                continue
            seen.add(step)
            able = [
                worker
                for worker in workers
                if worker.identity
                and worker.identity.service == queue.service
                and fits(task, worker)
            ]
            if any(self.ticket(task, worker, now) for worker in able):
                continue
            incarnations = self._worth_requesting(step, able)
            if incarnations:
                return AdviceRequest(step, incarnations, queue)
        return None

    def record_response(self, request: AdviceRequest, advice: Advice, requested_at: float) -> None:
        """Take in an answer."""
        known = self.steps.setdefault(request.step, StepAdvice())
        expires_at = requested_at + advice.valid_seconds
        for incarnation in request.incarnations:
            ticket = advice.tickets.get(incarnation[0], "")
            known.allowed[incarnation] = bool(ticket)
            if ticket:
                known.tickets[incarnation] = Ticket(ticket, expires_at)

    def refused(self, task: Task, worker: WorkerView) -> None:
        """Drop a ticket that a worker did not take."""
        known = self.steps.get(step_name(task))
        if known is not None:
            known.tickets.pop(_incarnation(worker), None)

    def forget(self, job_id: str) -> None:
        """Drop everything on a job that is over."""
        prefix = f"{job_id}."
        for step in [step for step in self.steps if step.startswith(prefix)]:
            del self.steps[step]

    def _worth_requesting(self, step: str, workers: Sequence[WorkerView]) -> list[tuple[str, int]]:
        known = self.steps.get(step) or StepAdvice()
        by_leftover_cores = sorted(
            workers, key=lambda worker: worker.leftover_cores(), reverse=True
        )
        incarnations = [_incarnation(worker) for worker in by_leftover_cores]
        allowed = [incarnation for incarnation in incarnations if known.allowed.get(incarnation)]
        unknown = [incarnation for incarnation in incarnations if incarnation not in known.allowed]
        return (allowed or unknown)[:MAX_WORKERS_PER_REQUEST]


def step_name(task: Task) -> str:
    """Return the name by which the placement service knows the step of a task."""
    return f"{task.name.job_id}.{task.name.occurrence}.{task.name.step}"


def advises(catalog: Catalog) -> bool:
    """Return whether any queue is advised."""
    return any(queue.advised for queue in catalog.queues)


def _incarnation(worker: WorkerView) -> tuple[str, int]:
    assert worker.identity is not None
    return worker.identity.worker_id, worker.identity.born_ms

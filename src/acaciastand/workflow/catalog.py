"""Queues and services in the configuration of the operators."""

from __future__ import annotations

from acaciastand.record import Record


class Queue(Record):
    """A queue of jobs.

    Parameters
    ----------
    name
        Name of the queue.
    host, prefix
        Host name and path prefix of the calls for its jobs.
    service
        Service whose workers run its tasks.
    priority
        Priority of its jobs; 0 is the highest.
    max_attempts
        Number of failed runs of one task at which its job fails.
    stretch
        Factor on the critical path of a job; with `target_seconds` it gives the time within which
        the job should complete.
    target_seconds
        Seconds that are added to the stretched critical path.
    advised
        Whether the placement service decides which workers may run a step.
    advice_seconds, advice_worker_seconds
        Time in seconds that the placement service takes for a response, and the time that it
        takes in addition for each worker in the request.
    """

    __slots__ = (
        "name",
        "host",
        "prefix",
        "service",
        "priority",
        "max_attempts",
        "stretch",
        "target_seconds",
        "advised",
        "advice_seconds",
        "advice_worker_seconds",
    )

    def __init__(
        self,
        name: str = "",
        host: str = "",
        prefix: str = "",
        service: str = "",
        priority: int = 0,
        max_attempts: int = 1,
        stretch: float = 2.0,
        target_seconds: float = 1.0,
        advised: bool = False,
        advice_seconds: float = 0.0,
        advice_worker_seconds: float = 0.0,
    ) -> None:
        self.name = name
        self.host = host
        self.prefix = prefix
        self.service = service
        self.priority = priority
        self.max_attempts = max_attempts
        self.stretch = stretch
        self.target_seconds = target_seconds
        self.advised = advised
        self.advice_seconds = advice_seconds
        self.advice_worker_seconds = advice_worker_seconds


class Catalog(Record):
    """One version of the operators' configuration.

    Parameters
    ----------
    version
        Number that rises with every change, by any amount.
    queues
        All queues.
    guarded
        Names of the services whose workers reject tasks that do not fit.
    max_body_bytes
        Maximum size of the body of a submission in bytes.

    Attributes
    ----------
    queues_by_name, queues_by_host
        Queues by their name, and lists of queues by their host name.
    """

    __slots__ = (
        "version",
        "queues",
        "guarded",
        "max_body_bytes",
        "queues_by_name",
        "queues_by_host",
    )

    def __init__(
        self,
        version: int = 0,
        queues: list[Queue] | None = None,
        guarded: list[str] | None = None,
        max_body_bytes: int = 262_144,
    ) -> None:
        self.version = version
        self.queues = queues or []
        self.guarded = guarded or []
        self.max_body_bytes = max_body_bytes
        self.queues_by_name = {queue.name: queue for queue in self.queues}
        self.queues_by_host: dict[str, list[Queue]] = {}
        for queue in self.queues:
            self.queues_by_host.setdefault(queue.host, []).append(queue)

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue of `host` with the longest prefix that `path` begins with, or None."""
        matching = [q for q in self.queues_by_host.get(host, ()) if path.startswith(q.prefix)]
        return max(matching, key=lambda queue: len(queue.prefix), default=None)

    def by_name(self, name: str) -> Queue | None:
        """Return the queue with this name, or None."""
        return self.queues_by_name.get(name)

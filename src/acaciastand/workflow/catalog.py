"""Queues and services as the operators configure them."""

from __future__ import annotations

from acaciastand.record import Record


class Queue(Record):
    """A queue of jobs.

    Parameters
    ----------
    name
        Name of the queue.
    host, prefix
        Host name and start of the path of its calls.
    service
        Service whose workers run its tasks.
    priority
        0 comes first.
    max_attempts
        Failed attempts of one task after which its job has failed.
    stretch
        Factor on the longest chain of run times within which a job should complete.
    target_seconds
        Time added to that.
    advised
        Whether the placement service names the workers that may run a step.
    advice_seconds, advice_worker_seconds
        Time that its answer takes, and more for each worker named.
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
    """One version of the configuration.

    Parameters
    ----------
    version
        Rises with every change, by any step.
    queues
        All queues.
    guarded
        Names of services whose workers reject what does not fit.
    max_body_bytes
        Largest body of a submission.

    Attributes
    ----------
    names, hosts
        The queues by name, and all of one host.
    """

    __slots__ = ("version", "queues", "guarded", "max_body_bytes", "names", "hosts")

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
        self.names = {queue.name: queue for queue in self.queues}
        self.hosts: dict[str, list[Queue]] = {}
        for queue in self.queues:
            self.hosts.setdefault(queue.host, []).append(queue)

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue whose prefix is the longest that `path` begins with."""
        found = [q for q in self.hosts.get(host, ()) if path.startswith(q.prefix)]
        return max(found, key=lambda queue: len(queue.prefix), default=None)

    def by_name(self, name: str) -> Queue | None:
        """Return the queue with this name."""
        return self.names.get(name)

"""State of a worker as far as placement needs it."""

from __future__ import annotations

from collections.abc import Iterable

from acaciastand.record import Record
from acaciastand.resources import Resources


class WorkerView(Record):
    """One worker to which tasks can be assigned.

    Parameters
    ----------
    capacity
        All resources of the worker.
    free
        Resources that are not in use as far as the owner knows. The agent decides whether a task
        starts.
    services
        Services that have a target on the worker.
    load
        Share of the slots of these services that are in use.
    """

    __slots__ = (
        "agent_id",
        "incarnation",
        "availability_zone",
        "rack",
        "capacity",
        "free",
        "services",
        "draining",
        "load",
    )

    def __init__(
        self,
        agent_id: str,
        incarnation: str = "",
        availability_zone: str = "",
        rack: str = "",
        capacity: Resources | None = None,
        free: Resources | None = None,
        services: Iterable[str] = (),
        draining: bool = False,
        load: float = 0.0,
    ) -> None:
        self.agent_id = agent_id
        self.incarnation = incarnation
        self.availability_zone = availability_zone
        self.rack = rack
        self.capacity = capacity or Resources()
        self.free = free or Resources()
        self.services = frozenset(services)
        self.draining = draining
        self.load = load

    @property
    def redundancy_group(self) -> str:
        """Availability zone, whose workers can stand in for each other."""
        return self.availability_zone

    def suits(self, size: Resources, service: str) -> bool:
        """Return whether the worker could ever run a task of `size` for `service`."""
        return size.fits_in(self.capacity) and (not service or service in self.services)

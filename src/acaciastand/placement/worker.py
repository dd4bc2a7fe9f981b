"""Workers as placement sees them."""

from __future__ import annotations

from collections.abc import Iterable

from acaciastand.record import Record
from acaciastand.resources import Resources


class WorkerView(Record):
    """One worker that may take tasks.

    Parameters
    ----------
    capacity
        All resources of the worker.
    free
        Resources not taken, as far as known; the agent has the last word.
    services
        Services whose target runs on the worker.
    load
        Share of their slots that are taken.
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

    def suits(self, size: Resources, service: str) -> bool:
        """Return whether the worker could ever run a task of `size` for `service`."""
        return size.fits_in(self.capacity) and (not service or service in self.services)

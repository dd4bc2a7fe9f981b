"""Slots and connections of the target."""

from __future__ import annotations

from acaciastand.reasons import Reason


class RequestSlots:
    """Counts requests at the target and callers that wait for an answer.

    A running request holds a slot until the target is known to have ended it. Every caller that
    waits, also one that joined a running request, holds a connection.

    Parameters
    ----------
    slots
        Requests the target executes at once.
    connections
        Callers that may wait at once.
    """

    def __init__(self, slots: int, connections: int) -> None:
        self.slots = slots
        self.connections = connections
        self.running: set[str] = set()
        self.abandoned: dict[str, float] = {}
        self.open_connections = 0

    @property
    def in_flight(self) -> int:
        """Slots taken, including those of requests the agent no longer waits for."""
        return len(self.running) + len(self.abandoned)

    def refusal(self, needs_slot: bool = True) -> Reason | None:
        """Return why a caller cannot be taken, or None."""
        if self.open_connections >= self.connections:
            return Reason.NO_CONNECTION
        if needs_slot and self.in_flight >= self.slots:
            return Reason.NO_SLOT
        return None

    def holds(self, request_id: str) -> bool:
        """Return whether the request may be running now."""
        return request_id in self.running or request_id in self.abandoned

    def connect(self) -> None:
        """Count a waiting caller."""
        self.open_connections += 1

    def disconnect(self) -> None:
        """Count a caller that has its answer."""
        self.open_connections -= 1

    def start(self, request_id: str) -> None:
        """Take a slot."""
        self.running.add(request_id)

    def end(self, request_id: str, known_ended: bool, now: float) -> None:
        """Free the slot, or keep it for a request that may still run at the target."""
        self.running.discard(request_id)
        if not known_ended:
            self.abandoned[request_id] = now

    def listed(self, active: list[str], asked_at: float) -> None:
        """Free the slots of abandoned requests that the target no longer runs.

        Requests abandoned after the list was asked for are kept.
        """
        active_ids = set(active)
        for request_id, since in list(self.abandoned.items()):
            if since < asked_at and request_id not in active_ids:
                del self.abandoned[request_id]

    def adopt(self, active: list[str], asked_at: float) -> None:
        """Count requests that a former agent process left running at the target."""
        self.abandoned.update((request_id, asked_at) for request_id in active)

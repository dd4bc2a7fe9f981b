"""Limits on concurrent requests at the target and on waiting callers."""

from __future__ import annotations

from acaciastand.reasons import Reason


class RequestSlots:
    """Counts requests at the target and callers that wait for an answer.

    A request occupies a slot until the target is known to have ended it. Every waiting caller
    occupies a connection, including one that joined a running request.

    Parameters
    ----------
    slot_limit
        Requests that the target executes at once.
    connection_limit
        Callers that may wait at once.

    Attributes
    ----------
    running
        Ids of the requests whose answer the agent waits for.
    abandoned
        Requests that may still run although the agent no longer waits for them, with the time
        from which that holds, in monotonic seconds.
    open_connections
        Callers that wait now.
    """

    def __init__(self, slot_limit: int, connection_limit: int) -> None:
        self.slot_limit = slot_limit
        self.connection_limit = connection_limit
        self.running: set[str] = set()
        self.abandoned: dict[str, float] = {}
        self.open_connections = 0

    @property
    def in_flight(self) -> int:
        """Occupied slots, including those of requests that the agent no longer waits for."""
        return len(self.running) + len(self.abandoned)

    def refusal(self, needs_slot: bool = True) -> Reason | None:
        """Return why a caller is refused, or None if it is admitted."""
        if self.open_connections >= self.connection_limit:
            return Reason.NO_CONNECTION
        if needs_slot and self.in_flight >= self.slot_limit:
            return Reason.NO_SLOT
        return None

    def may_be_running(self, request_id: str) -> bool:
        """Return whether the request runs, or may still run, at the target."""
        return request_id in self.running or request_id in self.abandoned

    def add_connection(self) -> None:
        """Occupy a connection for a waiting caller."""
        self.open_connections += 1

    def remove_connection(self) -> None:
        """Free the connection of a caller that no longer waits."""
        self.open_connections -= 1

    def start_request(self, request_id: str) -> None:
        """Occupy a slot."""
        self.running.add(request_id)

    def end_request(self, request_id: str, known_ended: bool, now: float) -> None:
        """Free the slot of a request that is known to have ended; else count it as abandoned."""
        self.running.discard(request_id)
        if not known_ended:
            self.abandoned[request_id] = now

    def release_ended(self, active: list[str], asked_at: float) -> None:
        """Free the slots of abandoned requests that the target no longer runs.

        Requests that were abandoned after the list was requested keep their slot.

        Parameters
        ----------
        active
            Ids of the requests that the target listed as running.
        asked_at
            When the list was requested, in monotonic seconds.
        """
        active_ids = set(active)
        for request_id, abandoned_at in list(self.abandoned.items()):
            if abandoned_at < asked_at and request_id not in active_ids:
                del self.abandoned[request_id]

    def adopt_requests(self, active: list[str], asked_at: float) -> None:
        """Count requests that a former agent process left running as abandoned."""
        self.abandoned.update((request_id, asked_at) for request_id in active)

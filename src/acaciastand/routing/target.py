"""What an entry knows of one announced target."""

from __future__ import annotations

from acaciastand.record import Record

# A connection carries 64 messages at once; the others are left for grants, stops and heartbeats.
MAX_OWN_IN_FLIGHT = 48


class TargetView(Record):
    """A target as one entry sees it; a hint, because only its agent admits work.

    Parameters
    ----------
    agent_id, availability_zone
        The agent beside the target and where it is.
    services
        Services that the target answers.
    slots
        Requests that the target runs at once.
    reported_in_flight
        Requests that held a slot when the agent last reported, over all entries.
    own_in_flight
        Requests of this entry that wait for the target's answer now.
    own_at_report
        Value of `own_in_flight` when the agent last reported.
    draining, healthy
        As the agent last announced.
    """

    __slots__ = (
        "agent_id",
        "availability_zone",
        "services",
        "slots",
        "reported_in_flight",
        "own_in_flight",
        "own_at_report",
        "draining",
        "healthy",
    )

    def __init__(
        self,
        agent_id: str,
        availability_zone: str = "",
        services: tuple[str, ...] = (),
        slots: int = 1,
        reported_in_flight: int = 0,
        own_in_flight: int = 0,
        own_at_report: int = 0,
        draining: bool = False,
        healthy: bool = True,
    ) -> None:
        self.agent_id = agent_id
        self.availability_zone = availability_zone
        self.services = services
        self.slots = slots
        self.reported_in_flight = reported_in_flight
        self.own_in_flight = own_in_flight
        self.own_at_report = own_at_report
        self.draining = draining
        self.healthy = healthy

    @property
    def estimated_in_flight(self) -> int:
        """Reported load plus what this entry has sent since, at least the entry's own load."""
        since_report = self.own_in_flight - self.own_at_report
        return max(self.reported_in_flight + since_report, self.own_in_flight, 0)

    @property
    def load(self) -> float:
        """Estimated share of the slots in use; above 1 when requests wait."""
        return self.estimated_in_flight / max(self.slots, 1)

    @property
    def has_free_slot(self) -> bool:
        """Whether the estimate leaves a slot free."""
        return self.estimated_in_flight < self.slots

    def update_load(self, in_flight: int) -> None:
        """Take over the load that arrived with an answer or a heartbeat."""
        self.reported_in_flight = in_flight
        self.own_at_report = self.own_in_flight

    def accepts(self, service: str) -> bool:
        """Return whether new requests of `service` may be sent to the target."""
        return (
            service in self.services
            and self.healthy
            and not self.draining
            and self.own_in_flight < MAX_OWN_IN_FLIGHT
        )

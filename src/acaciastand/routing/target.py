"""State of a target as far as an entry knows it."""

from __future__ import annotations

from acaciastand.record import Record

# Requests of one entry that wait for answers of one target. A connection carries 64 messages at
# once; the remaining ones are left for grants, stops and heartbeats.
MAX_OWN_IN_FLIGHT = 48


class TargetView(Record):
    """State of a target at one entry; it can be out of date, and only the agent admits requests.

    Parameters
    ----------
    agent_id, availability_zone
        Agent beside the target, and its availability zone.
    services
        Services whose requests the target answers.
    slots
        Requests that the target runs at once.
    reported_in_flight
        Requests of all entries that occupied a slot when the agent last reported.
    own_in_flight
        Requests of this entry that currently wait for the target's answer.
    own_in_flight_at_report
        Value of `own_in_flight` when the agent last reported.
    draining, healthy
        State that the agent last announced.
    """

    __slots__ = (
        "agent_id",
        "availability_zone",
        "services",
        "slots",
        "reported_in_flight",
        "own_in_flight",
        "own_in_flight_at_report",
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
        own_in_flight_at_report: int = 0,
        draining: bool = False,
        healthy: bool = True,
    ) -> None:
        self.agent_id = agent_id
        self.availability_zone = availability_zone
        self.services = services
        self.slots = slots
        self.reported_in_flight = reported_in_flight
        self.own_in_flight = own_in_flight
        self.own_in_flight_at_report = own_in_flight_at_report
        self.draining = draining
        self.healthy = healthy

    @property
    def estimated_in_flight(self) -> int:
        """Reported requests and those that this entry has sent since, at least all of its own."""
        since_report = self.own_in_flight - self.own_in_flight_at_report
        return max(self.reported_in_flight + since_report, self.own_in_flight, 0)

    @property
    def load(self) -> float:
        """Estimated requests as a share of the slots; above 1 when requests wait for a slot."""
        return self.estimated_in_flight / max(self.slots, 1)

    @property
    def has_free_slot(self) -> bool:
        """Whether at least one slot is free by the estimate."""
        return self.estimated_in_flight < self.slots

    def update_load(self, in_flight: int) -> None:
        """Set the reported load from an answer or a heartbeat of the agent."""
        self.reported_in_flight = in_flight
        self.own_in_flight_at_report = self.own_in_flight

    def accepts(self, service: str) -> bool:
        """Return whether new requests of `service` may be sent to the target."""
        return (
            service in self.services
            and self.healthy
            and not self.draining
            and self.own_in_flight < MAX_OWN_IN_FLIGHT
        )

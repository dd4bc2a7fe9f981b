"""Sizes of the two firms (design.md 1.1) and of ten times those."""

from __future__ import annotations

from acaciastand.record import Record


class Firm(Record):
    """Size and network of one firm.

    Parameters
    ----------
    cores, slots, connections
        Of each host.
    zones
        Availability zones; host number n is in zone n modulo their count.
    zone_seconds, client_seconds
        One-way latency between availability zones, and between clients and entries.
    service_seconds
        Mean service time of the latency-critical service on an idle host; an assumption, because
        design.md states none.
    """

    __slots__ = (
        "name",
        "service",
        "hosts",
        "cores",
        "slots",
        "connections",
        "zones",
        "zone_seconds",
        "client_seconds",
        "service_seconds",
    )

    def __init__(
        self,
        name: str,
        service: str,
        cores: int,
        zones: tuple[str, ...],
        zone_seconds: float,
        client_seconds: float,
        hosts: int = 11,
        slots: int = 8,
        connections: int = 64,
        service_seconds: float = 0.020,
    ) -> None:
        self.name = name
        self.service = service
        self.hosts = hosts
        self.cores = cores
        self.slots = slots
        self.connections = connections
        self.zones = zones
        self.zone_seconds = zone_seconds
        self.client_seconds = client_seconds
        self.service_seconds = service_seconds

    def scaled(self, factor: int) -> Firm:
        """Return the firm with `factor` times the hosts."""
        return self.replace(name=f"{self.name}-x{factor}", hosts=self.hosts * factor)

    def zone_of(self, number: int) -> str:
        """Return the availability zone of a host or entry."""
        return self.zones[number % len(self.zones)]

    @property
    def capacity_rate(self) -> float:
        """Requests per second that fill every slot of idle hosts."""
        return self.hosts * self.slots / self.service_seconds


MAISON_REPRISE = Firm(
    "maison-reprise", "order-desk", 32, ("gent", "namur", "antwerpen"), 0.001, 0.001
)
BLUE_MAHOE = Firm(
    "blue-mahoe", "dispatch", 16, ("kingston-a", "montego-a", "kingston-b"), 0.0015, 0.003
)

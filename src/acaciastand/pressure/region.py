"""Detection of surges of the services of a region by one entry."""

from __future__ import annotations

from collections import Counter

from acaciastand.pressure.surge import SurgeDetector

MAX_SERVICES = 256  # Services with a detector; requests of further services are not counted.
SAMPLE_SECONDS = 0.25
# Requests per second at one entry below which there is no surge; lower rates double by chance.
MIN_SURGE_RATE = 5.0


class RegionSurgeDetector:
    """Detects surges in the request rate of each service.

    The load balancer spreads the callers of a region over its entries. Each entry therefore sees a
    surge in its own share of the requests, and entries need not exchange rates.
    """

    def __init__(self) -> None:
        self.detectors: dict[str, SurgeDetector] = {}
        self._counts: Counter[str] = Counter()
        self._sampled_at: float | None = None

    def count(self, service: str) -> None:
        """Count a request of a caller for a service."""
        if service not in self.detectors:
            if len(self.detectors) >= MAX_SERVICES:
                return
            self.detectors[service] = SurgeDetector(MIN_SURGE_RATE)
        self._counts[service] += 1

    def surging(self, now: float) -> bool:
        """Return whether any service surges; must be called at least about once a second."""
        if self._sampled_at is None:
            self._sampled_at = now
        elapsed = now - self._sampled_at
        if elapsed >= SAMPLE_SECONDS:
            for service, detector in self.detectors.items():
                detector.record(self._counts[service] / elapsed, now)
            self._counts.clear()
            self._sampled_at = now
        return any(detector.surging for detector in self.detectors.values())

"""Surges of the services of a region, as one entry sees them."""

from __future__ import annotations

from collections import Counter

from acaciastand.pressure.surge import SurgeDetector

MAX_SERVICES = 256  # with a detector; requests of further services are not watched
SAMPLE_SECONDS = 0.25
MIN_RATE = 5.0  # requests per second at one entry; slower rates double by chance


class RegionSurgeDetector:
    """Watches the request rate of each service.

    The balancer spreads the callers of a region over its entries, so each entry sees a surge in
    its own share of the requests and no exchange between entries is needed.
    """

    def __init__(self) -> None:
        self.detectors: dict[str, SurgeDetector] = {}
        self._counts: Counter[str] = Counter()
        self._sampled: float | None = None

    def count(self, service: str) -> None:
        """Count a caller's request."""
        if service not in self.detectors:
            if len(self.detectors) >= MAX_SERVICES:
                return
            self.detectors[service] = SurgeDetector(MIN_RATE)
        self._counts[service] += 1

    def surging(self, now: float) -> bool:
        """Return whether any service surges; call it about once a second or more often."""
        if self._sampled is None:
            self._sampled = now
        elapsed = now - self._sampled
        if elapsed >= SAMPLE_SECONDS:
            for service, detector in self.detectors.items():
                detector.record(self._counts[service] / elapsed, now)
            self._counts.clear()
            self._sampled = now
        return any(detector.surging for detector in self.detectors.values())

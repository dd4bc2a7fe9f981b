"""Open-loop arrivals of one or several services."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import numpy as np

from acaciastand.record import Record
from acaciastand_lab.load_plan import LoadOptions, draw_times


class Arrival(Record):
    """One request; `at` is in seconds from the start of the run."""

    __slots__ = ("number", "at", "service")

    def __init__(self, number: int, at: float, service: str) -> None:
        self.number = number
        self.at = at
        self.service = service


def poisson_arrivals(
    rates: Mapping[str, float],
    seconds: float,
    seed: int,
    double_at: float = -1.0,
    doubled: Iterable[str] | None = None,
) -> list[Arrival]:
    """Return Poisson arrivals in the order of time.

    Parameters
    ----------
    rates
        Mean arrivals per second by service, before the doubling.
    double_at
        Second from which the rate is twice as high; negative for never.
    doubled
        Services whose rate doubles; None for all.
    """
    rng = np.random.default_rng(seed)
    chosen = set(rates) if doubled is None else set(doubled)
    items: list[tuple[float, str]] = []
    for service in sorted(rates):
        surge = double_at if service in chosen else -1.0
        times = draw_times(LoadOptions(rates[service], seconds, surge), rng)
        items += [(float(at), service) for at in times]
    return recorded_arrivals(items)


def recorded_arrivals(items: Iterable[tuple[float, str]]) -> list[Arrival]:
    """Return arrivals from a recorded list of (second, service)."""
    return [Arrival(number, at, service) for number, (at, service) in enumerate(sorted(items))]

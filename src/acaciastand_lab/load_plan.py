"""Arrivals of a load run, drawn before it starts."""

from __future__ import annotations

import numpy as np

from acaciastand.errors import InvalidInput
from acaciastand.record import Record

MAX_ARRIVALS = 1_000_000
MAX_SECONDS = 600.0
SURGE_FACTOR = 2.0  # demand roughly doubles when it rains


class LoadOptions(Record):
    """What to send.

    Parameters
    ----------
    rate
        Mean arrivals per second before the doubling.
    seconds
        Length of the run.
    double_at
        Second at which the rate doubles; negative for never.
    seed
        Seed of all draws.
    idempotent
        Share of requests that are idempotent.
    keyed
        Share of the others that carry a key.
    timeout_ms
        Deadline of each request.
    """

    __slots__ = ("rate", "seconds", "double_at", "seed", "idempotent", "keyed", "timeout_ms")

    def __init__(
        self,
        rate: float,
        seconds: float,
        double_at: float = -1.0,
        seed: int = 1,
        idempotent: float = 0.5,
        keyed: float = 0.0,
        timeout_ms: int = 2000,
    ) -> None:
        self.rate = rate
        self.seconds = seconds
        self.double_at = double_at
        self.seed = seed
        self.idempotent = idempotent
        self.keyed = keyed
        self.timeout_ms = timeout_ms


class Arrival(Record):
    """One request of the plan; `at` is in seconds from the start of the run."""

    __slots__ = ("number", "at", "idempotent", "key")

    def __init__(self, number: int, at: float, idempotent: bool, key: str) -> None:
        self.number = number
        self.at = at
        self.idempotent = idempotent
        self.key = key


def draw_arrivals(options: LoadOptions) -> list[Arrival]:
    """Return Poisson arrivals in the order of time; the same options give the same plan.

    Raises
    ------
    InvalidInput
        The run would exceed `MAX_SECONDS` or `MAX_ARRIVALS`.
    """
    if not 0 < options.seconds <= MAX_SECONDS:
        raise InvalidInput(
            f"{options.seconds} s is out of range", f"run for at most {MAX_SECONDS:g} s"
        )
    expected = options.rate * SURGE_FACTOR * options.seconds
    if not 0 < expected <= MAX_ARRIVALS:
        raise InvalidInput(
            f"a rate of {options.rate:g} is out of range", f"plan at most {MAX_ARRIVALS} requests"
        )
    rng = np.random.default_rng(options.seed)
    times = draw_times(options, rng)
    idempotent = rng.random(len(times)) < options.idempotent
    keyed = rng.random(len(times)) < options.keyed
    return [
        Arrival(number, float(at), bool(safe), "" if safe or not key else _key(options, number))
        for number, (at, safe, key) in enumerate(zip(times, idempotent, keyed, strict=True))
    ]


def draw_times(options: LoadOptions, rng: np.random.Generator) -> np.ndarray:
    """Return Poisson arrival times, sorted, with the rate doubled from `double_at` on."""
    surge = options.double_at if 0 <= options.double_at < options.seconds else options.seconds
    spans = [(0.0, surge, options.rate), (surge, options.seconds, options.rate * SURGE_FACTOR)]
    parts = [
        np.sort(rng.uniform(begin, end, rng.poisson(rate * (end - begin))))
        for begin, end, rate in spans
    ]
    return np.concatenate(parts)


def _key(options: LoadOptions, number: int) -> str:
    return f"load-{options.seed}-{number}"

"""Choice of one target among those that accept a request."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod

from acaciastand.routing.target import TargetView


class TargetChooser(ABC):
    """Picks a target; the candidates all accept the request."""

    @abstractmethod
    def choose(self, candidates: list[TargetView], rng: random.Random) -> TargetView | None:
        """Return one of `candidates`, or None when there are none."""


class RandomChooser(TargetChooser):
    """Baseline: every candidate with the same probability."""

    def choose(self, candidates: list[TargetView], rng: random.Random) -> TargetView | None:
        """Return a random candidate."""
        return rng.choice(candidates) if candidates else None


class LeastLoadedOfTwo(TargetChooser):
    """The less loaded of two random candidates, in the entry's availability zone if possible.

    Targets in other zones are used when no target of the own zone has a free slot. When no target
    has a free slot by its last report, one is still chosen: the report may be old, and the agent
    decides.
    """

    def __init__(self, availability_zone: str) -> None:
        self.availability_zone = availability_zone

    def choose(self, candidates: list[TargetView], rng: random.Random) -> TargetView | None:
        """Return the less loaded of two candidates of the best tier."""
        tier = self._best_tier(candidates)
        if len(tier) <= 1:
            return tier[0] if tier else None
        first, second = rng.sample(tier, 2)
        return first if first.load <= second.load else second

    def _best_tier(self, candidates: list[TargetView]) -> list[TargetView]:
        free = [target for target in candidates if target.has_free_slot]
        near = [target for target in free if target.availability_zone == self.availability_zone]
        return near or free or candidates

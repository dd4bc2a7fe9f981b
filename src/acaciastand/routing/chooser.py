"""Choice of one target among those that accept a request."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod

from acaciastand.routing.target import TargetView

# Least number of candidates for which two targets are drawn at random first. With fewer candidates,
# it is as fast to examine all of them.
MIN_CANDIDATES_TO_DRAW = 32
# Draws before all candidates are examined. If a third of the targets are in the entry's zone and
# have a free slot, 99% of the choices need no more draws.
MAX_DRAWS = 16


class TargetChooser(ABC):
    """Chooses a target among candidates that all accept the request."""

    @abstractmethod
    def choose(self, candidates: list[TargetView], rng: random.Random) -> TargetView | None:
        """Return one of `candidates`, or None when there are none."""


class RandomChooser(TargetChooser):
    """Chooses every candidate with the same probability; the baseline."""

    def choose(self, candidates: list[TargetView], rng: random.Random) -> TargetView | None:
        """Return a random candidate."""
        return rng.choice(candidates) if candidates else None


class LeastLoadedOfTwo(TargetChooser):
    """Chooses the less loaded of two random targets, in the entry's availability zone if possible.

    Targets in other zones are used when no target in the entry's zone has a free slot. When no
    target has a free slot by its last report, one is chosen all the same, because the report may be
    out of date and the agent decides.
    """

    def __init__(self, availability_zone: str) -> None:
        self.availability_zone = availability_zone

    def choose(self, candidates: list[TargetView], rng: random.Random) -> TargetView | None:
        """Return the less loaded of two random candidates in the best tier."""
        drawn = self._draw_two(candidates, rng)
        if drawn is None:
            tier = self._best_tier(candidates)
            if len(tier) <= 1:
                return tier[0] if tier else None
            first, second = rng.sample(tier, 2)
        else:
            first, second = drawn
        return first if first.load <= second.load else second

    def _draw_two(
        self, candidates: list[TargetView], rng: random.Random
    ) -> tuple[TargetView, TargetView] | None:
        """Return two random targets with a free slot in the entry's zone, or None.

        This avoids examining all candidates. The choice is uniform over these targets, because all
        other draws are rejected. None is returned when too few draws succeed.
        """
        if len(candidates) < MIN_CANDIDATES_TO_DRAW:
            return None
        first: TargetView | None = None
        for _ in range(MAX_DRAWS):
            target = candidates[int(rng.random() * len(candidates))]
            if target.availability_zone != self.availability_zone or not target.has_free_slot:
                continue
            if first is None:
                first = target
            elif target is not first:
                return first, target
        return None

    def _best_tier(self, candidates: list[TargetView]) -> list[TargetView]:
        free = [target for target in candidates if target.has_free_slot]
        near = [target for target in free if target.availability_zone == self.availability_zone]
        return near or free or candidates

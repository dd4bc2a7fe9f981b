"""Share of a host's cores that batch tasks leave free."""

from __future__ import annotations

from acaciastand.pressure.weights import Weights

SURGE_HEADROOM = 0.1  # added in a surge when only tail latency counts; see docs/decisions/rain.md
MAX_HEADROOM = 0.5  # a higher base is kept, but a surge does not raise the share beyond this
LOWER_STEP = 0.05  # the share returns to its base in steps of this size
LOWER_SECONDS = 5.0  # time between two steps


class HeadroomPolicy:
    """Raises the headroom at once when a service of the region surges and lowers it in steps.

    Parameters
    ----------
    base
        Share outside of surges; the setting ``headroom``.
    """

    def __init__(self, base: float, weights: Weights) -> None:
        self.base = base
        self.weights = weights
        self._share = base
        self._changed = float("-inf")

    def share(self, surging: bool, now: float) -> float:
        """Return the share of cores to keep free now.

        Parameters
        ----------
        surging
            Whether any service of the region surges.
        """
        if surging:
            raised = self.base + SURGE_HEADROOM * self.weights.latency_share
            self._share = max(self.base, min(MAX_HEADROOM, raised))
            self._changed = now
        elif self._share < self.base:
            self._share = self.base
        elif self._share > self.base and now - self._changed >= LOWER_SECONDS:
            self._share = max(self.base, self._share - LOWER_STEP)
            self._changed = now
        return self._share

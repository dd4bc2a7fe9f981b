"""Share of a host's cores that batch tasks leave free."""

from __future__ import annotations

from acaciastand.pressure.weights import Weights

# Share that a surge adds if only tail latency has a weight; see docs/decisions/rain.md.
SURGE_HEADROOM = 0.1
# Share beyond which a surge does not raise the headroom; a larger base share stays in force.
MAX_HEADROOM = 0.5
LOWER_STEP = 0.05  # Largest decrease of the share per step on its way back to the base share.
LOWER_INTERVAL_SECONDS = 5.0  # Time between two steps.


class HeadroomPolicy:
    """Raises the headroom at once when a service of the region surges, and then lowers it in steps.

    Parameters
    ----------
    base
        Share of the cores outside of surges; the setting ``headroom``.
    weights
        Weights that determine how much a surge raises the share.
    """

    def __init__(self, base: float, weights: Weights) -> None:
        self.base = base
        self.weights = weights
        self._share = base
        self._changed_at = float("-inf")

    def share(self, surging: bool, now: float) -> float:
        """Return the share of the cores that batch tasks must leave free now.

        Parameters
        ----------
        surging
            Whether any service of the region surges.
        now
            Seconds of the monotonic clock.
        """
        if surging:
            raised = self.base + SURGE_HEADROOM * self.weights.latency_share
            self._share = max(self.base, min(MAX_HEADROOM, raised))
            self._changed_at = now
        elif self._share < self.base:
            self._share = self.base
        elif self._share > self.base and now - self._changed_at >= LOWER_INTERVAL_SECONDS:
            self._share = max(self.base, self._share - LOWER_STEP)
            self._changed_at = now
        return self._share

"""Ejection of slow and failing targets of one service."""

from __future__ import annotations

from statistics import median

FAILURES_TO_EJECT = 5  # Consecutive failures after which a target is ejected.
LATENCY_WEIGHT = 0.1  # Weight of the newest answer in the moving average of the latency.
MIN_SAMPLES = 20  # Answers before the average of a target is used.
# A target is slow when its latency exceeds this multiple of the median of the service's targets.
SLOW_FACTOR = 3.0
# Lowest latency that can count as slow; smaller differences are scheduling noise.
MIN_SLOW_SECONDS = 0.020
# Pause from the ejection to the first probe; doubles with each failure or slow probe after that.
FIRST_PAUSE_SECONDS = 1.0
MAX_PAUSE_SECONDS = 30.0
# Age beyond which an average is not used, because it says nothing about the current latency.
MAX_AVERAGE_AGE_SECONDS = 5.0
LOWEST_LATENCY_REFRESH_SECONDS = 0.1
MAX_TARGETS = 8192  # Targets of one service that are tracked.


class _TargetState:
    """Health of one target.

    Attributes
    ----------
    failures
        Consecutive failures.
    average_seconds, samples
        Moving average of the latency, and the number of answers in it.
    updated_at
        Time of the last answer.
    ejected_until
        Earliest time of a probe; None for a target that is not ejected.
    pause
        Seconds from an ejection, or from a probe that failed, to the next probe.
    probe_started_at
        Start of the current probe; None without one.
    """

    __slots__ = (
        "failures",
        "average_seconds",
        "samples",
        "updated_at",
        "ejected_until",
        "pause",
        "probe_started_at",
    )

    def __init__(self) -> None:
        self.failures = 0
        self.average_seconds = 0.0
        self.samples = 0
        self.updated_at = 0.0
        self.ejected_until: float | None = None
        self.pause = FIRST_PAUSE_SECONDS
        self.probe_started_at: float | None = None


class TargetHealth:
    """Ejects slow and failing targets, at most `max_ejected_share` of them at once.

    An ejected target stays connected and goes on with its requests, because a slow target is not
    dead. It returns after a successful probe: one request that is sent to it after a pause.

    Parameters
    ----------
    max_ejected_share
        Largest share of the service's targets that are ejected at once.
    """

    def __init__(self, max_ejected_share: float) -> None:
        self.max_ejected_share = max_ejected_share
        self._states: dict[str, _TargetState] = {}
        self._ejected: dict[str, _TargetState] = {}
        self._lowest_latency: float | None = None
        self._lowest_latency_at = float("-inf")

    def add(self, agent_id: str) -> None:
        """Track a target; targets beyond `MAX_TARGETS` are used without being tracked."""
        if agent_id not in self._states and len(self._states) < MAX_TARGETS:
            self._states[agent_id] = _TargetState()

    def remove(self, agent_id: str) -> None:
        """Forget a target.

        If the ejected targets then exceed the largest share, those whose pause ends first return.
        """
        self._states.pop(agent_id, None)
        self._ejected.pop(agent_id, None)
        ejected = sorted(self.ejected(), key=self._ejected_until)
        excess = max(len(ejected) - self.max_ejected_count(), 0)
        for ejected_id in ejected[:excess]:
            self._restore(ejected_id, self._states[ejected_id])

    def max_ejected_count(self) -> int:
        """Return how many targets may be ejected at once."""
        return int(self.max_ejected_share * len(self._states))

    def ejected(self) -> list[str]:
        """Return the ids of the ejected targets' agents."""
        return list(self._ejected)

    def is_available(self, agent_id: str) -> bool:
        """Return whether requests other than probes may be sent to the target."""
        return agent_id not in self._ejected

    @property
    def has_ejected(self) -> bool:
        """Whether any target is ejected."""
        return bool(self._ejected)

    def start_probe(self, candidates: list[str], now: float) -> str | None:
        """Return a candidate whose pause is over and start its probe; None when there is none.

        The caller sends its current request to this target as the probe.
        """
        if not self._ejected:
            return None
        for agent_id in candidates:
            state = self._ejected.get(agent_id)
            if state is None or state.ejected_until is None or now < state.ejected_until:
                continue
            if state.probe_started_at is None or now >= state.probe_started_at + state.pause:
                state.probe_started_at = now
                return agent_id
        return None

    def record_result(self, agent_id: str, succeeded: bool, seconds: float, now: float) -> None:
        """Record the result of one request.

        Parameters
        ----------
        succeeded
            False when the connection failed, the answer timed out or the target broke off the
            request. Refusals for lack of capacity are not failures.
        seconds
            Time from the request to the answer.
        """
        state = self._states.get(agent_id)
        if state is None:
            return
        if not succeeded:
            self._record_failure(agent_id, state, now)
            return
        state.failures = 0
        self._record_latency(state, seconds, now)
        if state.ejected_until is not None:
            self._end_probe(agent_id, state, seconds, now)
        elif self._is_slow(state):
            self._eject(agent_id, state, now)

    def lowest_latency_seconds(self, now: float) -> float | None:
        """Return the recent latency of the fastest target; None when it is unknown.

        The value is cached for `LOWEST_LATENCY_REFRESH_SECONDS`, because each request needs it.
        """
        if not 0 <= now - self._lowest_latency_at < LOWEST_LATENCY_REFRESH_SECONDS:
            self._lowest_latency = self._compute_lowest_latency(now)
            self._lowest_latency_at = now
        return self._lowest_latency

    def _compute_lowest_latency(self, now: float) -> float | None:
        averages = [
            state.average_seconds
            for state in self._states.values()
            if state.samples >= MIN_SAMPLES and now - state.updated_at <= MAX_AVERAGE_AGE_SECONDS
        ]
        return min(averages, default=None)

    def _record_failure(self, agent_id: str, state: _TargetState, now: float) -> None:
        state.failures += 1
        if state.ejected_until is not None:
            self._extend_ejection(state, now)
        elif state.failures >= FAILURES_TO_EJECT:
            self._eject(agent_id, state, now)

    def _record_latency(self, state: _TargetState, seconds: float, now: float) -> None:
        weight = LATENCY_WEIGHT if state.samples else 1.0
        state.average_seconds += weight * (seconds - state.average_seconds)
        state.samples += 1
        state.updated_at = now

    def _end_probe(self, agent_id: str, state: _TargetState, seconds: float, now: float) -> None:
        if state.probe_started_at is None:
            return  # The answer is to a request from before the ejection and proves nothing.
        if seconds > self._slow_limit_seconds():
            self._extend_ejection(state, now)
        else:
            self._restore(agent_id, state)

    def _is_slow(self, state: _TargetState) -> bool:
        return state.samples >= MIN_SAMPLES and state.average_seconds > self._slow_limit_seconds()

    def _slow_limit_seconds(self) -> float:
        averages = [other.average_seconds for other in self._states.values() if other.samples]
        median_seconds = median(averages) if averages else 0.0
        return max(SLOW_FACTOR * median_seconds, MIN_SLOW_SECONDS)

    def _eject(self, agent_id: str, state: _TargetState, now: float) -> None:
        if len(self._ejected) < self.max_ejected_count():
            state.ejected_until = now + state.pause
            self._ejected[agent_id] = state

    def _extend_ejection(self, state: _TargetState, now: float) -> None:
        state.pause = min(state.pause * 2, MAX_PAUSE_SECONDS)
        state.ejected_until = now + state.pause
        state.probe_started_at = None

    def _restore(self, agent_id: str, state: _TargetState) -> None:
        self._ejected.pop(agent_id, None)
        state.ejected_until = None
        state.probe_started_at = None
        state.pause = FIRST_PAUSE_SECONDS
        state.failures = 0
        state.samples = 0
        state.average_seconds = 0.0

    def _ejected_until(self, agent_id: str) -> float:
        return self._states[agent_id].ejected_until or 0.0

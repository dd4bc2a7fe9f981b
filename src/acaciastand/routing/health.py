"""Targets of one service that are set aside because they are slow or fail."""

from __future__ import annotations

from statistics import median

FAILURES_TO_EJECT = 5  # consecutive failures
LATENCY_WEIGHT = 0.1  # of the newest answer in the moving average
MIN_SAMPLES = 20  # answers before a target counts as slow
SLOW_FACTOR = 3.0  # of the median over the service's targets
SLOW_FLOOR_SECONDS = 0.020  # differences below this are scheduling noise
FIRST_PAUSE_SECONDS = 1.0
MAX_PAUSE_SECONDS = 30.0
FRESH_SECONDS = 5.0  # older averages say nothing about the present
USUAL_REFRESH_SECONDS = 0.1
MAX_TARGETS = 8192  # targets of one service that are tracked


class _State:
    __slots__ = (
        "failures",
        "average",
        "samples",
        "updated",
        "ejected_until",
        "pause",
        "probe_started",
    )

    def __init__(self) -> None:
        self.failures = 0
        self.average = 0.0
        self.samples = 0
        self.updated = 0.0
        self.ejected_until: float | None = None
        self.pause = FIRST_PAUSE_SECONDS
        self.probe_started: float | None = None


class TargetHealth:
    """Sets aside slow or failing targets, at most `max_share` of them at once.

    A slow target is not dead: it stays connected, keeps its requests, and returns after a probe.

    Parameters
    ----------
    max_share
        Largest share of the service's targets that is set aside at once.
    """

    def __init__(self, max_share: float) -> None:
        self.max_share = max_share
        self._states: dict[str, _State] = {}
        self._ejected: dict[str, _State] = {}
        self._usual: float | None = None
        self._usual_at = float("-inf")

    def add(self, agent_id: str) -> None:
        """Track a target; beyond `MAX_TARGETS` it is used without being tracked."""
        if agent_id not in self._states and len(self._states) < MAX_TARGETS:
            self._states[agent_id] = _State()

    def remove(self, agent_id: str) -> None:
        """Forget a target; if the share is then exceeded, the earliest ejected ones return."""
        self._states.pop(agent_id, None)
        self._ejected.pop(agent_id, None)
        ejected = sorted(self.ejected(), key=self._ejected_until)
        excess = max(len(ejected) - self.limit(), 0)
        for name in ejected[:excess]:
            self._restore(name, self._states[name])

    def limit(self) -> int:
        """Return how many targets may be set aside at once."""
        return int(self.max_share * len(self._states))

    def ejected(self) -> list[str]:
        """Return the targets that are set aside."""
        return list(self._ejected)

    def is_available(self, agent_id: str) -> bool:
        """Return whether ordinary requests may be sent to the target."""
        return agent_id not in self._ejected

    @property
    def has_ejected(self) -> bool:
        """Whether any target is set aside."""
        return bool(self._ejected)

    def take_probe(self, candidates: list[str], now: float) -> str | None:
        """Return a target whose pause is over and that gets this request as its probe."""
        if not self._ejected:
            return None
        for name in candidates:
            state = self._ejected.get(name)
            if state is None or state.ejected_until is None or now < state.ejected_until:
                continue
            if state.probe_started is None or now >= state.probe_started + state.pause:
                state.probe_started = now
                return name
        return None

    def record_result(self, agent_id: str, succeeded: bool, seconds: float, now: float) -> None:
        """Take the result of one request.

        Parameters
        ----------
        succeeded
            False when the connection failed, the answer timed out or the target broke off;
            refusals for lack of room are no failures.
        seconds
            Time until the answer.
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
        """Return the recent latency of the fastest target; None when nothing recent is known.

        The value is kept for `USUAL_REFRESH_SECONDS`, because each request asks for it.
        """
        if not 0 <= now - self._usual_at < USUAL_REFRESH_SECONDS:
            self._usual = self._fastest(now)
            self._usual_at = now
        return self._usual

    def _fastest(self, now: float) -> float | None:
        averages = [
            state.average
            for state in self._states.values()
            if state.samples >= MIN_SAMPLES and now - state.updated <= FRESH_SECONDS
        ]
        return min(averages, default=None)

    def _record_failure(self, name: str, state: _State, now: float) -> None:
        state.failures += 1
        if state.ejected_until is not None:
            self._extend(state, now)
        elif state.failures >= FAILURES_TO_EJECT:
            self._eject(name, state, now)

    def _record_latency(self, state: _State, seconds: float, now: float) -> None:
        weight = LATENCY_WEIGHT if state.samples else 1.0
        state.average += weight * (seconds - state.average)
        state.samples += 1
        state.updated = now

    def _end_probe(self, name: str, state: _State, seconds: float, now: float) -> None:
        if state.probe_started is None:
            return  # an answer to a request from before the ejection proves nothing
        if seconds > self._slow_limit():
            self._extend(state, now)
        else:
            self._restore(name, state)

    def _is_slow(self, state: _State) -> bool:
        return state.samples >= MIN_SAMPLES and state.average > self._slow_limit()

    def _slow_limit(self) -> float:
        averages = [other.average for other in self._states.values() if other.samples]
        usual = median(averages) if averages else 0.0
        return max(SLOW_FACTOR * usual, SLOW_FLOOR_SECONDS)

    def _eject(self, name: str, state: _State, now: float) -> None:
        if len(self._ejected) < self.limit():
            state.ejected_until = now + state.pause
            self._ejected[name] = state

    def _extend(self, state: _State, now: float) -> None:
        state.pause = min(state.pause * 2, MAX_PAUSE_SECONDS)
        state.ejected_until = now + state.pause
        state.probe_started = None

    def _restore(self, name: str, state: _State) -> None:
        self._ejected.pop(name, None)
        state.ejected_until = None
        state.probe_started = None
        state.pause = FIRST_PAUSE_SECONDS
        state.failures = 0
        state.samples = 0
        state.average = 0.0

    def _ejected_until(self, name: str) -> float:
        return self._states[name].ejected_until or 0.0

"""Applies the pressure policy to this host."""

from __future__ import annotations

import logging
from collections.abc import Callable

import gevent

from acaciastand.agent.executor import CounterSink, RequestExecutor
from acaciastand.host import Attempt, AttemptState, Host
from acaciastand.pressure import (
    Action,
    ActionKind,
    HeadroomPolicy,
    HostView,
    StagedPressure,
    SurgeDetector,
    TaskView,
    Weights,
)
from acaciastand.settings.schema import EffectiveSettings

SHED_INTERVAL_SECONDS = 0.25
# Two rounds (2 s until the first one shows, 1 s for checkpoints) and twice the delay of the
# worker's list (0.5 s between polls, its own lag) and of commands (0.1 s).
MAX_OVER_CORES_SECONDS = 6.0
MAX_OVER_MEMORY_SECONDS = 2.0  # one delay of the list, one decision and the worker's stop
MIN_SURGE_RATE = 2.0  # requests per second; slower rates double by chance
MIN_SURGE_SLOT_SHARE = 0.5  # share of the slots; a few slots in use double by chance
MIN_SURGE_LATENCY_SECONDS = 0.02  # faster targets are not slowed by a lack of cores

log = logging.getLogger(__name__)


class Shedder:
    """Observes the host and carries out what the pressure policy decides.

    Parameters
    ----------
    on_action
        Called after the host took actions, to carry out its commands.
    region_surging
        Returns whether an entry sees a surge of any service of the region.
    """

    def __init__(
        self,
        host: Host,
        executor: RequestExecutor,
        counters: CounterSink,
        clock: Callable[[], float],
        on_action: Callable[[], None],
        region_surging: Callable[[], bool],
    ) -> None:
        self.host = host
        self.executor = executor
        self.counters = counters
        self.clock = clock
        self.on_action = on_action
        defaults = EffectiveSettings()
        self.headroom = HeadroomPolicy(defaults.headroom, Weights())
        self.policy = StagedPressure(
            defaults.evictions_per_minute, defaults.min_run_seconds, Weights()
        )
        self.rate = SurgeDetector(MIN_SURGE_RATE)
        self.slots = SurgeDetector(MIN_SURGE_SLOT_SHARE)
        self.latency = SurgeDetector(MIN_SURGE_LATENCY_SECONDS)
        self.region_surging = region_surging
        self._arrived = 0
        self._observed_at: float | None = None
        self.apply(defaults)

    def apply(self, settings: EffectiveSettings) -> None:
        """Take new settings; a reaction under way goes on."""
        weights = Weights(
            settings.tail_latency_weight, settings.throughput_weight, settings.eviction_weight
        )
        self.headroom.base = settings.headroom
        self.headroom.weights = self.policy.weights = weights
        self.policy.evictions.per_minute = settings.evictions_per_minute
        self.policy.min_run_seconds = settings.min_run_seconds
        self.host.headroom = self.headroom.share(False, self.clock())

    def run(self) -> None:
        """Observe and act until killed."""
        while True:
            self.step()
            gevent.sleep(SHED_INTERVAL_SECONDS)

    def step(self) -> None:
        """Observe and act once."""
        now = self.clock()
        surging = self._surging(now) or self.region_surging()
        self.host.headroom = self.headroom.share(surging, now)
        if self.host.recovering or not self.host.worker_up:
            return  # the observed use is out of date
        actions = self.policy.decide(self._view(surging, now), now)
        for action in actions:
            self._carry_out(action)
        self._set_shedding(self.policy.shedding)
        if actions:
            self.on_action()

    def _surging(self, now: float) -> bool:
        arrived = self.executor.arrived
        if self._observed_at is not None and now > self._observed_at:
            self.rate.record((arrived - self._arrived) / (now - self._observed_at), now)
        self._arrived, self._observed_at = arrived, now
        slots = self.host.requests.slots
        self.slots.record(slots.in_flight / max(1, slots.slot_limit), now)
        self.latency.record(self.executor.recent_seconds, now)
        return self.rate.surging or self.slots.surging or self.latency.surging

    def _view(self, surging: bool, now: float) -> HostView:
        host = self.host
        stopping = AttemptState.STOPPING
        tasks = [
            _task(attempt, now)
            for attempt in host.ledger.active_attempts()
            if attempt.state != stopping
        ]
        headroom_cores = host.capacity.cores * host.headroom
        return HostView(host.capacity, host.reserved, headroom_cores, surging, tasks)

    def _carry_out(self, action: Action) -> None:
        name = (action.task_id, action.attempt)
        if action.kind is ActionKind.THROTTLE:
            if self.host.limit_cores(*name, action.cores):
                self.counters.increment("pressure.throttled")
        elif action.kind is ActionKind.RELEASE:
            if self.host.limit_cores(*name, action.cores):
                self.counters.increment("pressure.released")
        elif action.kind is ActionKind.CHECKPOINT:
            if self.host.request_checkpoint(*name):
                self.counters.increment("pressure.checkpointed")
        elif self.host.evict(*name):
            self.counters.increment(f"pressure.evicted.{action.cause}")

    def _set_shedding(self, shedding: bool) -> None:
        if shedding != self.host.shedding:
            self.host.shedding = shedding
            log.info("the host %s shedding", "starts" if shedding else "ends")
            self.counters.increment("pressure.begun" if shedding else "pressure.ended")


def _task(attempt: Attempt, now: float) -> TaskView:
    tracked_seconds = now - attempt.tracked_since
    # The worker's run time can include earlier attempts, whose progress is saved.
    unsaved = min(tracked_seconds, attempt.run_seconds - attempt.checkpoint_seconds)
    return TaskView(
        attempt.task_id,
        attempt.number,
        attempt.grant.size,
        attempt.observed,
        tracked_seconds,
        max(0.0, unsaved),
        attempt.grant.urgent,
        attempt.is_bucket,
    )

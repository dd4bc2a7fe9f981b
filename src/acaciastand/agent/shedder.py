"""Load shedding: applies the pressure policy to this host."""

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
# Longest time that the use of cores may exceed the capacity. It covers two rounds of the pressure
# policy (2 s until the first one shows, 1 s for checkpoints) and twice the delays of the worker's
# list (0.5 s between polls, and its own lag) and of commands (0.1 s).
MAX_CORE_OVERLOAD_SECONDS = 6.0
# Longest time that the use of memory may exceed the capacity. It covers one delay of the worker's
# list, one decision and the worker's stop.
MAX_MEMORY_OVERLOAD_SECONDS = 2.0
MIN_SURGE_RATE = 2.0  # Requests per second; lower rates double by chance.
MIN_SURGE_SLOT_SHARE = 0.5  # Share of the slots; a few occupied slots double by chance.
MIN_SURGE_LATENCY_SECONDS = 0.02  # Faster targets are not slowed by a lack of cores.

log = logging.getLogger(__name__)


class LoadShedder:
    """Observes the host and carries out the decisions of the pressure policy.

    Parameters
    ----------
    clock
        Returns monotonic seconds.
    on_action
        Called after actions were applied to the host, so that its commands are carried out.
    is_region_surging
        Returns whether an entry reports a surge of any service of the region.

    Attributes
    ----------
    rate_detector, slot_detector, latency_detector
        Detectors of surges of the service in requests per second, in the share of occupied slots
        and in the latency of the target.
    """

    def __init__(
        self,
        host: Host,
        executor: RequestExecutor,
        counters: CounterSink,
        clock: Callable[[], float],
        on_action: Callable[[], None],
        is_region_surging: Callable[[], bool],
    ) -> None:
        self.host = host
        self.executor = executor
        self.counters = counters
        self.clock = clock
        self.on_action = on_action
        defaults = EffectiveSettings()
        self.headroom_policy = HeadroomPolicy(defaults.headroom, Weights())
        self.pressure_policy = StagedPressure(
            defaults.evictions_per_minute, defaults.min_run_seconds, Weights()
        )
        self.rate_detector = SurgeDetector(MIN_SURGE_RATE)
        self.slot_detector = SurgeDetector(MIN_SURGE_SLOT_SHARE)
        self.latency_detector = SurgeDetector(MIN_SURGE_LATENCY_SECONDS)
        self.is_region_surging = is_region_surging
        self._observed_count = 0
        self._observed_at: float | None = None
        self.apply_settings(defaults)

    def apply_settings(self, settings: EffectiveSettings) -> None:
        """Apply new settings; throttling and evictions in progress continue."""
        weights = Weights(
            settings.tail_latency_weight, settings.throughput_weight, settings.eviction_weight
        )
        self.headroom_policy.base = settings.headroom
        self.headroom_policy.weights = self.pressure_policy.weights = weights
        self.pressure_policy.evictions.per_minute = settings.evictions_per_minute
        self.pressure_policy.min_run_seconds = settings.min_run_seconds
        self.host.headroom = self.headroom_policy.share(False, self.clock())

    def run(self) -> None:
        """Observe and act until killed."""
        while True:
            self.run_once()
            gevent.sleep(SHED_INTERVAL_SECONDS)

    def run_once(self) -> None:
        """Observe and act once."""
        now = self.clock()
        surging = self._detect_surge(now) or self.is_region_surging()
        self.host.headroom = self.headroom_policy.share(surging, now)
        if self.host.recovering or not self.host.worker_up:
            return  # The observed use is out of date.
        actions = self.pressure_policy.decide(self._host_view(surging, now), now)
        for action in actions:
            self._apply_action(action)
        self._set_shedding(self.pressure_policy.shedding)
        if actions:
            self.on_action()

    def _detect_surge(self, now: float) -> bool:
        arrived = self.executor.arrived_count
        if self._observed_at is not None and now > self._observed_at:
            self.rate_detector.record(
                (arrived - self._observed_count) / (now - self._observed_at), now
            )
        self._observed_count, self._observed_at = arrived, now
        slots = self.host.requests.slots
        self.slot_detector.record(slots.in_flight / max(1, slots.slot_limit), now)
        self.latency_detector.record(self.executor.recent_latency_seconds, now)
        return (
            self.rate_detector.surging
            or self.slot_detector.surging
            or self.latency_detector.surging
        )

    def _host_view(self, surging: bool, now: float) -> HostView:
        host = self.host
        stopping = AttemptState.STOPPING
        tasks = [
            _task_view(attempt, now)
            for attempt in host.ledger.active_attempts()
            if attempt.state != stopping
        ]
        headroom_cores = host.capacity.cores * host.headroom
        return HostView(host.capacity, host.reserved, headroom_cores, surging, tasks)

    def _apply_action(self, action: Action) -> None:
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
            log.info("the host %s shedding load", "starts" if shedding else "ends")
            self.counters.increment("pressure.begun" if shedding else "pressure.ended")


def _task_view(attempt: Attempt, now: float) -> TaskView:
    tracked_seconds = now - attempt.tracked_since
    # The worker's run time can include earlier attempts, whose progress is saved.
    unsaved_seconds = min(tracked_seconds, attempt.run_seconds - attempt.checkpoint_seconds)
    return TaskView(
        attempt.task_id,
        attempt.number,
        attempt.grant.size,
        attempt.observed,
        tracked_seconds,
        max(0.0, unsaved_seconds),
        attempt.grant.urgent,
        attempt.is_bucket,
    )

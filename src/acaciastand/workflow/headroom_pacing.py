"""Pace of batch tasks by the headroom that each is known to take from the services beside it."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from acaciastand.workflow.interference import (
    BASE_ERROR_VARIANCE,
    HEADROOM_ERROR_SHARE,
    SMOOTHING_FACTOR,
    headroom,
)
from acaciastand.workflow.pacing import (
    FULL_PERCENT,
    MIN_PACE_PERCENT,
    BatchCost,
    Pacer,
    RunLimits,
    TailPacer,
)
from acaciastand.workflow.reports import ActiveRun
from acaciastand.workflow.service_load import ServiceLoad

MIN_HEADROOM = 1.2  # Headroom that batch tasks leave to each service; 1 is the latency target.
# Time for which the load is predicted: a change of pace shows in the tail latency after about that.
PREDICTION_SECONDS = 1.2
NEGLIGIBLE_HEADROOM = 0.05  # A task that takes less from a service is not slowed down for it.
PACE_STEP_PERCENT = 8  # Smaller changes of a pace are not worth a command, unless to full speed.
MAX_RISE_PERCENT = 25  # Largest increase of a pace at once.
MAX_LOAD_AGE_SECONDS = 2.5  # A load that was measured longer ago is estimated anew.


class HeadroomPacer(Pacer):
    """Pacer that gives batch tasks as much speed as the services beside them have headroom for.

    Designed for services whose load swings within seconds: tasks are slowed down before the target
    is exceeded, by as much as is needed, and only those that take headroom from the service that is
    short of it. A wrong estimate of what a task takes corrects itself, since it moves the estimated
    headroom without batch tasks by as much.

    Tasks with unknown pairs, and targets that are exceeded in spite of all that is known, are left
    to a `TailPacer`.

    Attributes
    ----------
    loads
        Headroom of each service without batch tasks, by job and step of the service.
    smoothed_cores
        Cores of each batch task, smoothed as they show in the tail latencies.
    paces
        Current pace of each batch task in percent.
    fallback
        Pacer for what is not known.
    """

    __slots__ = ("loads", "smoothed_cores", "paces", "fallback")

    def __init__(self) -> None:
        super().__init__()
        self.loads: dict[str, ServiceLoad] = {}
        self.smoothed_cores: dict[str, float] = {}
        self.paces: dict[str, int] = {}
        self.fallback = TailPacer()

    def update(
        self,
        running: Sequence[ActiveRun],
        limits: Mapping[str, RunLimits],
        costs: Mapping[str, BatchCost],
        now: float,
    ) -> dict[str, int]:
        """Return the pace of each batch task after a poll of the worker."""
        # Known tasks are paced here, so to the fallback they do not interfere.
        left_to_fallback = {
            task: BatchCost(cost.cores, {}, cost.is_known) for task, cost in costs.items()
        }
        fallback_paces = self.fallback.update(running, limits, left_to_fallback, now)
        self.tail_share = self.fallback.tail_share
        batch = {run.task: run for run in running if run.task in fallback_paces}
        self._smooth_cores(batch)
        shares = self._speed_shares(_measured_headrooms(running, limits), batch, costs, now)
        self.paces = {
            task: min(self._next_pace(task, shares.get(task, 1.0)), fallback_paces[task])
            for task in batch
        }
        return self.paces

    def _smooth_cores(self, batch: Mapping[str, ActiveRun]) -> None:
        self.smoothed_cores = {
            task: (1.0 - SMOOTHING_FACTOR) * self.smoothed_cores.get(task, 0.0)
            + SMOOTHING_FACTOR * run.measurement / 1000
            for task, run in batch.items()
        }

    def _speed_shares(
        self,
        measured: Mapping[str, float],
        batch: Mapping[str, ActiveRun],
        costs: Mapping[str, BatchCost],
        now: float,
    ) -> dict[str, float]:
        """Return the share of full speed for each task that a service is short of headroom for."""
        self.loads = {key: load for key, load in self.loads.items() if key in measured}
        shares: dict[str, float] = {}
        for service, present in measured.items():
            alone = self._correct_load(service, present, batch, costs, now)
            spare = alone.lowest_within(PREDICTION_SECONDS, now) - MIN_HEADROOM
            taking = {
                task: costs[task].takes(service)
                for task in batch
                if task in costs and costs[task].takes(service) >= NEGLIGIBLE_HEADROOM
            }
            wanted = sum(taking.values())
            if not taking or wanted <= spare:
                continue
            share = max(0.0, spare / wanted)
            for task in taking:
                shares[task] = min(share, shares.get(task, 1.0))
        return shares

    def _correct_load(
        self,
        service: str,
        measured: float,
        batch: Mapping[str, ActiveRun],
        costs: Mapping[str, BatchCost],
        now: float,
    ) -> ServiceLoad:
        """Return the load of a service, corrected by what was measured of it."""
        taken = sum(
            costs[task].headroom_per_core.get(service, 0.0) * self.smoothed_cores[task]
            for task in batch
            if task in costs
        )
        variance = BASE_ERROR_VARIANCE + (HEADROOM_ERROR_SHARE * measured) ** 2
        load = self.loads.get(service)
        if load is None or now - load.updated_at > MAX_LOAD_AGE_SECONDS:
            load = self.loads[service] = ServiceLoad(measured + taken, variance, now)
        else:
            load.correct(measured + taken, variance, now)
        return load

    def _next_pace(self, task: str, share: float) -> int:
        """Return the next pace of a task that may work at a share of its full speed."""
        current = self.paces.get(task, FULL_PERCENT)
        wanted = int(share * FULL_PERCENT)
        if wanted < MIN_PACE_PERCENT:
            return 0
        wanted = min(wanted, current + MAX_RISE_PERCENT)
        if wanted != FULL_PERCENT and abs(wanted - current) < PACE_STEP_PERCENT:
            return current
        return wanted


def _measured_headrooms(
    running: Sequence[ActiveRun], limits: Mapping[str, RunLimits]
) -> dict[str, float]:
    """Return the mean measured headroom of the service tasks of each job and step."""
    measured: dict[str, list[float]] = {}
    for run in running:
        limit = limits.get(run.task)
        if limit is not None and limit.target_ms > 0 and run.measurement > 0:
            service = run.task.rpartition(".")[0]
            measured.setdefault(service, []).append(headroom(run.measurement / limit.target_ms))
    return {service: sum(values) / len(values) for service, values in measured.items()}

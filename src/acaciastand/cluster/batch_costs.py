"""Encoding of what batch tasks take from the services on their worker, as grants carry it."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

from acaciastand.checks import check_integer, check_list, check_number, check_text, decode_rows
from acaciastand.workflow.pacing import BatchCost
from acaciastand.workflow.worker import WorkerView, services_by_step

UNKNOWN = -1  # Stands for the headroom of a pair of images that is not known.


def encode_batch_costs(
    costs: dict[str, BatchCost], worker: WorkerView
) -> tuple[list[str], list[list[Any]]]:
    """Return the values of `RunGrant.services` and `RunGrant.batch_costs`."""
    services = list(services_by_step(worker))
    rows = [
        [task, cost.cores, [_to_thousandths(cost, service) for service in services]]
        for task, cost in costs.items()
    ]
    return services, rows


def decode_batch_costs(
    services: list[str], rows: list[Any], on_ignored: Callable[[Exception], None]
) -> dict[str, BatchCost]:
    """Return the costs by key of the task from the fields of a grant.

    Parameters
    ----------
    on_ignored
        Called with the error of each row that cannot be decoded and is left out.
    """
    return dict(decode_rows(rows, partial(_decode_row, services), on_ignored))


def _to_thousandths(cost: BatchCost, service: str) -> int:
    per_core = cost.headroom_per_core.get(service)
    return UNKNOWN if per_core is None else round(per_core * 1000)


def _decode_row(services: list[str], row: Any) -> tuple[str, BatchCost]:
    task, cores, per_core = check_list(row)
    thousandths = [check_integer(value, UNKNOWN) for value in check_list(per_core)]
    return check_text(task), _decode_cost(check_number(cores), services, thousandths)


def _decode_cost(cores: float, services: list[str], per_core: list[int]) -> BatchCost:
    known = {
        service: thousandths / 1000
        for service, thousandths in zip(services, per_core, strict=True)
        if thousandths != UNKNOWN
    }
    return BatchCost(cores, known, len(known) == len(services))

"""Replays a load that exceeds the capacity with each order of waiting tasks, without a network.

Run as ``PYTHONHASHSEED=0 PYTHONPATH=src:features python tools/replay_order.py``.

Prints for each load and order the share of the work of batch jobs that was served, where late work
counts for 0.15, and how many batch jobs were served: all, the largest tenth and the fifth below it.
"""

from room_support import replay, served

from acaciastand.workflow.ranking import LATE_FACTOR, LeastSlackFirst, objective_seconds

LOAD_FACTORS = (1.15, 1.6)  # Load as a multiple of the capacity.
LOAD_SECONDS = 34.0
SEEDS = range(1, 6)
LATE_WORTH = 0.15


def worth(world, jobs):
    """Return the work of the batch jobs, and the part that was served."""
    total = credit = 0.0
    for job in jobs:
        if job.queue != "plans":
            continue
        objective = objective_seconds(job, world.scheduler.catalog.by_name(job.queue))
        took = job.ended_unix - job.accepted_unix if job.ended_unix else float("inf")
        share = 1.0 if took <= objective else LATE_WORTH if took <= LATE_FACTOR * objective else 0.0
        total += job.total_core_seconds
        credit += share * job.total_core_seconds
    return total, credit


def play(name, load):
    """Play a load with one order and print who was served."""
    rows = {"all": [], "largest tenth": [], "fifth below": []}
    total = credit = 0.0
    for seed in SEEDS:
        world, jobs = replay(
            LeastSlackFirst() if name == "slack" else None, load, LOAD_SECONDS, seed
        )
        batch = served(world, jobs, "plans", LATE_FACTOR)
        tenth = len(batch) // 10
        rows["all"] += batch
        rows["largest tenth"] += batch[:tenth]
        rows["fifth below"] += batch[tenth : 3 * tenth]
        work, part = worth(world, jobs)
        total, credit = total + work, credit + part
    counts = ", ".join(f"{size} {sum(row)} of {len(row)}" for size, row in rows.items())
    print(f"load {load:.0%}, order by {name}: credit {credit / total:.2f}; {counts}", flush=True)


if __name__ == "__main__":
    for load_factor in LOAD_FACTORS:
        for order in ("slack", "cost"):
            play(order, load_factor)

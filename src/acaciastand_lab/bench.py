"""Measures the slopes that docs/capacity/shards.md is computed from: ``make bench``."""

from __future__ import annotations

import sys
from collections.abc import Callable

from acaciastand_lab import bench_agent, bench_fleet, bench_memory, bench_shard, bench_wire
from acaciastand_lab.measurements import MEASUREMENTS_FILE, Slope, save

SECTIONS: dict[str, Callable[[], list[Slope]]] = {
    "wire": bench_wire.measure,
    "memory": bench_memory.measure,
    "shard": bench_shard.measure,
    "agent_memory": bench_agent.measure_memory,
    "agent_processor": bench_agent.measure_processor,
    "fleet": bench_fleet.measure,
}


def main() -> None:
    """Run the sections named on the command line, or all, and save the results."""
    for name in sys.argv[1:] or SECTIONS:
        slopes = SECTIONS[name]()
        for slope in slopes:
            print(
                f"{slope.name:36} {slope.per_item:12.6g} {slope.unit}, base {slope.base:.6g}, "
                f"residual {slope.residual:.1%}"
            )
        save(slopes)
    print(f"written to {MEASUREMENTS_FILE}")


if __name__ == "__main__":
    main()

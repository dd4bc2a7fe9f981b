"""Measured slopes and the file they are kept in."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import numpy as np

from acaciastand.record import Record

MEASUREMENTS_FILE = Path("docs/capacity/measurements.json")
MIN_SIZES = 4  # a slope over fewer sizes shows no residual worth reading


class Slope(Record):
    """A straight line fitted to measurements at several sizes.

    Parameters
    ----------
    name
        Stable name, such as ``memory.connection``.
    unit
        Unit of `per_item`.
    per_item, base
        Slope and intercept.
    sizes, values
        The measurements, in the unit of `per_item` times items.
    residual
        Largest distance of a measurement from the line, as a share of the largest value.
    """

    __slots__ = ("name", "unit", "per_item", "base", "sizes", "values_at", "residual")

    def __init__(
        self,
        name: str,
        unit: str,
        per_item: float,
        base: float,
        sizes: list[int],
        values_at: list[float],
        residual: float,
    ) -> None:
        self.name = name
        self.unit = unit
        self.per_item = per_item
        self.base = base
        self.sizes = sizes
        self.values_at = values_at
        self.residual = residual


def fit(name: str, unit: str, sizes: list[int], values_at: list[float]) -> Slope:
    """Fit a line by least squares.

    Raises
    ------
    ValueError
        There are fewer than `MIN_SIZES` sizes.
    """
    if len(sizes) < MIN_SIZES:
        raise ValueError(f"{name}: {len(sizes)} sizes; measure at least {MIN_SIZES}")
    per_item, base = np.polyfit(sizes, values_at, 1)
    distances = np.abs(np.polyval([per_item, base], sizes) - np.array(values_at))
    residual = float(distances.max() / max(map(abs, values_at)))
    return Slope(name, unit, float(per_item), float(base), sizes, values_at, residual)


def save(slopes: list[Slope], path: Path = MEASUREMENTS_FILE) -> None:
    """Write the measurements, replacing those with the same names."""
    known = {slope.name: slope for slope in load(path).values()} if path.exists() else {}
    known.update({slope.name: slope for slope in slopes})
    rows = [_to_json(known[name]) for name in sorted(known)]
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(rows, indent=1) + "\n", encoding="utf-8")


def load(path: Path = MEASUREMENTS_FILE) -> dict[str, Slope]:
    """Return the measurements by name."""
    rows = json.loads(path.read_text(encoding="utf-8"))
    return {row["name"]: Slope(**row) for row in rows}


def _to_json(slope: Slope) -> dict[str, Any]:
    row = {name: getattr(slope, name) for name in slope.fields()}
    for name in ("per_item", "base", "residual"):
        row[name] = float(f"{row[name]:.6g}")
    row["values_at"] = [float(f"{value:.6g}") for value in row["values_at"]]
    return row

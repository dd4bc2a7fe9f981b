"""Rows of the capacity tables and the slopes that they are worked out from."""

from __future__ import annotations

from collections.abc import Callable

from acaciastand.record import Record
from acaciastand_lab.measurements import Slope


class Row(Record):
    """One quantity of a role.

    Parameters
    ----------
    value
        None when a slope is missing; `missing` names it.
    limit
        Limit of the value; None when there is none.
    mechanism
        What carries the quantity, or which change would.
    """

    __slots__ = ("quantity", "value", "unit", "limit", "mechanism", "missing")

    def __init__(
        self,
        quantity: str,
        value: float | None,
        unit: str,
        limit: float | None,
        mechanism: str,
        missing: str = "",
    ) -> None:
        self.quantity = quantity
        self.value = value
        self.unit = unit
        self.limit = limit
        self.mechanism = mechanism
        self.missing = missing

    @property
    def verdict(self) -> str:
        """Whether the limit holds, and by what factor it is exceeded if not."""
        if self.limit is None or self.value is None:
            return ""
        if self.value <= self.limit:
            return "holds"
        return f"**exceeded {self.value / self.limit:.1f}x**"


class MissingSlope(Exception):
    """A slope has not been measured."""


class Slopes:
    """Measured slopes by name."""

    __slots__ = ("by_name",)

    def __init__(self, by_name: dict[str, Slope]) -> None:
        self.by_name = by_name

    def find(self, name: str) -> Slope:
        """Return the slope `name`.

        Raises
        ------
        MissingSlope
            It has not been measured.
        """
        if name not in self.by_name:
            raise MissingSlope(name)
        return self.by_name[name]

    def per_item(self, name: str) -> float:
        """Return the value per item."""
        return self.find(name).per_item

    def at(self, name: str, items: float) -> float:
        """Return the value of the line at `items`."""
        slope = self.find(name)
        return slope.base + slope.per_item * items


class Table:
    """Collects the rows of one role."""

    __slots__ = ("rows",)

    def __init__(self) -> None:
        self.rows: list[Row] = []

    def add(
        self,
        quantity: str,
        value: Callable[[], float],
        unit: str,
        mechanism: str,
        limit: float | None = None,
    ) -> None:
        """Add a row; a missing slope is shown by name."""
        try:
            self.rows.append(Row(quantity, value(), unit, limit, mechanism))
        except MissingSlope as missing:
            self.rows.append(Row(quantity, None, unit, limit, mechanism, str(missing)))

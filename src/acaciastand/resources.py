"""Amounts of a worker's resources."""

from __future__ import annotations

from acaciastand.record import Record


class Resources(Record):
    """Processors, memory and accelerators.

    Parameters
    ----------
    cores
        Processor cores; fractions are allowed.
    memory_mb
        Memory in megabytes.
    accelerators
        Whole accelerators.
    """

    __slots__ = ("cores", "memory_mb", "accelerators")

    def __init__(self, cores: float = 0.0, memory_mb: int = 0, accelerators: int = 0) -> None:
        self.cores = cores
        self.memory_mb = memory_mb
        self.accelerators = accelerators

    def plus(self, other: Resources) -> Resources:
        """Return the sum, field by field."""
        return Resources(
            self.cores + other.cores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: Resources) -> Resources:
        """Return the difference, field by field; it can be negative."""
        return Resources(
            self.cores - other.cores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def largest(self, other: Resources) -> Resources:
        """Return the larger amount of each field."""
        return Resources(
            max(self.cores, other.cores),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
        )

    def fits_in(self, other: Resources) -> bool:
        """Return whether `other` has at least as much of every resource."""
        return (
            self.cores <= other.cores + 1e-9  # sums of fractions are inexact
            and self.memory_mb <= other.memory_mb
            and self.accelerators <= other.accelerators
        )

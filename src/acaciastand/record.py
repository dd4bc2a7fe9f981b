"""Base class of plain data classes with slots."""

from __future__ import annotations

from typing import Any, ClassVar, Self


def _slots_of(cls: type) -> tuple[str, ...]:
    names: list[str] = []
    for base in reversed(cls.__mro__):
        slots = base.__dict__.get("__slots__", ())
        names.extend([slots] if isinstance(slots, str) else slots)
    return tuple(names)


class Record:
    """A plain data class; subclasses declare ``__slots__`` and ``__init__``.

    Equality, representation and copying follow the declared slots, in the order of declaration.
    """

    __slots__ = ()
    __hash__ = None  # type: ignore[assignment]
    _field_names: ClassVar[tuple[str, ...]] = ()

    def __init_subclass__(cls, **kwargs: Any) -> None:
        super().__init_subclass__(**kwargs)
        # Walking the base classes on each use took half of the time to encode a message.
        cls._field_names = _slots_of(cls)

    @classmethod
    def fields(cls) -> tuple[str, ...]:
        """Return the names of all slots, base classes first."""
        return cls._field_names

    def values(self) -> tuple[Any, ...]:
        """Return the values of all slots in the order of :meth:`fields`."""
        return tuple([getattr(self, name) for name in self._field_names])

    def replace(self, **changes: Any) -> Self:
        """Return a copy with some fields changed.

        Raises
        ------
        AttributeError
            A name in `changes` is not a field.
        """
        copy = type(self).__new__(type(self))
        for name in self.fields():
            setattr(copy, name, changes.pop(name) if name in changes else getattr(self, name))
        if changes:
            raise AttributeError(f"{type(self).__name__} has no field {next(iter(changes))!r}")
        return copy

    def __eq__(self, other: object) -> bool:
        if type(other) is not type(self):
            return NotImplemented
        return self.values() == other.values()

    def __repr__(self) -> str:
        parts = ", ".join(f"{name}={getattr(self, name)!r}" for name in self.fields())
        return f"{type(self).__name__}({parts})"

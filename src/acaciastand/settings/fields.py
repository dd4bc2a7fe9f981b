"""Kinds of values in the settings file of a process."""

from __future__ import annotations

import ipaddress
from abc import ABC, abstractmethod
from typing import Any

MAX_NAME_CHARACTERS = 200
MAX_LIST_ITEMS = 256
MAX_PORT = 65_535


class FieldKind(ABC):
    """Checks one kind of value; `allowed` describes the kind to operators."""

    allowed = ""

    @abstractmethod
    def accepts(self, value: Any) -> bool:
        """Return whether `value` is of this kind."""


class Text(FieldKind):
    """A string without line breaks."""

    def __init__(self, allowed: str = "a string", empty: bool = False) -> None:
        limit = f"{'0' if empty else '1'} to {MAX_NAME_CHARACTERS} characters"
        self.allowed = f"{allowed} of {limit}"
        self.empty = empty

    def accepts(self, value: Any) -> bool:
        """Return whether `value` is printable text of an allowed length."""
        if not isinstance(value, str):
            return False
        if not value:
            return self.empty
        return len(value) <= MAX_NAME_CHARACTERS and value.isprintable()


class Choice(FieldKind):
    """One of a few strings."""

    def __init__(self, *choices: str) -> None:
        self.choices = choices
        self.allowed = "one of " + ", ".join(f'"{choice}"' for choice in choices)

    def accepts(self, value: Any) -> bool:
        """Return whether `value` is one of the choices."""
        return isinstance(value, str) and value in self.choices


class TreePath(FieldKind):
    """A path in the settings tree, with an exact number of levels."""

    def __init__(self, *levels: str) -> None:
        self.levels = levels
        self.allowed = f'"{"/".join(levels)}"'

    def accepts(self, value: Any) -> bool:
        """Return whether `value` names every level."""
        if not isinstance(value, str) or len(value) > MAX_NAME_CHARACTERS:
            return False
        parts = value.split("/")
        return len(parts) == len(self.levels) and all(is_path_name(part) for part in parts)


class Integer(FieldKind):
    """A whole number in a range, or 0 if `or_zero` is set."""

    def __init__(self, minimum: int, maximum: int, or_zero: bool = False) -> None:
        self.minimum = minimum
        self.maximum = maximum
        self.or_zero = or_zero
        self.allowed = f"a whole number from {minimum} to {maximum}"
        if or_zero:
            self.allowed = f"0 or {self.allowed}"

    def accepts(self, value: Any) -> bool:
        """Return whether `value` is an integer in the range."""
        if isinstance(value, bool) or not isinstance(value, int):
            return False
        return self.minimum <= value <= self.maximum or (self.or_zero and value == 0)


class Number(FieldKind):
    """A number above zero, whole or with a fraction."""

    allowed = "a number above 0"

    def accepts(self, value: Any) -> bool:
        """Return whether `value` is such a number."""
        if isinstance(value, bool) or not isinstance(value, int | float):
            return False
        return 0 < value < float("inf")


class Address(FieldKind):
    """An IPv4 address and port; port 0 only where a process listens."""

    def __init__(self, listens: bool = False, empty: bool = False) -> None:
        self.lowest_port = 0 if listens else 1
        self.empty = empty
        self.allowed = (
            f'"ip:port" with an IPv4 address and a port from {self.lowest_port} to {MAX_PORT}'
        )
        if empty:
            self.allowed += ', or ""'

    def accepts(self, value: Any) -> bool:
        """Return whether `value` is an address."""
        if value == "":
            return self.empty
        return isinstance(value, str) and is_address(value, self.lowest_port)


class Url(FieldKind):
    """``http://ip:port``; host names are not resolved."""

    allowed = '"http://ip:port"'

    def accepts(self, value: Any) -> bool:
        """Return whether `value` is a URL of an IP address and port without a path."""
        if not isinstance(value, str) or not value.startswith("http://"):
            return False
        return is_address(value.removeprefix("http://").removesuffix("/"), 1)


class ListOf(FieldKind):
    """A list whose items are all of one kind."""

    def __init__(self, item: FieldKind, minimum: int = 0) -> None:
        self.item = item
        self.minimum = minimum
        self.allowed = f"a list of {minimum} to {MAX_LIST_ITEMS} items, each {item.allowed}"

    def accepts(self, value: Any) -> bool:
        """Return whether `value` is a list of accepted items."""
        if not isinstance(value, list) or not self.minimum <= len(value) <= MAX_LIST_ITEMS:
            return False
        return all(self.item.accepts(item) for item in value)


def is_path_name(name: str) -> bool:
    """Return whether `name` can be one level of a settings path."""
    return bool(name) and all(
        character.isascii() and (character.isalnum() or character in "-_.") for character in name
    )


def is_address(text: str, lowest_port: int = 1) -> bool:
    """Return whether `text` is ``ip:port`` (IPv4) with a port of at least `lowest_port`."""
    host, separator, port = text.rpartition(":")
    if not separator or not port.isascii() or not port.isdecimal():
        return False
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return lowest_port <= int(port) <= MAX_PORT

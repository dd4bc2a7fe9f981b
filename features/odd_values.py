"""Generator of values that are well-formed and yet nothing that the system writes."""

import cbor2

LARGE_NUMBERS = (2**53, 2**63, 2**70, -1, -(2**63), 1e300, float("inf"), float("nan"), 10**400)
PLAIN = (None, True, False, 0, 1, 1.5, "", "x", "127.0.0.1:99999", "host:1", ":", "[::1]:5", [], {})
NESTING = 3000  # Deeper than Python recurses.


class OddValues:
    """Draws odd values from a source of random numbers."""

    def __init__(self, random):
        self.random = random

    def value(self):
        """Return one odd value."""
        kind = self.random.randrange(5)
        if kind == 0:
            return self.random.choice(LARGE_NUMBERS)
        if kind == 1:
            return [self.value() for _ in range(self.random.randrange(4))]
        if kind == 2:
            return {"key": self.value()}
        if kind == 3:
            return self.random.choice((b"", b"\xff" * 9, "y" * 5000))
        return self.random.choice(PLAIN)

    def variant(self, value):
        """Return a copy of a value with one part replaced, removed or added."""
        if isinstance(value, list) and value and self.random.random() < 0.8:
            copy = list(value)
            place = self.random.randrange(len(copy))
            action = self.random.randrange(6)
            if action == 0:
                del copy[place]
            elif action == 1:
                copy.insert(place, self.value())
            else:
                copy[place] = self.variant(copy[place])
            return copy
        if isinstance(value, dict) and value and self.random.random() < 0.8:
            key = self.random.choice(sorted(value))
            if self.random.randrange(5) == 0:
                return {k: v for k, v in value.items() if k != key}
            return {**value, key: self.variant(value[key])}
        return self.value()

    def encoded(self, value):
        """Return an odd variant of a value as CBOR, at times nested too deeply."""
        if self.random.randrange(8) == 0:
            return self.random.choice((b"\x81", b"\xa1\x01", b"\xc1")) * NESTING + b"\x01"
        if self.random.randrange(12) == 0:
            # A list that contains itself, an array of 2**40 items, a tag and plain text.
            return self.random.choice(
                (
                    b"\xd8\x1c\x81\xd8\x1d\x00",
                    b"\x9b\x00\x00\x01" + b"\x00" * 5,
                    b"\xc0\x61a",
                    b"{}",
                )
            )
        return cbor2.dumps(self.variant(value))

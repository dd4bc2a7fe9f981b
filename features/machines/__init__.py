"""Hypothesis state machines; each module lists its machines by name in `MACHINES`."""

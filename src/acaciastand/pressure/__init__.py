"""Reaction to surges: headroom, throttling, checkpointing and eviction."""

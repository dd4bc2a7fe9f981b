"""Experiments; each module of this package registers its own."""

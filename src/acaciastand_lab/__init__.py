"""Load tool, bench and experiments."""

"""Console programs."""

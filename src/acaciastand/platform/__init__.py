"""Clients of the platform: key-value service, workers and targets."""

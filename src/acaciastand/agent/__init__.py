"""Agent daemon, which runs beside each target or worker and drives its host."""

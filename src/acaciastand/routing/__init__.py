"""Choice of a target for each request, retries, deadlines and target health."""

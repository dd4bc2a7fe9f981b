"""Time limits of grants and ownership, shared by entries and agents.

All are seconds of a clock that also counts while a host is suspended.
"""

# An agent keeps its runs alive for this long after the heartbeat that the owner answered.
GRANT_SECONDS = 4.0
RUN_LEASE_SECONDS = 3.0  # Lease of the runs at their worker. It outlasts a restart of the agent.
CLOCK_DRIFT = 1.05  # Factor by which another clock may be slower.
# An owner issues commands and grants for this long after its last stored renewal.
AUTHORITY_SECONDS = 8.0
HEARTBEAT_SECONDS = 0.5  # Interval between two reports of an agent.
MAX_REPORT_AGE_SECONDS = 1.5  # An agent whose last report is older gets no new work.
# Time for which a job may have nothing on a worker before its tasks wait for no better place.
STARVING_SECONDS = 1.5
# A task that lasts waits no longer than this for a place that another rule prefers.
MAX_HELD_SECONDS = 3.0
COMMAND_SECONDS = 1.5  # A command that takes longer to reach its agent is dropped.

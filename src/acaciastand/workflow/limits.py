"""Time limits of grants and ownership, shared by entries and agents.

All are seconds of a clock that also counts while a host is suspended.
"""

GRANT_SECONDS = 4.0  # an agent keeps its runs alive this long after the heartbeat that was answered
RUN_LEASE_SECONDS = 3.0  # lease of the runs at the worker; outlives a restart of the agent
CLOCK_DRIFT = 1.05  # another clock may be this much slower
AUTHORITY_SECONDS = 8.0  # without a stored renewal an owner orders and grants for this long
HEARTBEAT_SECONDS = 0.5  # between two reports of an agent
FRESH_SECONDS = 1.5  # an agent silent for longer gets no new work
COMMAND_SECONDS = 1.5  # an order is dropped when it reaches the agent later than this

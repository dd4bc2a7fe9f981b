"""Compares the lease that a worker holds with the time that its agent reports."""

from operator import itemgetter

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from acaciastand.cluster.run_lease import CLOSED_CALL_SECONDS, LATE_START_SECONDS, RunLease
from acaciastand.workflow.limits import GRANT_SECONDS

MAX_LEASE_SECONDS = 10.0
WORKER_RATE = 0.98  # The worker's clock may be this slow.
FIRST_CLOCK_MS = 500_000.0
TOLERANCE_SECONDS = 0.002  # Leases are whole milliseconds.


class LeaseMachine(RuleBasedStateMachine):
    """One agent and one worker, whose calls may be lost, late or meet a restarted worker."""

    def __init__(self):
        super().__init__()
        self.now = 1000.0
        self.lease = RunLease(MAX_LEASE_SECONDS, self.now)
        self.born, self.known_born = 1, 0
        self.clock_ms = FIRST_CLOCK_MS
        self.deadline_ms = 0.0
        self.late_calls = []
        self.is_known = False  # Whether the agent has met the present incarnation.
        self.poll()

    def advance(self, seconds):
        """Let time pass, and carry out each late call at its time."""
        end = self.now + seconds
        due = sorted((call for call in self.late_calls if call[0] <= end), key=itemgetter(0))
        self.late_calls = [call for call in self.late_calls if call[0] > end]
        for due_at, lease_ms, _ in due:
            self.pass_time(max(0.0, due_at - self.now))
            self.carry_out(lease_ms)
        self.pass_time(end - self.now)

    def pass_time(self, seconds):
        self.now += seconds
        self.clock_ms += seconds * 1000 * WORKER_RATE

    def carry_out(self, lease_ms):
        """Extend the lease as the worker does: never longer than it allows, never shorter."""
        if lease_ms is not None and lease_ms > self.clock_ms:
            longest = self.clock_ms + MAX_LEASE_SECONDS * 1000
            self.deadline_ms = max(self.deadline_ms, min(lease_ms, longest))

    def extend(self):
        return self.lease.extend(self.now + GRANT_SECONDS, self.now)

    @rule(seconds=st.floats(0.05, 2.0))
    def wait(self, seconds):
        self.advance(seconds)

    @rule()
    def poll(self):
        """Answer a poll, which may find another incarnation than it is meant for."""
        lease_ms = self.extend()
        self.advance(0.1)
        self.carry_out(lease_ms)
        if self.known_born != self.born:
            self.lease.begin_incarnation()
            self.known_born = self.born
        self.is_known = True
        self.lease.record_clock(self.clock_ms, self.now)

    @rule(delay=st.floats(0.0, CLOSED_CALL_SECONDS - 0.1), executed=st.booleans())
    def lose_poll(self, delay, executed):
        lease_ms = self.extend()
        self.advance(0.8)
        if executed:
            self.late_calls.append((self.now + delay, lease_ms, False))
        if lease_ms is not None:
            self.lease.record_unanswered(self.now)
        self.lease.forget_clock()

    @rule(delay=st.floats(0.0, LATE_START_SECONDS - 0.1), executed=st.booleans())
    def lose_start(self, delay, executed):
        lease_ms = self.extend()
        if lease_ms is None:
            return
        self.advance(0.4)
        if executed:
            self.late_calls.append((self.now + delay, lease_ms, True))
        self.lease.record_timed_out_start(self.now)

    @rule()
    def restart(self):
        """Begin an incarnation that knows nothing, with its own clock."""
        self.born += 1
        self.clock_ms, self.deadline_ms = 0.0, 0.0
        self.is_known = False

    @rule(seconds=st.floats(0.1, 5.0))
    def crash(self, seconds):
        """Let the worker refuse connections until it restarts; what it was called with is lost."""
        self.restart()
        self.late_calls = [call for call in self.late_calls if call[2]]
        end = self.now + seconds
        while self.now < end:
            self.lease.record_refused()
            self.now += 0.1
        self.advance(0.0)

    @invariant()
    def lease_ends_as_reported(self):
        if not self.is_known:
            return
        ends_at = self.now + (self.deadline_ms - self.clock_ms) / 1000 / WORKER_RATE
        assert (
            ends_at <= max(self.now, self.lease.alive_until) + TOLERANCE_SECONDS
        ), f"the lease ends at {ends_at:.3f}, reported {self.lease.alive_until:.3f}"

"""State machines of the routing decisions against simple oracles.

RetryBudgetMachine guards against retries above their share of the requests in a window.
TargetHealthMachine guards against more ejected targets than the capped share, and against a target
that never returns. BucketHomesMachine guards against a keyed request that is sent to an
agent with an older attempt of the bucket, or to one that has left.
"""

import zlib

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from acaciastand.routing.budget import WINDOW_SECONDS, RetryBudget
from acaciastand.routing.health import FAILURES_TO_EJECT, MAX_PAUSE_SECONDS, TargetHealth
from acaciastand.routing.keys import BUCKETS_PER_SERVICE, BucketHomes

steps_of_time = st.sampled_from([0.0, 0.01, 0.4, 1.0, 3.0, 9.9, 25.0])
numbers = st.integers(0, 6)
TARGET_NAMES = [f"agent-{number}" for number in range(7)]
names = st.sampled_from(TARGET_NAMES)


class RetryBudgetMachine(RuleBasedStateMachine):
    """Requests, retries and pauses in any order; the time of every event is recorded."""

    @initialize(share=st.sampled_from([0.0, 0.1, 0.2, 0.5, 1.0]))
    def start(self, share):
        self.now = 100.0
        self.share = share
        self.budget = RetryBudget(share)
        self.requests = []
        self.retries = []

    @rule(seconds=steps_of_time)
    def wait(self, seconds):
        self.now += seconds

    @rule(count=st.integers(1, 25))
    def request(self, count):
        for _ in range(count):
            self.budget.record_request(self.now)
            self.requests.append(self.now)

    @rule(count=st.integers(1, 10))
    def retry(self, count):
        for _ in range(count):
            if self.budget.try_acquire(self.now):
                self.retries.append(self.now)
                self.check_window()

    def check_window(self):
        window_start = int(self.now) - WINDOW_SECONDS + 1
        requests = sum(time >= window_start for time in self.requests)
        retries = sum(time >= window_start for time in self.retries)
        assert retries <= self.share * requests, (retries, requests)

    @invariant()
    def check_total(self):
        if hasattr(self, "share"):
            assert len(self.retries) <= self.share * len(self.requests)


class TargetHealthMachine(RuleBasedStateMachine):
    """Answers, failures, probes, arrivals and departures in any order."""

    @initialize(
        share=st.sampled_from([0.0, 0.2, 0.34, 0.5]), count=st.integers(1, len(TARGET_NAMES))
    )
    def start(self, share, count):
        self.now = 100.0
        self.share = share
        self.health = TargetHealth(share)
        self.targets = set()
        for name in TARGET_NAMES[:count]:
            self.add(name)

    def choose_target(self, number):
        return sorted(self.targets)[number % len(self.targets)] if self.targets else "unknown"

    @rule(seconds=steps_of_time)
    def wait(self, seconds):
        self.now += seconds

    @rule(name=names)
    def add(self, name):
        self.health.add(name)
        self.targets.add(name)

    @rule(number=numbers)
    def remove(self, number):
        name = self.choose_target(number)
        self.health.remove(name)
        self.targets.discard(name)

    @rule(count=st.integers(1, 3))
    def remove_healthy(self, count):
        for name in sorted(self.targets - set(self.health.ejected()))[:count]:
            self.health.remove(name)
            self.targets.discard(name)
            self.check_share()

    @rule(number=numbers, count=st.integers(FAILURES_TO_EJECT - 1, FAILURES_TO_EJECT + 1))
    def fail(self, number, count):
        for _ in range(count):
            self.health.record_result(self.choose_target(number), False, 1.0, self.now)

    @rule(number=numbers, seconds=st.sampled_from([0.002, 0.01, 0.5]), count=st.integers(1, 25))
    def answer(self, number, seconds, count):
        for _ in range(count):
            self.health.record_result(self.choose_target(number), True, seconds, self.now)

    @precondition(lambda self: self.health.ejected())
    @rule()
    def probes_restore_all(self):
        for _ in range(len(self.targets) * 2):
            self.now += MAX_PAUSE_SECONDS
            name = self.health.start_probe(sorted(self.targets), self.now)
            if name is None:
                break
            self.health.record_result(name, True, 0.0, self.now)
        assert not self.health.ejected()

    @invariant()
    def check_share(self):
        if hasattr(self, "share"):
            ejected = self.health.ejected()
            assert set(ejected) <= self.targets
            assert len(ejected) <= self.share * len(self.targets), ejected


class BucketHomesMachine(RuleBasedStateMachine):
    """Announcements in any order, some of them stale, against a search through all of them."""

    @initialize()
    def start(self):
        self.homes = BucketHomes()
        self.announced = {}

    @rule(
        name=names,
        attempts=st.dictionaries(
            st.sampled_from(
                [
                    f"bucket/{service}/{number}"
                    for service in ("a", "b")
                    for number in range(BUCKETS_PER_SERVICE)
                ]
                + ["j1-2/3", "bucket/a/99", "bucket//1", "bucket/a/x"]
            ),
            st.integers(1, 5),
            max_size=40,
        ),
    )
    def announce(self, name, attempts):
        self.homes.announce(name, attempts)
        self.announced[name] = attempts

    @rule(name=names)
    def leave(self, name):
        self.homes.remove(name)
        self.announced.pop(name, None)

    @rule(key=st.text(max_size=8), service=st.sampled_from(["a", "b", "c"]))
    def route(self, key, service):
        task_id = f"bucket/{service}/{zlib.crc32(key.encode()) % 32}"
        holders = {
            name: attempts[task_id]
            for name, attempts in self.announced.items()
            if task_id in attempts
        }
        home = self.homes.home_of(service, key)
        assert (home is None) == (not holders)
        assert home is None or holders[home] == max(holders.values())

    @invariant()
    def check_masks(self):
        if hasattr(self, "homes"):
            numbers = {
                int(task_id.rpartition("/")[2])
                for attempts in self.announced.values()
                for task_id in attempts
                if task_id.startswith("bucket/a/") and task_id not in ("bucket/a/99", "bucket/a/x")
            }
            assert self.homes.bucket_masks().get("a", 0) == sum(1 << number for number in numbers)


MACHINES = {
    "retry budget": RetryBudgetMachine,
    "target health": TargetHealthMachine,
    "bucket homes": BucketHomesMachine,
}

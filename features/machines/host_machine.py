"""State machine that tests `Host` with several owners, faulty links and worker, and restarts."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from acaciastand.errors import Outcome
from acaciastand.host import (
    AdmissionDecision,
    Grant,
    Host,
    RequestMetadata,
    WorkerCommandKind,
    WorkerTask,
    bucket_task_id,
)
from acaciastand.resources import Resources
from machines.host_model import FakeTarget, FakeWorker

CORES = 4.0
SLOTS = 2
CONNECTIONS = 3
GRANT_SECONDS = 4.0
KEY_WINDOW_SECONDS = 30.0
SERVICE = "shop"
KEYS = ("k1", "k2")
TASKS = ("job/a", "job/b", "job/c")
OWNERS = (1, 2, 3)  # Epochs of the owners of the only shard.

index = st.integers(0, 30)


def task_id(name):
    """Return the task id of a task or of the bucket of a key."""
    return bucket_task_id(SERVICE, name) if name in KEYS else name


class Call:
    """A call in transit to the worker; `awaited` is False when the agent no longer waits for it."""

    def __init__(self, host, session, command, grant):
        self.host = host
        self.session = session
        self.command = command
        self.grant = grant
        self.awaited = True


class HostMachine(RuleBasedStateMachine):
    """Drives a host with adversarial owners, links, worker and target, and checks its guarantees.

    The invariants compare the fake worker and target with what the owners have granted.
    """

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.worker = FakeWorker()
        self.target = FakeTarget()
        self.messages = []  # Messages in transit: (kind, link, payload), delivered in any order.
        self.calls = []  # Calls in transit to the worker.
        self.last_attempt = dict.fromkeys((*TASKS, *(bucket_task_id(SERVICE, k) for k in KEYS)), 0)
        self.heartbeat_sent_at = {}  # Send time by (link, sequence).
        self.granted_until = {}  # Latest end of any grant sent by an owner, by (task, attempt).
        self.highest_ended = {}  # Highest attempt number reported as ended, by task.
        self.seen_epoch = 0
        self.key_attempts = dict.fromkeys(KEYS, 1)
        self.first_attempt_at = {}
        self.waiting = []  # Admitted requests whose answer the agent waits for.
        self.joined_callers = 0
        self.request_count = 0
        self.agent_incarnation = 0
        self.new_host()

    def new_host(self):
        self.agent_incarnation += 1
        self.host = Host([SERVICE], SLOTS, CONNECTIONS, GRANT_SECONDS, KEY_WINDOW_SECONDS)
        self.host.capacity = Resources(CORES, 1000, 0)
        self.host.worker_up = True
        self.worker.session += 1
        self.sequences = dict.fromkeys(OWNERS, 0)
        self.seen_epoch = 0

    def link(self, owner):
        return f"{owner}#{self.agent_incarnation}"

    @initialize()
    def recover(self):
        self.poll_target()
        self.poll_worker(0.5)

    @rule(seconds=st.sampled_from([0.1, 0.7, 2.0, 5.0, 20.0]))
    def time_passes(self, seconds):
        self.now += seconds
        self.worker.advance(self.now)

    @rule(owner=st.sampled_from(OWNERS))
    def heartbeat(self, owner):
        self.sequences[owner] += 1
        self.heartbeat_sent_at[(self.link(owner), self.sequences[owner])] = self.now
        self.host.record_heartbeat(self.link(owner), self.sequences[owner], self.now)

    @rule(
        owner=st.sampled_from(OWNERS),
        task=st.sampled_from(TASKS),
        cores=st.sampled_from([0.5, 1.5, 3.0]),
    )
    def send_task_grant(self, owner, task, cores):
        self.send_grant(owner, task, Resources(cores, 10, 0))

    @rule(owner=st.sampled_from(OWNERS), key=st.sampled_from(KEYS))
    def send_bucket_grant(self, owner, key):
        self.send_grant(owner, bucket_task_id(SERVICE, key), Resources())

    @rule(
        task=st.sampled_from(TASKS + KEYS),
        cores=st.sampled_from([1.5, 3.0]),
        delay=st.sampled_from([0.0, 0.0, 2.0, 5.0]),
    )
    def place(self, task, cores, delay):
        owner = max(self.seen_epoch, 1)
        self.heartbeat(owner)
        size = Resources() if task in KEYS else Resources(cores, 10, 0)
        self.send_grant(owner, task_id(task), size)
        self.time_passes(delay)
        self.deliver_grant(*self.messages[-1][1:])
        self.serve_calls()

    @rule(seconds=st.sampled_from([0.0, 1.0, 16.0]))
    def renew_all(self, seconds):
        self.time_passes(seconds)
        owner = max(self.seen_epoch, 1)
        self.heartbeat(owner)
        link, sequence = self.link(owner), self.sequences[owner]
        for attempt in self.host.ledger:
            name = (attempt.task_id, attempt.number)
            self.record_granted(name, link, sequence)
            self.deliver_renew(link, (sequence, name))
        self.serve_calls()

    @rule(task=st.sampled_from(TASKS + KEYS), late_grant=st.booleans())
    def stop_now(self, task, late_grant):
        task = task_id(task)
        owner = max(self.seen_epoch, 1)
        self.deliver_stop(self.link(owner), (owner, task, self.last_attempt[task]))
        self.serve_calls()
        self.collect_reports()
        grants = [m for m in self.messages if m[0] == "grant" and m[2].task_id == task]
        if late_grant and grants:
            self.deliver_grant(*grants[-1][1:])

    def serve_calls(self):
        self.take_commands()
        while self.calls:
            self.worker_call(0, "arrives")

    def send_grant(self, owner, task, size):
        sequence = self.sequences[owner]
        if sequence == 0:
            return
        self.last_attempt[task] += 1
        name = (task, self.last_attempt[task])
        grant = Grant(1, owner, *name, size, 1.0, "", "", sequence, GRANT_SECONDS)
        self.record_granted(name, self.link(owner), sequence)
        self.messages.append(("grant", self.link(owner), grant))

    def record_granted(self, name, link, sequence):
        end = self.heartbeat_sent_at[(link, sequence)] + GRANT_SECONDS
        self.granted_until[name] = max(end, self.granted_until.get(name, 0.0))

    @rule(owner=st.sampled_from(OWNERS), which=index)
    def send_renewal(self, owner, which):
        tracked = sorted((a.task_id, a.number) for a in self.host.ledger)
        if tracked and self.sequences[owner]:
            name = tracked[which % len(tracked)]
            sequence = self.sequences[owner]
            self.record_granted(name, self.link(owner), sequence)
            self.messages.append(("renew", self.link(owner), (sequence, name)))

    @rule(owner=st.sampled_from(OWNERS), task=st.sampled_from(TASKS + KEYS))
    def send_stop(self, owner, task):
        task = task_id(task)
        self.messages.append(("stop", self.link(owner), (owner, task, self.last_attempt[task])))

    @precondition(lambda self: self.messages)
    @rule(which=index, keep=st.booleans())
    def deliver(self, which, keep):
        position = -1 - which % len(self.messages)
        kind, link, payload = self.messages[position]
        if not keep:
            del self.messages[position]
        getattr(self, f"deliver_{kind}")(link, payload)

    def deliver_grant(self, link, grant):
        sent_number = grant.attempt
        before = self.host.ledger.find_attempt(grant.task_id, sent_number)
        reason = self.host.accept_grant(link, grant.replace(), self.now)
        if reason is None:
            assert grant.epoch >= self.seen_epoch, "a grant of a former owner was accepted"
            highest_ended = self.highest_ended.get(grant.task_id, 0)
            assert before or sent_number > highest_ended, "an ended attempt was accepted again"
        self.seen_epoch = max(self.seen_epoch, grant.epoch)

    def deliver_renew(self, link, payload):
        sequence, name = payload
        self.host.renew_grant(link, sequence, *name, 0.0, self.now)

    def deliver_stop(self, link, payload):
        epoch, task, number = payload
        if link.endswith(f"#{self.agent_incarnation}"):  # A closed connection delivers no stop.
            reason = self.host.stop_attempt(1, epoch, task, number, True, self.now)
            self.seen_epoch = max(self.seen_epoch, epoch)
            tracked = self.host.ledger.attempts.get(task)
            if reason is None and (tracked is None or tracked.number > number):
                self.highest_ended[task] = max(number, self.highest_ended.get(task, 0))

    @rule()
    def take_commands(self):
        for command in self.host.issue_commands(self.now):
            tracked = self.host.ledger.find_attempt(command.task_id, command.attempt)
            grant = tracked.grant.replace() if tracked else None
            self.calls.append(Call(self.host, self.worker.session, command, grant))

    @precondition(lambda self: self.calls)
    @rule(which=index, answer=st.sampled_from(["arrives", "lost", "dropped", "late", "refused"]))
    def worker_call(self, which, answer):
        call = self.calls[which % len(self.calls)]
        if answer == "late" and call.awaited:  # The agent gives up, and the call arrives later.
            self.give_up(call)
            return
        self.calls.remove(call)
        if answer == "dropped" or call.session != self.worker.session:
            self.give_up(call)
        elif answer == "refused" and call.command.kind is WorkerCommandKind.START:
            if call.awaited:
                self.host.record_start_refused(call.command, "fault")
        else:
            started = self.carry_out(call)
            if answer == "lost":
                self.give_up(call)
            elif call.awaited:
                self.report_to_host(call.command, started)

    def give_up(self, call):
        if call.awaited and call.host is self.host:
            self.host.record_unknown_outcome(call.command)
        call.awaited = False

    def report_to_host(self, command, started):
        if command.kind in (WorkerCommandKind.STOP, WorkerCommandKind.FORGET):
            self.host.record_stopped(command, "", 0.0, False)
        elif started:
            self.host.record_command_done(command, self.now)
        else:
            self.host.record_start_refused(command, "refused")

    def carry_out(self, call):
        command = call.command
        name = (command.task_id, command.attempt)
        if command.kind is WorkerCommandKind.START:
            was_listed = name in self.worker.tasks
            started = self.worker.start(call.grant, command.valid_until, self.now)
            is_new = started and not was_listed
            assert not is_new or name[1] > self.highest_ended.get(
                name[0], 0
            ), "an ended attempt starts"
            return started
        if command.kind in (WorkerCommandKind.STOP, WorkerCommandKind.FORGET):
            self.worker.stop(*name, self.now)
        else:
            self.worker.change(command.kind, name, command.valid_until, self.now)
        return True

    @rule(unlikely=st.integers(0, 3))
    def restart_worker(self, unlikely):
        if unlikely:
            return
        for name in list(self.worker.tasks):
            self.worker.stop(*name, self.now)
        self.worker.highest_stopped.clear()
        self.worker.session += 1

    @rule(factor=st.sampled_from([0.1, 1.0, 4.0]))
    def poll_worker(self, factor):
        listed = []
        for (task, attempt), grant in self.worker.tasks.items():
            running = self.worker.is_running((task, attempt))
            lease = max(0.0, self.worker.leases[(task, attempt)] - self.now)
            size = grant.size
            usage = Resources(size.cores * factor, size.memory_mb, 0)
            state = "running" if running else "paused"
            listed.append(WorkerTask(task, attempt, 1, state, size, usage, lease))
        self.host.apply_worker_tasks(listed, self.now, self.now)

    @rule()
    def poll_target(self):
        self.host.apply_target_status(True, list(self.target.active), self.now)

    @rule()
    def collect_reports(self):
        for attempt in self.host.unconfirmed_attempts():
            name = attempt.task_id
            self.highest_ended[name] = max(attempt.number, self.highest_ended.get(name, 0))
            self.host.confirm_result(attempt.task_id, attempt.number, self.now)

    @rule()
    def restart_agent(self):
        self.waiting, self.joined_callers = [], 0
        for key in KEYS:
            self.use_next_attempt_number(key)
        self.new_host()

    @precondition(lambda self: not self.host.recovering)
    @rule(ends=st.integers(0, 3))
    def drain(self, ends):
        self.host.drain()
        if ends:
            self.serve_calls()
            self.host.end_drain()

    @rule()
    def end_drain(self):
        self.host.end_drain()

    @rule()
    def restart_and_recover(self):
        self.restart_agent()
        self.recover()

    @rule(
        key=st.sampled_from(("", *KEYS)), with_age=st.booleans(), times=st.sampled_from([1, 2, 5])
    )
    def requests(self, key, with_age, times):
        if self.waiting and times == 2:
            self.end_request(0, False)
        if key and times > 1:
            self.place(key, 1.5, 0.0)
        if key and times == 5:
            self.renew_all(16.0)  # Longer than any request with a key may take.
        for _ in range(times):
            self.request(key, with_age)

    def request(self, key, with_age):
        self.request_count += 1
        number = self.key_attempts.get(key, 0)
        first_attempt_at = self.first_attempt_at.setdefault(key, self.now)
        age = self.now - first_attempt_at if key and with_age else None
        request = RequestMetadata(f"r{self.request_count}", SERVICE, 1, 1.0, key, number, age)
        admission = self.host.requests.admit(request, self.now)
        if admission.decision is AdmissionDecision.RUN:
            self.target.begin(request)
            self.waiting.append(request)
        elif admission.decision is AdmissionDecision.JOIN:
            self.joined_callers += 1
        elif admission.decision is AdmissionDecision.ANSWER:
            self.host.requests.release_connection()
        if key and admission.outcome is not Outcome.NOT_RUN:
            self.use_next_attempt_number(key)

    def use_next_attempt_number(self, key):
        # Callers keep their attempt number only after a refusal that says that nothing ran.
        if key in self.first_attempt_at:
            self.key_attempts[key] = max(2, self.key_attempts[key] + 1)

    @precondition(lambda self: self.joined_callers)
    @rule()
    def joined_caller_leaves(self):
        self.joined_callers -= 1
        self.host.requests.release_connection()

    @precondition(lambda self: self.waiting)
    @rule(which=index, answered=st.booleans())
    def end_request(self, which, answered):
        request = self.waiting.pop(which % len(self.waiting))
        if answered and request.request_id in self.target.active:
            del self.target.active[request.request_id]
            self.host.requests.record_answer(request, "answer", 6, self.now)
        else:
            self.host.requests.record_unknown(request, self.now)
        self.host.requests.release_connection()

    @precondition(lambda self: self.target.active)
    @rule(which=index)
    def target_finishes(self, which):
        names = sorted(self.target.active)
        del self.target.active[names[which % len(names)]]

    @invariant()
    def capacity_is_respected(self):
        assert (
            self.worker.declared_cores() <= CORES + 1e-9
        ), "the worker's tasks exceed the capacity"

    @invariant()
    def slots_are_respected(self):
        assert len(self.target.active) <= SLOTS, "the target runs more than its slots"
        assert len(self.waiting) + self.joined_callers <= CONNECTIONS, "too many callers wait"

    @invariant()
    def no_run_outlives_its_grant(self):
        for span in self.worker.spans:
            end = self.now if span.stopped is None else span.stopped
            assert end <= self.granted_until[span.name] + 1e-6, f"{span.name} runs past its grant"

    @invariant()
    def ended_attempts_do_not_run(self):
        for task, attempt in self.worker.tasks:
            if attempt <= self.highest_ended.get(task, 0):
                assert self.worker.is_running((task, attempt)) is False, "an ended attempt runs"

    @invariant()
    def a_task_runs_once(self):
        running = [span.name[0] for span in self.worker.spans if span.stopped is None]
        assert len(running) == len(set(running)), "two attempts of one task run"

    @invariant()
    def a_key_runs_at_most_once(self):
        assert all(count <= 1 for count in self.target.by_key.values()), "a key runs twice"


MACHINES = {"host": HostMachine}

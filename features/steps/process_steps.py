"""Steps over real processes on loopback; waits are on conditions."""

import itertools
import threading
import time

from behave import given, then, when
from process_support import agent_with_task, other_entry, owner_of

from acaciastand_lab.demo import (
    edit,
    find_double_runs,
    job_state,
    send_request,
    submit,
    wait_done,
    wait_running,
)
from acaciastand_lab.processes import (
    Deployment,
    call,
    call_json,
    wait_until,
)

GRANT_SECONDS = 2.0
STOP_SECONDS = 0.5
OUTAGE_HOLD_SECONDS = 10.0
OUTAGE_SECONDS = 6.0  # longer than the lease of an entry
COMPLETION_SECONDS = 60.0
CALLERS = 4


@given("a running deployment with short grants")
def step_deployment(context):
    context.deployment = context.stack.enter_context(Deployment(cores=4))
    context.deployment.start()
    edit(context.deployment, "grant_seconds", GRANT_SECONDS)
    edit(context.deployment, "stop_seconds", STOP_SECONDS)
    edit(context.deployment, "outage_hold_seconds", OUTAGE_HOLD_SECONDS)
    context.exit_codes = []


@given("a job of {tasks:d} tasks of {seconds:d} seconds is running")
def step_job(context, tasks, seconds):
    context.job_id = submit(context.deployment, "entry-0", "fault", tasks, float(seconds))
    wait_running(context.deployment, "entry-0", context.job_id)


def kill_owner(context):
    owner = owner_of(context.deployment, context.job_id)
    context.deployment.programs[owner].kill()
    context.reader = other_entry(context.deployment, owner)


def freeze_owner(context):
    owner = owner_of(context.deployment, context.job_id)
    context.deployment.programs[owner].freeze()
    context.reader = other_entry(context.deployment, owner)
    wait_until(lambda: owner_is(context, context.reader), "the other entry takes the shard over")
    context.deployment.programs[owner].thaw()


def owner_is(context, entry):
    shard = int(context.job_id.partition("-")[0].removeprefix("j"))
    return shard in context.deployment.status(entry)["shards"]


def stop_owner(context):
    owner = owner_of(context.deployment, context.job_id)
    context.reader = other_entry(context.deployment, owner)
    assert context.deployment.programs[owner].stop() == 0


def kill_agent(context):
    agent = agent_with_task(context.deployment)
    context.deployment.programs[agent].kill()
    context.deployment.start_agent(agent)


def freeze_agent(context):
    agent = agent_with_task(context.deployment)
    context.deployment.programs[agent].freeze()
    wait_until(lambda: task_paused(context, agent), "the worker pauses the task")
    context.deployment.programs[agent].thaw()


def task_paused(context, agent):
    worker = call("GET", f"http://{context.deployment.workers[agent]}/v1/worker").json()
    states = [task["state"] for task in worker["tasks"]]
    return bool(states) and "running" not in states


def stop_agent(context):
    agent = agent_with_task(context.deployment)
    assert context.deployment.programs[agent].stop() == 0
    context.deployment.start_agent(agent)


def outage(context):
    context.deployment.store_faults({"outage": True})
    time.sleep(OUTAGE_SECONDS)  # the length of the fault itself, not a wait for an effect
    context.deployment.end_store_faults()


def outage_and_owner_killed(context):
    context.deployment.store_faults({"outage": True})
    kill_owner(context)
    time.sleep(OUTAGE_SECONDS)  # the length of the fault itself, not a wait for an effect
    context.deployment.end_store_faults()


def lose_answers(context):
    context.deployment.store_faults({"lost_answers": ["put_if"], "calls": 10})


def kill_owner_and_agent(context):
    agent = agent_with_task(context.deployment)
    context.deployment.programs[agent].kill()
    kill_owner(context)
    context.deployment.start_agent(agent)


BATCH_FAULTS = {
    "owner killed": kill_owner,
    "owner frozen past its lease and thawed": freeze_owner,
    "owner stopped as planned": stop_owner,
    "agent killed and restarted": kill_agent,
    "agent frozen past its grant and thawed": freeze_agent,
    "agent stopped as planned and restarted": stop_agent,
    "store outage": outage,
    "store outage and owner killed in it": outage_and_owner_killed,
    "store answers lost": lose_answers,
    "owner and agent killed": kill_owner_and_agent,
}


@when('the fault "{fault}" happens')
def step_batch_fault(context, fault):
    context.reader = "entry-0"
    BATCH_FAULTS[fault](context)


@then("the job completes")
def step_completes(context):
    wait_done(context.deployment, context.reader, context.job_id, COMPLETION_SECONDS)
    state = job_state(context.deployment, context.reader, context.job_id)
    assert state["tasks"]["failed"] == 0, state


@then("no task ran in two places or completed twice")
def step_single(context):
    audits = context.deployment.audits("worker")
    assert not find_double_runs(audits), find_double_runs(audits)
    finished = [
        run["task_id"]
        for audit in audits.values()
        for run in audit["runs"]
        if run["end"] == "finished"
    ]
    assert len(finished) == len(set(finished)), finished


@when("the store has an outage")
def step_outage(context):
    context.deployment.store_faults({"outage": True})


@when("the outage ends")
def step_outage_ends(context):
    context.deployment.end_store_faults()


@then("{count:d} requests at each entry are answered")
def step_requests(context, count):
    for entry in context.deployment.http:
        for number in range(count):
            body = f"{entry} {number}".encode()
            answer = send_request(context.deployment, entry, body, Idempotent="true")
            assert answer.status == 200 and answer.body.endswith(body), answer


@then('a job submission is refused as not run with the code "{code}"')
def step_submission_refused(context, code):
    answer = call_json(
        "POST", f"{context.deployment.url()}/v1/jobs", job_payload(context.deployment)
    )
    assert answer.status == 503, answer
    assert answer.json()["outcome"] == "not_run", answer
    assert answer.json()["code"] == code, answer


@then("a job submission is accepted")
def step_submission_accepted(context):
    job_id = submit(context.deployment, "entry-0", "after", 1, 0.1)
    wait_done(context.deployment, "entry-0", job_id)


def job_payload(deployment):
    return {
        "name": "job",
        "team": "print",
        "batch_class": "print-run",
        "priority": "normal",
        "tasks": 1,
        "cores": 1.0,
        "memory_mb": 100,
        "accelerators": 0,
        "run_seconds": 0.1,
        "service": deployment.firm.service,
    }


@given('the setting "{key}" is edited to {value:d}')
def step_edit(context, key, value):
    context.revision = edit(context.deployment, key, value)


@when('the entry "{name}" is killed and restarted')
def step_restart_entry(context, name):
    context.deployment.programs[name].kill()
    context.deployment.start_entry(name)
    context.deployment.wait_ready()


@then('"{name}" shows {value:d} for "{key}"')
def step_shows(context, name, value, key):
    url = f"{context.deployment.url(name)}/v1/settings/{context.deployment.firm.region_path}/{key}"
    wait_until(lambda: call("GET", url).json()["value"] == value, f"{name} shows {value}")


@then("no entry shows an older value")
def step_no_older(context):
    for name in context.deployment.http:
        revision = call("GET", f"{context.deployment.url(name)}/v1/settings").json()["revision"]
        assert revision >= context.revision, (name, revision)


class Balancer:
    """Sends requests to entries whose /readyz succeeds, as the platform's balancer does."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.stopped = threading.Event()
        self.results = []
        self.threads = [
            threading.Thread(target=self.run, args=(number,), daemon=True)
            for number in range(CALLERS)
        ]

    def start(self):
        """Start all callers."""
        for thread in self.threads:
            thread.start()

    def stop(self):
        """Stop the callers and wait for their last answers."""
        self.stopped.set()
        for thread in self.threads:
            thread.join(timeout=30.0)

    def run(self, number):
        """Send one request after the other."""
        for count in itertools.count():
            if self.stopped.is_set():
                return
            entry = self.ready_entry(count + number)
            if entry is None:
                time.sleep(0.05)
                continue
            body = f"caller {number} request {count}".encode()
            self.results.append((body, self.send(entry, body)))

    def send(self, entry, body):
        """Return the answer, or the error when nothing answered."""
        try:
            headers = {"Idempotent": "true", "Request-Timeout-Ms": "10000"}
            return send_request(self.deployment, entry, body, **headers)
        except OSError as error:
            return error

    def ready_entry(self, offset):
        """Return the next entry that is ready."""
        names = list(self.deployment.http)
        for position in range(len(names)):
            name = names[(offset + position) % len(names)]
            try:
                url = f"{self.deployment.url(name)}/readyz"
                if call("GET", url, timeout_seconds=1.0).status == 200:
                    return name
            except OSError:
                continue
        return None


@given("callers send requests through a balancer")
def step_balancer(context):
    context.balancer = Balancer(context.deployment)
    context.balancer.start()
    context.stack.callback(context.balancer.stop)
    wait_until(lambda: len(context.balancer.results) >= CALLERS, "first answers")


@when("each entry is stopped as planned and replaced in turn")
def step_rolling(context):
    for name in list(context.deployment.http):
        context.exit_codes.append(context.deployment.programs[name].stop())
        context.deployment.start_entry(name)
        context.deployment.wait_ready()


@then("every caller got the whole answer to its own request")
def step_whole_answers(context):
    context.balancer.stop()
    assert len(context.balancer.results) > CALLERS
    wrong = [
        (body, answer)
        for body, answer in context.balancer.results
        if getattr(answer, "status", 0) != 200 or not answer.body.endswith(b": " + body)
    ]
    assert not wrong, f"{len(wrong)} of {len(context.balancer.results)}: {wrong[:3]}"


@then("each stop ended with exit code 0")
def step_exit_codes(context):
    assert context.exit_codes and not any(context.exit_codes), context.exit_codes


@given("each target takes {seconds:g} seconds for a request")
def step_slow_targets(context, seconds):
    for agent in context.deployment.agents:
        context.deployment.target_faults(agent, {"service_seconds": seconds})


@when('the agent "{name}" is stopped as planned')
def step_stop_agent(context, name):
    context.exit_codes.append(context.deployment.programs[name].stop())


def send_order(context, entry, attempt):
    headers = {
        "Idempotency-Key": "order-9",
        "Attempt-Number": str(attempt),
        "Request-Timeout-Ms": "5000",
    }
    try:
        return send_request(context.deployment, entry, b"two boxes of wool", **headers)
    except OSError as error:
        return error


def order_runs(context):
    return {
        agent: audit["executions_by_key"].get("order-9", 0)
        for agent, audit in context.deployment.audits("target").items()
    }


def home_of_order(context):
    return next((agent for agent, runs in order_runs(context).items() if runs), None)


@when('a keyed order is sent and the fault "{fault}" happens while it runs')
def step_order(context, fault):
    thread = threading.Thread(target=lambda: repeat_until_started(context), daemon=True)
    thread.start()
    home = wait_until(lambda: home_of_order(context), "the order starts")
    programs = context.deployment.programs
    if fault == "entry killed":
        programs["entry-0"].kill()
    elif fault == "home killed":
        programs[home].kill()
    elif fault == "home frozen":
        programs[home].freeze()
        context.stack.callback(programs[home].thaw)
    else:
        context.deployment.store_faults({"outage": True})
    thread.join(timeout=30.0)


def repeat_until_started(context):
    # A refusal as not run, before the bucket has a home, is sent again with the same number.
    deadline = time.monotonic() + 30.0
    while time.monotonic() < deadline:
        context.first = send_order(context, "entry-0", 1)
        if getattr(context.first, "status", 0) != 503:
            return
        time.sleep(0.1)


@when("the caller repeats the order with rising attempt numbers")
def step_repeats(context):
    context.repeats = []
    for attempt in range(2, 6):
        answer = send_order(context, "entry-1", attempt)
        context.repeats.append(answer)
        time.sleep(1.0)  # spaces the repeats over a move of the bucket


@then("the order ran at most once")
def step_order_once(context):
    assert sum(order_runs(context).values()) <= 1, order_runs(context)


@then("each repeat was answered with the first answer or an unknown outcome")
def step_repeat_answers(context):
    for answer in context.repeats:
        if answer.status == 200:
            assert answer.body.endswith(b": two boxes of wool"), answer
            continue
        # not_run is also true of a repeat: this attempt did not run.
        assert answer.json()["outcome"] in ("unknown", "not_run"), answer


@when('two operators set "{key}" at both entries from the same revision')
def step_race(context, key):
    deployment = context.deployment
    revision = call("GET", f"{deployment.url()}/v1/settings").json()["revision"]
    wait_until(
        lambda: call("GET", f"{deployment.url('entry-1')}/v1/settings").json()["revision"]
        == revision,
        "both entries hold the same revision",
    )
    answers = {}

    def put(entry, value):
        url = f"{deployment.url(entry)}/v1/settings/{deployment.firm.region_path}/{key}"
        payload = {"value": value, "if_revision": revision, "author": entry}
        answers[value] = call_json("PUT", url, payload)

    threads = [
        threading.Thread(target=put, args=pair) for pair in (("entry-0", 1100), ("entry-1", 1200))
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    context.answers = answers
    context.key = key


@then('one edit is accepted and the other gets the code "{code}"')
def step_one_wins(context, code):
    by_status = {answer.status: (value, answer) for value, answer in context.answers.items()}
    assert set(by_status) == {200, 409}, context.answers
    assert by_status[409][1].json()["code"] == code, by_status
    context.accepted = by_status[200][0]


@then("the accepted value is in force everywhere")
def step_in_force(context):
    for name in context.deployment.http:
        step_shows(context, name, context.accepted, context.key)

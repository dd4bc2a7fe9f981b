"""Steps on restarts in a store outage, over real processes."""

from behave import then, when
from process_support import agent_with_task, other_entry, owner_of

from acaciastand_lab.processes import call, wait_until


def tasks_of(context, agent):
    url = f"http://{context.deployment.workers[agent]}/v1/worker"
    return call("GET", url).json()["tasks"]


@when("an agent with running tasks is killed and restarted")
def step_restart_agent(context):
    context.reader = owner_of(context.deployment, context.job_id)
    context.agent = agent_with_task(context.deployment)
    context.deployment.programs[context.agent].kill()
    context.attempts = {(t["task_id"], t["attempt"]) for t in tasks_of(context, context.agent)}
    assert context.attempts
    context.deployment.start_agent(context.agent)


@when("an entry that does not own the job is killed and restarted")
def step_restart_other(context):
    context.restarted = other_entry(context.deployment, context.reader)
    context.deployment.programs[context.restarted].kill()
    context.deployment.start_entry(context.restarted)
    context.deployment.wait_ready()


@then("the agent completes its attempts while the store is down")
def step_completes_attempts(context):
    def finished():
        runs = context.deployment.audits("worker")[context.agent]["runs"]
        ended = {(run["task_id"], run["attempt"]) for run in runs if run["end"] == "finished"}
        return context.attempts <= ended

    # A second attempt would mean that the adopted one was given up.
    wait_until(finished, f"{context.agent} completes {context.attempts}")


@then('the restarted entry shows {value:d} for "{key}"')
def step_restarted_shows(context, value, key):
    path = context.deployment.firm.region_path
    url = f"{context.deployment.url(context.restarted)}/v1/settings/{path}/{key}"
    assert call("GET", url).json()["value"] == value


@then("every task is paused at its worker")
def step_all_paused(context):
    def paused():
        workers = context.deployment.agents
        states = [task["state"] for agent in workers for task in tasks_of(context, agent)]
        return bool(states) and set(states) == {"paused"}

    context.reader = "entry-0"
    wait_until(paused, "every task is paused")

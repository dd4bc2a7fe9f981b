"""Looks at a deployment of real processes."""

from acaciastand_lab.processes import wait_until


def owner_of(deployment, job_id):
    """Wait until a running entry owns the shard of a job and return its name."""
    shard = int(job_id.partition("-")[0].removeprefix("j"))

    def find():
        for name in deployment.http:
            if deployment.programs[name].running and shard in deployment.status(name)["shards"]:
                return name
        return None

    return wait_until(find, f"shard {shard} has an owner")


def other_entry(deployment, name):
    """Return an entry that is not `name`."""
    return next(entry for entry in deployment.http if entry != name)


def agent_with_task(deployment):
    """Wait until a task runs and return the agent beside its worker."""

    def find():
        for agent, audit in deployment.audits("worker").items():
            if any(run["stopped"] is None for run in audit["runs"]):
                return agent
        return None

    return wait_until(find, "a task runs on some worker")

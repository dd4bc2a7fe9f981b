"""Models of a worker and a target on a fake clock, for the state machine of the host."""


class RunSpan:
    """One uninterrupted run of an attempt at the worker."""

    def __init__(self, name, started):
        self.name = name
        self.started = started
        self.stopped = None


class FakeWorker:
    """Worker that checks attempt numbers but not its capacity.

    The run of an attempt ends at the exact end of its lease.
    """

    def __init__(self):
        self.tasks = {}
        self.leases = {}
        self.highest_stopped = {}
        self.spans = []
        self.session = 0

    def advance(self, now):
        for name, lease in self.leases.items():
            if lease <= now:
                self.end_span(name, lease)

    def end_span(self, name, now):
        for span in self.spans:
            if span.name == name and span.stopped is None:
                span.stopped = now

    def is_running(self, name):
        return any(span.name == name and span.stopped is None for span in self.spans)

    def begin_span(self, name, now):
        if now < self.leases[name] and not self.is_running(name):
            self.spans.append(RunSpan(name, now))

    def start(self, grant, valid_until, now):
        name = (grant.task_id, grant.attempt)
        if name in self.tasks:
            return True
        if grant.attempt <= self.highest_stopped.get(grant.task_id, 0):
            return False
        if any(task_id == grant.task_id for task_id, _ in self.tasks):
            return False
        self.tasks[name] = grant
        self.leases[name] = valid_until
        self.begin_span(name, now)
        return True

    def change(self, kind, name, valid_until, now):
        if name not in self.tasks:
            return
        if kind == "pause":
            self.end_span(name, now)
            return
        self.leases[name] = valid_until
        self.begin_span(name, now)

    def stop(self, task_id, attempt, now):
        self.highest_stopped[task_id] = max(attempt, self.highest_stopped.get(task_id, 0))
        for name in [name for name in self.tasks if name[0] == task_id and name[1] <= attempt]:
            self.end_span(name, now)
            del self.tasks[name], self.leases[name]

    def declared_cores(self):
        return sum(grant.size.cores for grant in self.tasks.values())


class FakeTarget:
    """Target that counts executions by key and keeps the requests that run."""

    def __init__(self):
        self.active = {}
        self.by_key = {}

    def begin(self, request):
        self.active[request.request_id] = request
        if request.key:
            self.by_key[request.key] = self.by_key.get(request.key, 0) + 1

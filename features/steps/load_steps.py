"""Steps on the load generator."""

import time
from statistics import median

from behave import then, when

import acaciastand_lab.load as load_module
from acaciastand.errors import InvalidInput
from acaciastand.platform.http import HttpCaller
from acaciastand_lab.load_plan import Arrival, LoadOptions, draw_arrivals
from acaciastand_lab.load_report import Result, summarize, violations
from acaciastand_standin.http import serve_json
from acaciastand_standin.target import Target


@then("a plan of {rate:d}/s for {seconds:d} s with rain at {second:d} s doubles its arrivals")
def step_doubles(context, rate, seconds, second):
    times = [arrival.at for arrival in draw_arrivals(LoadOptions(rate, seconds, second))]
    before = sum(at < second for at in times)
    assert times == sorted(times) and times[-1] < seconds
    assert 1.7 < (len(times) - before) / before < 2.3


@then("the same seed gives the same plan and another seed another one")
def step_seed(context):
    plans = [
        draw_arrivals(LoadOptions(50, 2, seed=seed, idempotent=0.5, keyed=0.5))
        for seed in (1, 1, 2)
    ]
    assert plans[0] == plans[1] != plans[2]
    assert any(arrival.key for arrival in plans[0])
    assert not any(arrival.key and arrival.idempotent for arrival in plans[0])


@then('a run with rate {rate:g} and {seconds:g} s at "{url}" is refused with "{problem}"')
def step_out_of_bounds(context, rate, seconds, url, problem):
    try:
        load_module.measure(url, "s", LoadOptions(rate, seconds), [])
    except InvalidInput as error:
        assert problem in str(error), error
    else:
        raise AssertionError("the run was accepted")


@then(
    'a result "{outcome}" of a request that is {kind} and ran {times:d} times is reported: {found}'
)
def step_violation(context, outcome, kind, times, found):
    result = Result(Arrival(0, 0.0, kind == "idempotent", ""), 0.01, outcome, "", "id")
    audit = {"executions_by_request": {"id": times}, "executions_by_key": {}}
    assert bool(violations([result], [audit])) == (found == "yes")


@when("the generator may have {limit:d} requests in flight and sends {count:d}")
def step_surplus(context, limit, count):
    context.stack.callback(setattr, load_module, "MAX_IN_FLIGHT", load_module.MAX_IN_FLIGHT)
    load_module.MAX_IN_FLIGHT = limit
    url = f"http://{context.entry.daemon.http.bound_address}"
    options = LoadOptions(count * 5, 0.2, seed=3, timeout_ms=400)
    run = load_module.LoadRun(url, "order-desk", options)
    context.report = summarize(run.run(), -1.0)


@then("the surplus is reported as not sent")
def step_not_sent(context):
    outcomes = context.report["outcomes"]
    assert outcomes["unknown"] == 2, outcomes
    assert outcomes["not_sent"] == context.report["arrivals"] - 2 > 0, outcomes


@then("the median of {count:d} calls to a target stand-in is below {limit:d} ms")
def step_no_delay(context, count, limit):
    server = serve_json("127.0.0.1:0", Target(service_seconds=0.001).answer)
    server.start()
    context.stack.callback(server.stop)
    caller = HttpCaller(f"http://127.0.0.1:{server.server_port}")
    context.stack.callback(caller.close)
    seconds = []
    for number in range(count):
        started = time.monotonic()
        caller.call("POST", "/v1/requests", b"body", {"Request-Id": str(number)})
        seconds.append(time.monotonic() - started)
    assert median(seconds) * 1000 < limit, seconds

"""Steps for the check of a configuration before it is sent."""

import copy
import json
import re
import socket
import tempfile
from pathlib import Path
from unittest import mock

import hypothesis
from behave import given, then, when
from command_line_support import run
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from odd_values import OddValues

from acaciastand.cluster.keys import JOB_ID
from acaciastand.errors import InvalidInput
from acaciastand.platform import catalog_draft
from acaciastand.platform.catalog_draft import read_draft
from acaciastand.platform.operator import CONFIG_KEY, decode_catalog
from acaciastand.programs import cli_config
from acaciastand.workflow.catalog_check import check_draft
from acaciastand.workflow.catalog_draft import Severity
from acaciastand_standin.platform_store import PlatformStoreStandIn

SOUND = {
    "version": 7,
    "routes": [
        {"name": "prints", "host": "a.example", "prefix": "/prints/", "service": "desk",
         "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 250, "priority": 0,
         "maxAttempts": 4, "stretch": 1.5},
        {"name": "plans", "host": "a.example", "prefix": "/plans/", "service": "desk",
         "stretch": 1},
    ],
    "services": [{"name": "desk", "rejectsOverload": True, "standby": False}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
               "idleTimeoutMs": 15000},
}  # fmt: skip
FINDING = re.compile(r"^(error|warning|notice) (\w+)( .*?)?: ")
CHANGE = re.compile(r"^(added|removed|changed) ")


def folder(context):
    if "folder" not in context:
        context.folder = Path(context.stack.enter_context(tempfile.TemporaryDirectory()))
    return context.folder


def configuration(context):
    if "configuration" not in context:
        context.configuration = copy.deepcopy(SOUND)
    return context.configuration


def check(context, *options):
    file = folder(context) / "new.json"
    if "document" in context:
        if context.document is not None:
            file.write_text(context.document, encoding="utf-8")
    else:
        file.write_text(json.dumps(configuration(context)), encoding="utf-8")
    run(context, ["config", "check", str(file), *options])


def for_each_example(context, count, strategy, test):
    @hypothesis.seed(context.seed)
    @settings(max_examples=count, deadline=None, database=None,
              suppress_health_check=list(HealthCheck))  # fmt: skip
    @hypothesis.given(strategy)
    def examples(value):
        test(value)

    examples()


@given("a configuration with {place} set to {value}")
def given_configuration(context, place, value):
    part = configuration(context)
    *path, last = [
        int(name) if name.isdecimal() else json.loads(f'"{name}"') for name in place.split(".")
    ]
    for name in path:
        part = part[name]
    if value == "absent":
        del part[last]
    elif isinstance(part, list) and last == len(part):
        part.append(json.loads(value))
    else:
        part[last] = json.loads(value)


@given("a configuration file with {text}")
def given_text(context, text):
    context.document = "" if text == "nothing" else text


@given("a configuration file that is missing")
def given_missing(context):
    context.document = None


@given("the sound configuration is in force in a file")
def given_in_force(context):
    context.in_force = folder(context) / "in_force.json"
    context.in_force.write_text(json.dumps(SOUND), encoding="utf-8")


def start_store(context):
    context.store = PlatformStoreStandIn()
    context.store.start()
    context.stack.callback(context.store.stop)
    context.address = context.store.address


@given("a store that holds {held}")
def given_store(context, held):
    start_store(context)
    if held != "nothing":
        text = json.dumps(SOUND) if held == "the sound configuration" else held
        context.store.write(CONFIG_KEY, text.encode())
    context.revision = context.store.store.list("").revision


@given("a store that refuses connections")
def given_store_down(context):
    server = context.stack.enter_context(socket.socket())
    server.bind(("127.0.0.1", 0))  # Bound without listening, so that nobody else takes the port.
    context.address = f"127.0.0.1:{server.getsockname()[1]}"


@given("a store that turns calls away")
def given_store_busy(context):
    start_store(context)
    context.store.down = True


@when("the configuration is checked")
def when_checked(context):
    check(context)


@when('the configuration is checked with "{options}"')
def when_checked_with(context, options):
    check(context, *options.split())


@when("the configuration is checked with a decoder that has another rule")
def when_other_rule(context):
    def decode(data, on_ignored):
        on_ignored(ValueError("another rule"))
        raise InvalidInput("another rule", "keep to it")

    with mock.patch.object(catalog_draft, "decode_catalog", decode):
        check(context)


@when("the configuration is checked against the version in force")
def when_compared(context):
    check(context, "--in-force", str(context.in_force))


@when("the configuration is checked against the version in force as JSON")
def when_compared_as_json(context):
    check(context, "--in-force", str(context.in_force), "--json")


@when("the configuration is checked against the store")
def when_compared_with_store(context):
    check(context, "--store", f"http://{context.address}")


def printed_findings(context):
    found = [FINDING.match(line) for line in context.output.splitlines()]
    # The last line is the error of the command itself, which names its outcome after the code.
    return [match[0][:-2] for match in found if match and ", outcome" not in match.string]


def expected_rows(text):
    return [] if text == "none" else re.split(r", (?=(?:error|warning|notice) )", text)


@then("the findings are: {findings}")
def then_findings(context, findings):
    assert sorted(printed_findings(context)) == sorted(expected_rows(findings)), context.output


@then("the changes are: {changes}")
def then_changes(context, changes):
    printed = [line for line in context.output.splitlines() if CHANGE.match(line)]
    assert printed == ([] if changes == "none" else [changes]), context.output


@then("the exit code follows the findings")
def then_code(context):
    has_error = any(line.startswith("error ") for line in printed_findings(context))
    assert context.code == (2 if has_error else 0), (context.code, context.output)


@then("the output has no control characters")
def then_printable(context):
    assert "field_unknown" in context.output
    assert all(line.isprintable() for line in context.output.splitlines()), context.output


@then("the JSON report has all fields of findings and changes")
def then_json(context):
    report = json.loads(context.output.splitlines()[0])
    assert (report["version"], report["in_force"]["version"]) == (7, 7)
    assert report["in_force"]["compared"] is True
    assert (report["errors"], report["warnings"], report["notices"]) == (2, 0, 0)
    assert [finding["code"] for finding in report["findings"]] == [
        "max_attempts_zero", "version_not_higher"
    ]  # fmt: skip
    first = report["findings"][0]
    assert first["severity"] == "error" and first["field"] == "maxAttempts"
    assert first["entry"] == 'routes[0] "prints"' and first["message"] and first["remedy"]
    assert report["changes"] == [{
        "subject": "queue", "name": "prints", "action": "changed", "field": "maxAttempts",
        "before": 4, "after": 0,
    }]  # fmt: skip


@then("the store received one read and no write")
def then_only_read(context):
    assert context.store.calls == 1
    assert context.store.store.list("").revision == context.revision


@when("{count:d} sets of queues with similar prefixes are checked")
def when_prefixes(context, count):
    # Sets in which each first digit is likely to be taken, beside sets with few queues.
    digit = st.sampled_from("0123456789abcdef")
    tail = st.one_of(
        st.just(""), digit, st.text("0f", max_size=2), st.sampled_from(["/", "g", "A"])
    )
    few = st.lists(st.tuples(st.sampled_from("hk"), tail), max_size=8)
    all_digits = st.permutations("0123456789abcdef").map(lambda tails: [("h", t) for t in tails])
    context.reported, context.unreached = [], []

    def test(places):
        rows = [
            {"name": str(n), "host": host, "prefix": f"/{tail}", "service": "s"}
            for n, (host, tail) in enumerate(places)
        ]
        data = json.dumps({"version": 1, "routes": rows, "services": [{"name": "s"}]}).encode()
        findings = check_draft(read_draft(data))
        context.reported.append(
            {finding.entry for finding in findings if finding.code == "never_matches"}
        )
        catalog = decode_catalog(data, lambda error: None)
        context.unreached.append(
            {
                f'routes[{n}] "{n}"'
                for n, queue in enumerate(catalog.queues)
                if not any(map(lambda path, q=queue: reaches(catalog, q, path), ids()))
            }
        )

    # One first digit is missing, and prefixes of two digits begin with it.
    split = st.tuples(all_digits, all_digits, st.integers(14, 16)).map(
        lambda drawn: [("h", ""), *drawn[0][1:]]
        + [("h", drawn[0][0][1] + digit) for _, digit in drawn[1][: drawn[2]]]
    )
    whole = st.tuples(all_digits, few).map(lambda drawn: [("h", ""), *drawn[0], *drawn[1]])
    missing = st.tuples(all_digits, few).map(lambda drawn: [("h", ""), *drawn[0][1:], *drawn[1]])
    for_each_example(context, count, st.one_of(few, whole, missing, split), test)


def ids():
    """Yield an id for each pair of first digits; no prefix of the sets continues by more."""
    return (f"{number:02x}" + "0" * 14 for number in range(256))


def reaches(catalog, queue, job_id):
    path = queue.prefix + job_id
    found = catalog.find_queue(queue.host, path)
    return found is queue and JOB_ID.fullmatch(path[len(found.prefix) :]) is not None


@then("each queue is reported exactly if the daemons send it none of its calls")
def then_same(context):
    assert context.reported == context.unreached
    assert sum(map(len, context.reported)) > 20


@when("{count:d} odd configurations are checked against odd versions in force")
def when_odd(context, count):
    context.results = []
    new, old = folder(context) / "new.json", folder(context) / "old.json"

    def test(random):
        odd = OddValues(random)
        data = json.dumps(odd.variant(SOUND), default=str).encode()
        new.write_bytes(data)
        old.write_text(json.dumps(odd.variant(SOUND), default=str))
        run(context, ["config", "check", str(new), "--in-force", str(old)])
        assert context.code in (0, 2), context.output
        has_error = "error " in context.output
        assert has_error == (context.code == 2), context.output
        skipped = []
        try:
            catalog = decode_catalog(data, skipped.append)
            if "configuration_unreadable" not in context.output:
                assert [queue for _, queue in read_draft(data).decoded_queues] == catalog.queues
        except InvalidInput as error:
            skipped.append(error)
        context.results.append((bool(skipped), file_has_error(new)))

    for_each_example(context, count, st.randoms(use_true_random=False), test)


def file_has_error(path):
    try:
        draft = cli_config._read_file(path)
    except InvalidInput:
        return True
    return any(finding.severity is Severity.ERROR for finding in check_draft(draft))


@then("each has an error if the decoder skips a part of it")
def then_errors(context):
    assert all(found for skipped, found in context.results if skipped)
    assert sum(skipped for skipped, _ in context.results) > 50


@then("docs/CLI.md names each code of a finding")
def then_documented(context):
    sources = [*Path("src/acaciastand/workflow").glob("catalog_*.py"),
               Path("src/acaciastand/platform/catalog_draft.py")]  # fmt: skip
    pattern = re.compile(r'\b[Ss]everity(?:\.[A-Z]+)?,\s+"(\w+)",')
    codes = {code for path in sources for code in pattern.findall(path.read_text("utf-8"))}
    section = Path("docs/CLI.md").read_text("utf-8").partition("## Check of a conf")[2]
    rows = re.findall(r"^\| (`[^|]*) \| (?:error|warning|notice)", section, re.MULTILINE)
    assert codes == set(re.findall(r"`(\w+)`", " ".join(rows))), codes

"""Steps on the reference pages."""

import re
from pathlib import Path

from behave import then, when

from acaciastand.programs.error_codes import all_errors
from acaciastand.telemetry.descriptions import DESCRIPTIONS
from acaciastand_lab.reference import SOURCE, pages
from acaciastand_lab.reference_metrics import metrics


@when("the reference pages are generated")
def step_generate(context):
    context.pages = pages()


@then("docs/CLI.md names each exit code of an error that the command line shows")
def step_exit_codes(context):
    text = Path("docs/CLI.md").read_text(encoding="utf-8")
    named = {int(code) for code in re.findall(r"^\| (\d+) \|", text, re.MULTILINE)}
    assert named == {0} | {error.exit_code for error in all_errors()}, named


@then("the described metrics are those in the code")
def step_described(context):
    recorded = {metric.name for metric in metrics(SOURCE)}
    assert recorded == set(DESCRIPTIONS), recorded ^ set(DESCRIPTIONS)

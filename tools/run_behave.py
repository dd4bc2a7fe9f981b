"""Runs behave, passes over the scenarios in KNOWN-RED.txt and prints ``N passed, N failed``.

Arguments are passed on to behave.
"""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
from pathlib import Path

KNOWN_RED = Path("KNOWN-RED.txt")
RED_PREFIX = "test: "


def known_red() -> set[str]:
    """Return the scenario names listed as known failures."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.removeprefix(RED_PREFIX).strip() for line in lines if line.startswith(RED_PREFIX)}


def run(arguments: list[str]) -> tuple[int, list[tuple[str, str]]]:
    """Run behave and return its exit code and (scenario name, status) pairs."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [
            *(sys.executable, "-m", "behave", "--format", "json", "--outfile", str(report)),
            *("--format", "progress", "--no-color", "--logging-level", "WARNING"),
            *arguments,
        ]
        code = subprocess.run(command, check=False).returncode
        features = json.loads(report.read_text(encoding="utf-8")) if report.exists() else []
    scenarios = [
        (element["name"], str(element.get("status", "untested")))
        for feature in features
        for element in feature.get("elements", [])
        if element["type"] != "background"
    ]
    return code, scenarios


def main() -> int:
    """Run the tests and return the exit code for CI."""
    code, scenarios = run(sys.argv[1:])
    red = known_red()
    passed = sum(status == "passed" for _, status in scenarios)
    not_passed = [(name, status) for name, status in scenarios if status != "passed"]
    failed = [(name, status) for name, status in not_passed if name not in red]
    skipped = len(not_passed) - len(failed)
    for name, status in not_passed:
        kind = "known red" if name in red else "FAILED"
        print(f"{kind}: {name} ({status})")
    if not scenarios or (code != 0 and not not_passed):
        print(f"behave ended with exit code {code} and {len(scenarios)} scenarios")
        failed.append(("behave", "error"))
    closing = f"{passed} passed, {len(failed)} failed"
    print(f"{closing}, {skipped} skipped" if skipped else closing)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

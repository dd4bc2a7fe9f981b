"""Finds the life of a job or request in the log lines of any number of processes."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from typing import Any

from acaciastand.record import Record

ID_FIELDS = ("job", "subject", "task", "key")  # fields that hold an id, or begin or end with it
HIDDEN = frozenset({"time", "level", "logger", "message"})


class LogLine(Record):
    """One line that names the job, with the text that came before it (such as a host name)."""

    __slots__ = ("origin", "content")

    def __init__(self, origin: str, content: dict[str, Any]) -> None:
        self.origin = origin
        self.content = content

    def text(self) -> str:
        """Return the line for a reader."""
        details = " ".join(
            f"{name}={value}" for name, value in self.content.items() if name not in HIDDEN
        )
        message = self.content.get("message", "")
        return f"{self.content.get('time', '')} {self.origin} {message}: {details}"


def lines_of(job_id: str, lines: Iterable[str]) -> list[LogLine]:
    """Return the lines that name `job_id`, by time; text that is not a JSON object is skipped."""
    found = [line for line in _parsed(lines) if _names(job_id, line.content)]
    return sorted(found, key=lambda line: str(line.content.get("time", "")))


def cause(job_id: str, found: list[LogLine]) -> str:
    """Return in one sentence how the job or request ended, as far as the lines tell."""
    if not found:
        return f"no line names {job_id}: it reached none of these processes, or lines were dropped"
    end_line = _last(found, "job over")
    if end_line is not None:
        return _cause_of_end(end_line, found)
    answer = _last(found, "answered")
    if answer is not None and _is_refused_submission(answer.content):
        return _cause_of_refusal(answer.content, found)
    passed_over = _last(found, "task waits")
    if passed_over is not None and not _has_started_since(passed_over, found):
        return _cause_of_passing_over(passed_over.content)
    if _last(found, "start") is None:
        waits = _last(found, "job late before its start")
        if waits is not None:
            return _cause_of_wait(waits.content)
        return (
            "accepted, and no task has started: look at waiting_tasks, drained_zones and the"
            " workers' room"
        )
    return "not over: its tasks have started; the last line tells what it waits for"


def _cause_of_end(end_line: LogLine, found: list[LogLine]) -> str:
    state = str(end_line.content.get("state"))
    trouble: dict[str, int] = {}
    for line in found:
        message = str(line.content.get("message"))
        if message == "run ended" and line.content.get("how") != "done":
            message = f"run {line.content.get('how')}"
        if message == "run moved" and "zone" in line.content:
            message = MOVED_FROM_ZONE
        if message in TROUBLE:
            trouble[message] = trouble.get(message, 0) + 1
    listed = ", ".join(f"{count} x {what}" for what, count in sorted(trouble.items()))
    given_up = _last(found, "job failed")
    reason = f" ({_reason_for_giving_up(given_up.content)})" if given_up else ""
    return f"the job is {state}{reason}; on the way: {listed or 'nothing unusual'}"


def _reason_for_giving_up(line: dict[str, Any]) -> str:
    task = line.get("task")
    if "crashes" in line:
        return f"{line['crashes']} workers crashed under {task}"
    return f"{line.get('failures')} runs of {task} failed"


MOVED_FROM_ZONE = "run moved out of a drained zone"
TROUBLE = frozenset(
    {
        *("run failed", "run stopped", "run lapsed", "run lost", "run moved", "run overdue"),
        *("run missing", "start refused", "start unknown", "start unanswered", "run adopted"),
        *("crash suspected", "suspicion cleared", MOVED_FROM_ZONE),
        *("copy started", "copy adopted", "copy took over"),
        *("copy won", "copy stopped", "copy lost"),
    }
)


REFUSALS = ("store turned away", "commit unanswered")


def _is_refused_submission(answer: dict[str, Any]) -> bool:
    return answer.get("method") == "POST" and str(answer.get("status")) != "200"


def _cause_of_refusal(answer: dict[str, Any], found: list[LogLine]) -> str:
    status = str(answer.get("status"))
    if status == "404":
        return (
            f"answered with 404: version {answer.get('config')} of the configuration has no such "
            f"queue; the store had confirmed it {answer.get('config_age_s')} s before"
        )
    refused = _last(found, "job refused")
    if status == "429" and refused is not None:
        return _cause_of_no_room(refused.content)
    for message in REFUSALS:
        line = _last(found, message)
        if line is not None:
            return f"answered with {status}: {message}: {line.content.get('error', '')}"
    if status == "503":
        return "answered with 503: the entry had no configuration yet"
    return f"answered with {status}: see the fields of its line"


def _cause_of_no_room(line: dict[str, Any]) -> str:
    return (
        f"answered with 429: its wait for room was predicted as {line.get('wait_s')} s, more than "
        f"the {line.get('limit_s')} s after which it is worth nothing; the workers did the work "
        f"of {line.get('drain_cores')} cores"
    )


def _cause_of_wait(line: dict[str, Any]) -> str:
    return (
        f"accepted, and no task has started in time: what goes before it at priority "
        f"{line.get('priority')} takes {line.get('wait_s')} s more, and the workers do the work of "
        f"{line.get('drain_cores')} cores"
    )


def _has_started_since(waits: LogLine, found: list[LogLine]) -> bool:
    """Return whether the task of a line on its wait has been started after it."""
    task = waits.content.get("subject")
    return any(
        line.content.get("message") == "start" and line.content.get("subject") == task
        for line in found[found.index(waits) :]
    )


def _cause_of_passing_over(line: dict[str, Any]) -> str:
    task, waited_s, why = line.get("subject"), line.get("waited_s"), line.get("why")
    sentence = f"{task} had waited for {waited_s} s: {why}"
    passed_over = line.get("passed_over")
    if isinstance(passed_over, dict) and passed_over:
        listed = ", ".join(f"{count} {rule}" for rule, count in passed_over.items())
        return f"{sentence}; workers that could hold it: {listed}"
    if "silent_agents" in line:
        return f"{sentence}; {line['silent_agents']} agents have not reported what became of it"
    if passed_over is not None:
        return f"{sentence}; no worker could hold it"
    return sentence


def _last(found: list[LogLine], message: str) -> LogLine | None:
    return next((line for line in reversed(found) if line.content.get("message") == message), None)


def _parsed(lines: Iterable[str]) -> Iterator[LogLine]:
    for text in lines:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
        except ValueError:
            continue
        if isinstance(fields, dict):
            yield LogLine(text[:start].strip(), fields)


def _names(job_id: str, fields: dict[str, Any]) -> bool:
    values = [str(fields.get(name, "")) for name in ID_FIELDS]
    return any(
        value == job_id or value.startswith(f"{job_id}.") or value.endswith(f"/{job_id}")
        for value in values
    )

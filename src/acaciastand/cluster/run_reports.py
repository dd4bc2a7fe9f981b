"""Reports of agents, start commands and limits of runs as fields of messages."""

from __future__ import annotations

from collections.abc import Callable, Collection
from functools import partial
from typing import Any

from acaciastand.checks import (
    check_flag,
    check_integer,
    check_list,
    check_number,
    check_text,
    decode_rows,
)
from acaciastand.resources import Resources
from acaciastand.wire.messages import RunReport
from acaciastand.workflow.pacing import FULL_PERCENT, RunLimits
from acaciastand.workflow.reports import (
    ActiveRun,
    AgentReport,
    CrashedRun,
    EndedRun,
    PollPosition,
    StartCommand,
    WorkerCrash,
    WorkerIdentity,
    check_active_run,
    check_ended_run,
    check_task_name,
)

MAX_ALIVE_SECONDS = 3_600.0  # Longest time for which an agent may report that runs can be alive.
MAX_UNSETTLED_STARTS = 100  # A report names no more unsettled starts than this, or none of them.


def encode_report(report: AgentReport, sent_at: float) -> RunReport:
    """Return the message of a report that is sent at `sent_at` on the agent's clock."""
    return RunReport(
        sent_at,
        _encode_identity(report.identity),
        report.position.number,
        [list(run.values()) for run in report.running],
        [list(end.values()) for end in report.ended],
        report.lapsed,
        report.silent,
        report.untold_tasks,
        report.settled,
        report.pace_percent,
        report.tail_share,
        [
            [crash.born_ms, [[run.task, run.run, run.ran_seconds] for run in crash.runs]]
            for crash in report.crashes
        ],
        report.position.agent_incarnation,
        report.has_more_ends,
        report.alive_seconds,
        report.identity.slow_start_seconds if report.identity else 0.0,
        [
            [run.task, run.run]
            for crash in report.crashes
            for run in crash.runs
            if not run.confirmed
        ],
        _encode_unsettled(report.unsettled_starts),
    )


def decode_report(message: RunReport, on_ignored: Callable[[Exception], None]) -> AgentReport:
    """Return the report in a message.

    Parameters
    ----------
    on_ignored
        Called with the error of each run, end or crash that cannot be decoded and is left out.

    Raises
    ------
    ValueError
        Another field holds what no report holds.
    """
    check_number(message.sent_at)
    unconfirmed = set(decode_rows(message.unconfirmed, _decode_run_key, on_ignored))
    return AgentReport(
        _decode_identity(message.identity, message.slow_start_seconds),
        PollPosition(check_integer(message.agent_incarnation), check_integer(message.look)),
        decode_rows(message.running, _decode_active_run, on_ignored),
        decode_rows(message.ended, _decode_ended_run, on_ignored),
        message.lapsed,
        message.silent,
        message.settled,
        check_integer(message.pace_percent, 0, FULL_PERCENT),
        check_number(message.tail_share),
        decode_rows(message.crashes, partial(_decode_crash, unconfirmed), on_ignored),
        message.has_more_ends,
        check_number(message.alive_seconds, 0.0, MAX_ALIVE_SECONDS),
        decode_rows(message.untold, check_task_name, on_ignored),
        _decode_unsettled(message.unsettled, on_ignored),
    )


def decode_start_command(order: list[Any]) -> StartCommand:
    """Return the command in `StartRun.order`.

    Raises
    ------
    ValueError
        A field holds what no command holds.
    """
    command = StartCommand(*order)
    check_task_name(command.task)
    check_integer(command.run, 1)
    check_text(command.payload)
    check_text(command.checkpoint)
    check_number(command.target_ms)
    check_flag(command.uses_leftover)
    check_text(command.ticket)
    return command


def decode_limits(row: Any) -> tuple[str, RunLimits]:
    """Return the task and its limits in a row of `RunGrant.limits`.

    Raises
    ------
    ValueError
        A field holds what no such row holds.
    """
    task, target_ms, uses_leftover = check_list(row)
    return check_task_name(task), RunLimits(check_number(target_ms), check_flag(uses_leftover))


def _encode_identity(identity: WorkerIdentity | None) -> list[Any]:
    if identity is None:
        return []
    values = identity.values()[:-1]  # `RunReport` has slow_start_seconds itself.
    return [list(v.values()) if isinstance(v, Resources) else v for v in values]


def _decode_identity(items: list[Any], slow_start_seconds: float) -> WorkerIdentity | None:
    if not items:
        return None
    worker_id, born_ms, service, address, zone, capacity, labels, draining, remaining = items
    cores, memory_mb, accelerators = check_list(capacity)
    return WorkerIdentity(
        check_text(worker_id),
        check_integer(born_ms),
        check_text(service),
        check_text(address),
        check_text(zone),
        Resources(check_number(cores), check_integer(memory_mb), check_integer(accelerators)),
        [check_text(label) for label in check_list(labels)],
        check_flag(draining),
        check_number(remaining),
        check_number(slow_start_seconds),
    )


def _encode_unsettled(starts: list[tuple[str, int]]) -> list[list[Any]]:
    return [list(start) for start in starts] if len(starts) <= MAX_UNSETTLED_STARTS else []


def _decode_unsettled(
    rows: list[Any], on_ignored: Callable[[Exception], None]
) -> list[tuple[str, int]]:
    """Return the unsettled starts in rows; none if one is left out, since the others may start."""
    starts = decode_rows(rows, _decode_run_key, on_ignored)
    return starts if len(starts) == len(rows) <= MAX_UNSETTLED_STARTS else []


def _decode_active_run(row: Any) -> ActiveRun:
    return check_active_run(ActiveRun(*check_list(row)))


def _decode_ended_run(row: Any) -> EndedRun:
    return check_ended_run(EndedRun(*check_list(row)))


def _decode_run_key(row: Any) -> tuple[str, int]:
    task, run = check_list(row)
    return check_task_name(task), check_integer(run)


def _decode_crash(unconfirmed: Collection[tuple[str, int]], row: Any) -> WorkerCrash:
    born_ms, rows = check_list(row)
    runs = []
    for task, run, ran_seconds in check_list(rows):
        key = _decode_run_key([task, run])
        runs.append(CrashedRun(*key, check_number(ran_seconds), key not in unconfirmed))
    return WorkerCrash(check_integer(born_ms), runs)

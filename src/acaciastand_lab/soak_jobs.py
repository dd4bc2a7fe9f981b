"""Jobs that the soak submits."""

from __future__ import annotations

import random
from typing import Any

LONG_SHARE = 0.4  # Share of the jobs with long tasks in a play with partitions.
SHORT_TASK_SECONDS = (0.2, 1.5)
LONG_TASK_SECONDS = (2.0, 9.0)
SPECULATIVE_SHARE = 0.6  # Share of the steps that allow copies in a play with copies.
# Durations around those from which a run counts as slower than its estimate.
SPECULATIVE_TASK_SECONDS = (0.3, 4.0)
ESTIMATE_MS = 400


def random_steps(source: random.Random) -> list[dict[str, Any]]:
    """Return up to three steps of a few tasks, each after the one before."""
    steps: list[dict[str, Any]] = []
    for number in range(source.randint(1, 3)):
        step: dict[str, Any] = {
            "count": source.randint(1, 3),
            "cpu": source.choice((200, 1000, 3000)),
            "estimateMs": ESTIMATE_MS,
        }
        if number:
            step["after"] = [number - 1]
        steps.append(step)
    return steps


def short_or_long_steps(source: random.Random, agents: int) -> tuple[list[dict[str, Any]], float]:
    """Return the steps of a job for a play with partitions, and the seconds that a task takes."""
    is_long = source.random() < LONG_SHARE
    seconds = source.uniform(*(LONG_TASK_SECONDS if is_long else SHORT_TASK_SECONDS))
    steps: list[dict[str, Any]] = []
    for number in range(source.randint(1, 2)):
        step: dict[str, Any] = {
            "count": source.randint(2, max(4, agents // 2)),
            "cpu": source.choice((200, 500, 1000)),
            "estimateMs": int(seconds * 1000),
        }
        if number:
            step["after"] = [number - 1]
        steps.append(step)
    return steps, seconds


def speculative_steps(source: random.Random) -> tuple[list[dict[str, Any]], float]:
    """Return steps of which most allow copies, and the seconds that a task takes."""
    steps = random_steps(source)
    for step in steps:
        if source.random() < SPECULATIVE_SHARE:
            step["speculative"] = True
    return steps, source.uniform(*SPECULATIVE_TASK_SECONDS)


def allowing_copies(job_id: str, steps: list[dict[str, Any]]) -> set[str]:
    """Return the names of the steps of a job that allow copies, as ``job_id.0.step``."""
    return {f"{job_id}.0.{n}" for n, step in enumerate(steps) if step.get("speculative")}

"""Standard logging with one JSON object a line."""

from __future__ import annotations

import json
import logging
import sys
from datetime import UTC, datetime
from typing import TextIO

MAX_MESSAGE_CHARACTERS = 8_192
LEVELS = frozenset({"debug", "info", "warning", "error"})

# Attributes that logging itself sets; all others were passed as `extra`.
_STANDARD = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime", "taskName"}


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object: time, level, logger, message and extra fields."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line without its line break."""
        fields: dict[str, object] = {
            "time": datetime.fromtimestamp(record.created, UTC).isoformat(timespec="milliseconds"),
            "level": record.levelname.lower(),
            "logger": record.name,
            "message": _bounded(record.getMessage()),
        }
        for name, value in vars(record).items():
            if name not in _STANDARD and name not in fields:
                fields[name] = value
        if record.exc_info:
            fields["exception"] = _bounded(self.formatException(record.exc_info))
        return json.dumps(fields, default=str, ensure_ascii=False)


def _bounded(text: str) -> str:
    return text if len(text) <= MAX_MESSAGE_CHARACTERS else text[:MAX_MESSAGE_CHARACTERS] + "..."


def configure_logging(level: str, stream: TextIO | None = None) -> None:
    """Log to `stream` (standard error by default) and replace earlier handlers.

    Parameters
    ----------
    level
        ``debug``, ``info``, ``warning`` or ``error``.
    stream
        Text stream for the lines.
    """
    handler = logging.StreamHandler(stream if stream is not None else sys.stderr)
    handler.setFormatter(JsonFormatter())
    logging.getLogger().handlers[:] = [handler]
    set_level(level)


def set_level(level: str) -> None:
    """Change the least severe level that is logged."""
    logging.getLogger().setLevel(level.upper())


def apply_level(tree_level: str, file_level: str) -> None:
    """Log at the level of the settings tree, or at that of the settings file if it is empty.

    A level that this version does not know changes nothing.
    """
    level = tree_level or file_level
    if level in LEVELS:
        set_level(level)

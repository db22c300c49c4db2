"""Logging: events are written to standard error as lines ``event key=value ...`` of bounded length."""

from __future__ import annotations

import logging
import os
import sys

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}
MAX_LINE_CHARS = 400
log = logging.getLogger("passrock")


def start_logging(node: str) -> None:
    """Write the log to standard error at the level in the environment variable LOG_LEVEL.

    If it is not set or has an unknown value, the level is ``info``.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter(f"%(asctime)s %(levelname).1s {node} %(message)s"))
    log.handlers[:] = [handler]
    log.propagate = False
    log.setLevel(LEVELS.get(os.environ.get("LOG_LEVEL", "info"), logging.INFO))


def event(level: int, name: str, **fields: object) -> None:
    """Log an event with its fields, truncated to ``MAX_LINE_CHARS`` characters."""
    if log.isEnabledFor(level):
        line = " ".join([name, *(f"{key}={value}" for key, value in fields.items())])
        log.log(level, "%s", line if len(line) <= MAX_LINE_CHARS else line[: MAX_LINE_CHARS - 3] + "...")


def info(name: str, **fields: object) -> None:
    """Log an event that operators need in normal operation."""
    event(logging.INFO, name, **fields)


def debug(name: str, **fields: object) -> None:
    """Log a detailed event, for diagnosis."""
    event(logging.DEBUG, name, **fields)


def error(name: str, **fields: object) -> None:
    """Log an event that should not occur."""
    event(logging.ERROR, name, **fields)

"""Logging: one line an event, ``event key=value ...``, on standard error, bounded in length."""

from __future__ import annotations

import logging
import os
import sys

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}
LINE_LIMIT = 400  # characters
log = logging.getLogger("passrock")


def start_logging(node: str) -> None:
    """Send the log to standard error at the level that LOG_LEVEL names; any other value counts as ``info``."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter(f"%(asctime)s %(levelname).1s {node} %(message)s"))
    log.handlers[:] = [handler]
    log.propagate = False
    log.setLevel(LEVELS.get(os.environ.get("LOG_LEVEL", "info"), logging.INFO))


def event(level: int, name: str, **facts: object) -> None:
    """Write one event with its facts, cut off at ``LINE_LIMIT`` characters."""
    if log.isEnabledFor(level):
        line = " ".join([name, *(f"{key}={value}" for key, value in facts.items())])
        log.log(level, "%s", line if len(line) <= LINE_LIMIT else line[: LINE_LIMIT - 3] + "...")


def info(name: str, **facts: object) -> None:
    """An event worth keeping on ordinary days."""
    event(logging.INFO, name, **facts)


def debug(name: str, **facts: object) -> None:
    """An event for someone following a single task."""
    event(logging.DEBUG, name, **facts)


def error(name: str, **facts: object) -> None:
    """Something that should not happen."""
    event(logging.ERROR, name, **facts)

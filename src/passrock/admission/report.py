"""The command ``passrock admission report``: which flows were served, refused and waiting, and why."""

from __future__ import annotations

import os
import sys
from collections.abc import Iterable
from datetime import datetime

import msgspec

from passrock.admission.core.decision import Decision, FlowOutcome
from passrock.admission.io.decision_log import DecisionLogError, log_files, read_file

EXIT_INCOMPLETE = 1
EXIT_USAGE = 2
NAME_WIDTH = 24


class FlowSummary(msgspec.Struct):
    """The outcomes of one flow over a range of time."""

    team: str
    job_class: str
    wanted: int = 0  # maximum over the slots
    granted: int = 0
    admitted: int = 0
    refused: int = 0
    started: int = 0
    waiting_jobs: int = 0  # at the end of the range
    longest_wait_s: float = 0.0
    obstacles: dict[str, int] = {}  # number of slots by obstacle to the start of waiting jobs

    def add(self, outcome: FlowOutcome) -> None:
        """Add the outcome of the next slot."""
        self.wanted = max(self.wanted, outcome.wanted)
        self.granted += outcome.granted
        self.admitted += outcome.admitted
        self.refused += outcome.refused
        self.started += outcome.started
        self.waiting_jobs = outcome.waiting_jobs
        self.longest_wait_s = max(self.longest_wait_s, outcome.waited_s)
        if outcome.obstacle:
            self.obstacles[outcome.obstacle] = self.obstacles.get(outcome.obstacle, 0) + 1


class Report(msgspec.Struct):
    """The outcomes of all flows over a range of time, and where the log could not be read."""

    slots: int = 0
    first: float | None = None
    last: float | None = None
    leaders: list[str] = []
    flows: list[FlowSummary] = []
    faults: list[str] = []


def summarize(paths: Iterable[str], begin: float, end: float) -> Report:
    """Summarize the decisions of log files and directories of log files from ``begin`` until before ``end``.

    Each slot counts once; of several decisions on a slot, the decision of the latest term counts.
    """
    faults: list[str] = []
    decisions: dict[int, Decision] = {}
    for path in _log_paths(paths, faults):
        try:
            for decision in read_file(path):
                earlier = decisions.get(decision.slot)
                if begin <= decision.at < end and (earlier is None or earlier.term <= decision.term):
                    decisions[decision.slot] = decision
        except DecisionLogError as exc:
            faults.append(str(exc))
    ordered = [decisions[slot] for slot in sorted(decisions)]
    report = Report(len(ordered), faults=faults)
    if ordered:
        report.first, report.last = ordered[0].at, ordered[-1].at
        report.leaders = sorted({decision.leader for decision in ordered})
    summaries: dict[tuple[str, str], FlowSummary] = {}
    for decision in ordered:
        for outcome in decision.flows:
            key = (outcome.team, outcome.job_class)
            summaries.setdefault(key, FlowSummary(*key)).add(outcome)
    report.flows = [summaries[key] for key in sorted(summaries)]
    return report


def _log_paths(paths: Iterable[str], faults: list[str]) -> list[str]:
    all_paths: list[str] = []
    for path in paths:
        try:
            log_paths = log_files(path) if os.path.isdir(path) else [path]
        except OSError as exc:
            faults.append(f"{path}: {exc.strerror}")
            continue
        if not log_paths:
            faults.append(f"{path}: no decision log there")
        all_paths += log_paths
    return all_paths


def parse_time(text: str) -> float:
    """Parse seconds since 1970 or an ISO 8601 time into seconds since 1970; raises ValueError."""
    try:
        return float(text)
    except ValueError:
        return datetime.fromisoformat(text).timestamp()


def run(paths: list[str], begin: str | None, end: str | None, *, as_json: bool) -> int:
    """Print the report, and return the exit code, which shows whether all of the log could be read."""
    try:
        first = parse_time(begin) if begin else float("-inf")
        last = parse_time(end) if end else float("inf")
    except ValueError as exc:
        print(f"passrock: {exc}", file=sys.stderr)
        return EXIT_USAGE
    report = summarize(paths, first, last)
    print(msgspec.json.encode(report).decode() if as_json else format_text(report))
    for fault in report.faults:
        print(f"passrock: {fault}", file=sys.stderr)
    return EXIT_INCOMPLETE if report.faults else 0


def format_text(report: Report) -> str:
    """Format the report as a table."""
    if report.first is None or report.last is None:
        return "no decisions in this range"
    span = f"{_format_time(report.first)} to {_format_time(report.last)}"
    lines = [f"{report.slots} slots, {span}, led by {', '.join(report.leaders)}", ""]
    head = ("team", "class", "admitted", "refused", "started", "waiting", "longest wait", "kept waiting by")
    lines.append(_format_row(head))
    for flow in report.flows:
        reasons = ", ".join(f"{name} ({count} slots)" for name, count in sorted(flow.obstacles.items()))
        wait = f"{flow.longest_wait_s:.0f} s"
        counts = (str(flow.admitted), str(flow.refused), str(flow.started), str(flow.waiting_jobs))
        lines.append(_format_row((flow.team, flow.job_class, *counts, wait, reasons or "-")))
    return "\n".join(lines)


def _format_time(at: float) -> str:
    return datetime.fromtimestamp(at).isoformat(timespec="seconds")


def _format_row(cells: tuple[str, ...]) -> str:
    team, job_class, *numbers, last = cells
    return (
        f"{team:{NAME_WIDTH}} {job_class:{NAME_WIDTH}} " + " ".join(f"{cell:>12}" for cell in numbers) + f"  {last}"
    )

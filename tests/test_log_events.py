"""The log events of the sources and the rows of docs/log-events.md match."""

import ast
import re
from collections import defaultdict
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
SOURCES = ROOT / "src" / "passrock"
PAGE = ROOT / "docs" / "log-events.md"
LEVELS = ("debug", "info", "error")
COLUMNS = 6
FORMER_NAME_COLUMN = 5


class LogCalls(ast.NodeVisitor):
    """Collects the events that one module logs.

    Each event is a string literal in one of three places: the first argument in a call of a level's function; the
    first argument in a call of a variable that holds the function of one of two levels
    (``log = info if ... else debug``); or a pair with a level's function, chosen before the call
    (``log, event = (error, "a") if ... else (info, "b")``).
    """

    def __init__(self, levels):
        self.levels = levels  # imported name of a level's function -> level
        self.level_variables = {}  # variable that holds a level's function -> possible levels
        self.events = set()  # (event, level)
        self.resolved_uses = set()  # uses of the levels' functions whose events are known

    def level_of(self, node):
        if isinstance(node, ast.Name) and node.id in self.levels:
            self.resolved_uses.add(node)
            return self.levels[node.id]
        return None

    def visit_Assign(self, node):
        value = node.value
        if isinstance(value, ast.IfExp) and isinstance(node.targets[0], ast.Name):
            levels = [self.level_of(branch) for branch in (value.body, value.orelse)]
            if all(levels):
                self.level_variables[node.targets[0].id] = levels
        self.generic_visit(node)

    def visit_Tuple(self, node):
        if len(node.elts) == 2 and is_string_literal(node.elts[1]):
            level = self.level_of(node.elts[0])
            if level:
                self.events.add((node.elts[1].value, level))
        self.generic_visit(node)

    def visit_Call(self, node):
        if node.args and is_string_literal(node.args[0]) and isinstance(node.func, ast.Name):
            level = self.level_of(node.func)
            for possible_level in [level] if level else self.level_variables.get(node.func.id, ()):
                self.events.add((node.args[0].value, possible_level))
        self.generic_visit(node)


def is_string_literal(node):
    return isinstance(node, ast.Constant) and isinstance(node.value, str)


def events_of(tree):
    """Return the (event, level) pairs of a module; fails if a level's function is used without a literal event."""
    imports = [node for node in ast.walk(tree) if isinstance(node, ast.ImportFrom) and node.module == "passrock.logs"]
    names = {alias.asname or alias.name: alias.name for node in imports for alias in node.names}
    assert "event" not in names.values(), "events must be logged with the function of a level, not with event()"
    calls = LogCalls({name: level for name, level in names.items() if level in LEVELS})
    calls.visit(tree)
    uses = {node for node in ast.walk(tree) if isinstance(node, ast.Name) and node.id in calls.levels}
    unresolved_lines = sorted(node.lineno for node in uses - calls.resolved_uses)
    assert not unresolved_lines, f"no literal event in lines {unresolved_lines}"
    return calls.events


def logged_events():
    """Return the events that the sources log: event -> (levels, modules)."""
    events = defaultdict(lambda: (set(), set()))
    for path in SOURCES.rglob("*.py"):
        text = path.read_text()
        module = path.relative_to(SOURCES).with_suffix("").as_posix()
        for statement in ("import passrock.logs", "import logs"):  # either form would hide calls from this test
            assert statement not in text, module
        for event, level in events_of(ast.parse(text)):
            events[event][0].add(level)
            events[event][1].add(module)
    return dict(events)


def table_rows():
    """Return the cells of each row of the page's table."""
    lines = [line for line in PAGE.read_text().splitlines() if line.startswith("| `")]
    return [[cell.strip() for cell in line.strip().strip("|").split("|")] for line in lines]


def documented_events():
    """Return the events that the page documents: event -> (levels, modules)."""
    return {
        event.strip("`"): (set(levels.split(", ")), set(re.findall(r"`([\w/]+)`", modules)))
        for event, levels, modules, *_ in table_rows()
    }


def test_logged_events_and_documented_events_match():
    assert documented_events() == logged_events()


def test_rows_are_complete_and_sorted():
    names = [row[0] for row in table_rows()]
    assert names == sorted(set(names))
    assert [row[0] for row in table_rows() if len(row) != COLUMNS or not row[3]] == []


def test_former_names_are_no_longer_logged():
    former_names = {row[FORMER_NAME_COLUMN].strip("`") for row in table_rows()} - {""}
    assert former_names & logged_events().keys() == set()


def test_causes_name_only_existing_events():
    """Each word of a cause that has the form of an event is an event, a value of a field, or a setting."""
    field_values = {"no_machine", "team_limit", "insufficient_capacity", "attempt_in_use"}
    settings = {"fd_limit", "socket_share", "log_dir"}
    named_in_causes = {word for row in table_rows() for word in re.findall(r"`([a-z]+_[a-z_]+)`", row[4])}
    assert named_in_causes - logged_events().keys() - field_values - settings == set()


def test_log_call_without_literal_event_is_detected():
    tree = ast.parse("from passrock.logs import info\nname = 'x'\ninfo(name)")
    with pytest.raises(AssertionError, match=r"\[3\]"):
        events_of(tree)

"""Every event that the sources log has its row in docs/log-events.md, and every row's event is logged."""

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
OLD_NAMES = 5  # the column


class LogCalls(ast.NodeVisitor):
    """Events of one module.

    The event is a literal: as the first argument of a level's function, of a name to which one of two levels is
    assigned (``log = info if ... else debug``), or beside the level in a pair that is chosen before the call
    (``log, event = (error, "a") if ... else (info, "b")``).
    """

    def __init__(self, levels):
        self.levels = levels  # imported names of the levels' functions
        self.chosen = {}  # names that hold one of several levels
        self.events = set()  # (event, level)
        self.understood = set()  # the uses of the levels' functions whose event is known

    def level_of(self, node):
        if isinstance(node, ast.Name) and node.id in self.levels:
            self.understood.add(node)
            return self.levels[node.id]
        return None

    def visit_Assign(self, node):
        value = node.value
        if isinstance(value, ast.IfExp) and isinstance(node.targets[0], ast.Name):
            levels = [self.level_of(branch) for branch in (value.body, value.orelse)]
            if all(levels):
                self.chosen[node.targets[0].id] = levels
        self.generic_visit(node)

    def visit_Tuple(self, node):
        if len(node.elts) == 2 and is_text(node.elts[1]):
            level = self.level_of(node.elts[0])
            if level:
                self.events.add((node.elts[1].value, level))
        self.generic_visit(node)

    def visit_Call(self, node):
        if node.args and is_text(node.args[0]) and isinstance(node.func, ast.Name):
            level = self.level_of(node.func)
            for one in [level] if level else self.chosen.get(node.func.id, ()):
                self.events.add((node.args[0].value, one))
        self.generic_visit(node)


def is_text(node):
    return isinstance(node, ast.Constant) and isinstance(node.value, str)


def logged_in(tree):
    """The (event, level) pairs of a module; fails on a use of a level's function without a literal event."""
    imports = [node for node in ast.walk(tree) if isinstance(node, ast.ImportFrom) and node.module == "passrock.logs"]
    names = {alias.asname or alias.name: alias.name for node in imports for alias in node.names}
    assert "event" not in names.values(), "an event is logged by the function of its level"
    calls = LogCalls({name: level for name, level in names.items() if level in LEVELS})
    calls.visit(tree)
    uses = {node for node in ast.walk(tree) if isinstance(node, ast.Name) and node.id in calls.levels}
    unclear = sorted(node.lineno for node in uses - calls.understood)
    assert not unclear, f"no literal event in lines {unclear}"
    return calls.events


def logged():
    """What the sources log: event -> (levels, modules)."""
    events = defaultdict(lambda: (set(), set()))
    for path in SOURCES.rglob("*.py"):
        text = path.read_text()
        module = path.relative_to(SOURCES).with_suffix("").as_posix()
        for statement in ("import passrock.logs", "import logs"):  # either would hide the module's calls
            assert statement not in text, module
        for event, level in logged_in(ast.parse(text)):
            events[event][0].add(level)
            events[event][1].add(module)
    return dict(events)


def rows():
    """The cells of each row of the page's table."""
    lines = [line for line in PAGE.read_text().splitlines() if line.startswith("| `")]
    return [[cell.strip() for cell in line.strip().strip("|").split("|")] for line in lines]


def described():
    """What the page says: event -> (levels, modules)."""
    return {
        event.strip("`"): (set(levels.split(", ")), set(re.findall(r"`([\w/]+)`", modules)))
        for event, levels, modules, *_ in rows()
    }


def test_every_logged_event_has_its_row_and_every_row_is_logged():
    assert described() == logged()


def test_rows_are_complete_and_in_order():
    names = [row[0] for row in rows()]
    assert names == sorted(set(names))
    assert [row[0] for row in rows() if len(row) != COLUMNS or not row[3]] == []


def test_old_names_are_logged_no_longer():
    old = {row[OLD_NAMES].strip("`") for row in rows()} - {""}
    assert old & logged().keys() == set()


def test_causes_name_only_existing_events():
    """A word that looks like an event, in a cause, is one, or the value of a field or a setting."""
    others = {"no_machine", "team_limit", "insufficient_capacity", "attempt_in_use"}
    settings = {"fd_limit", "socket_share", "log_dir"}
    named = {word for row in rows() for word in re.findall(r"`([a-z]+_[a-z_]+)`", row[4])}
    assert named - logged().keys() - others - settings == set()


def test_a_log_call_without_a_literal_event_is_found():
    tree = ast.parse("from passrock.logs import info\nname = 'x'\ninfo(name)")
    with pytest.raises(AssertionError, match=r"\[3\]"):
        logged_in(tree)

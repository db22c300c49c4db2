"""Imports between layers: core uses no sockets and no clock, and only wire uses the field names of the interfaces."""

import ast
import re
from pathlib import Path

import pytest

SOURCES = Path(__file__).parent.parent / "src" / "passrock"
# layer -> modules that it must not import
FORBIDDEN = {
    "core": ("asyncio", "socket", "time", "passrock.io", "passrock.controller", "passrock.wire"),
    "wire": ("asyncio", "socket", "time", "passrock.io", "passrock.controller"),
    "io": ("passrock.controller",),
    "admission/core": ("asyncio", "socket", "time", "passrock.io", "passrock.controller", "passrock.wire"),
    "admission/wire": ("asyncio", "socket", "time", "passrock.io", "passrock.controller"),
    "admission/io": ("passrock.controller",),
}
# field names of the interfaces that passrock uses for nothing else
WIRE_NAMES = (
    "accession",
    "warrant",
    "slipKind",
    "requisition",
    "shelfmark",
    "bookmarkS",
    "shelveS",
    "ledger",
    "fetchGbPerS",
)


def imports(path):
    """Yield the names of the modules that a source file imports."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield node.module or ""


@pytest.mark.parametrize(("layer", "forbidden"), FORBIDDEN.items())
def test_layers_import_no_forbidden_modules(layer, forbidden):
    found = [
        (path.name, name)
        for path in (SOURCES / layer).glob("*.py")
        for name in imports(path)
        if any(name == module or name.startswith(module + ".") for module in forbidden)
    ]
    assert found == []


@pytest.mark.parametrize("name", WIRE_NAMES)
def test_interface_names_occur_in_wire_only(name):
    found = {path.parent.name for path in SOURCES.rglob("*.py") if re.search(rf"\b{name}\b", path.read_text())}
    assert found == {"wire"}


def test_subsystems_are_loaded_only_if_enabled():
    """Other modules import subsystems inside functions, or for the type checker only."""
    found = []
    for path in SOURCES.rglob("*.py"):
        if "admission" in path.parts:
            continue
        for node in ast.parse(path.read_text()).body:
            if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("passrock.admission"):
                found.append((path.name, node.module))  # noqa: PERF401 - more readable than four nested clauses
    assert found == []


def test_workers_get_commands_only_in_answers_to_their_heartbeats():
    """Guards against direct commands, copies of which are carried out for as long as token and session match."""
    found = [path.name for path in SOURCES.rglob("*.py") if re.search(r"/orders|\baddr\b", path.read_text())]
    assert found == []

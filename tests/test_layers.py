"""Imports between layers: decisions use no sockets and no clock, and the interfaces' names occur in one place."""

import ast
import re
from pathlib import Path

import pytest

SOURCES = Path(__file__).parent.parent / "src" / "passrock"
# layer -> what none of its modules may import
FORBIDDEN = {
    "core": ("asyncio", "socket", "time", "passrock.io", "passrock.controller", "passrock.wire"),
    "wire": ("asyncio", "socket", "time", "passrock.io", "passrock.controller"),
    "io": ("passrock.controller",),
    "admission/core": ("asyncio", "socket", "time", "passrock.io", "passrock.controller", "passrock.wire"),
    "admission/wire": ("asyncio", "socket", "time", "passrock.io", "passrock.controller"),
    "admission/io": ("passrock.controller",),
}
# field names of the interfaces that are not terms of this project
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
    """The modules that a source file imports."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield node.module or ""


@pytest.mark.parametrize(("layer", "forbidden"), FORBIDDEN.items())
def test_layers_import_nothing_from_above(layer, forbidden):
    found = [
        (path.name, name)
        for path in (SOURCES / layer).glob("*.py")
        for name in imports(path)
        if any(name == module or name.startswith(module + ".") for module in forbidden)
    ]
    assert found == []


@pytest.mark.parametrize("name", WIRE_NAMES)
def test_interface_names_stand_in_wire_only(name):
    found = {path.parent.name for path in SOURCES.rglob("*.py") if re.search(rf"\b{name}\b", path.read_text())}
    assert found == {"wire"}


def test_subsystems_are_loaded_only_where_they_are_switched_on():
    """Other modules import them inside functions, or for the type checker alone."""
    found = []
    for path in SOURCES.rglob("*.py"):
        if "admission" in path.parts:
            continue
        for node in ast.parse(path.read_text()).body:
            if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("passrock.admission"):
                found.append((path.name, node.module))  # noqa: PERF401 - reads better than four nested clauses
    assert found == []

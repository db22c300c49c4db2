"""Lets the suite pass over the tests that KNOWN-RED.txt lists, and over no others; ``-rx`` prints them."""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_failures():
    """Return the test ids that begin a line of the list."""
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    return {line.split("   ")[0].strip() for line in lines if line.startswith("tests/")}


def pytest_collection_modifyitems(items):
    """Expect a failure of each listed test: one that passes has to leave the list."""
    listed = known_failures()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt", strict=True))

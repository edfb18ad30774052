"""Let the tests that KNOWN-RED.txt names as passed over fail without failing the run.

They run nevertheless, and pytest prints them with their outcome.
"""

import pathlib

import pytest

KNOWN_RED_FILE = pathlib.Path(__file__).parents[1] / "KNOWN-RED.txt"
PREFIX = "CI passes over "
"""Begin of a line that names a test; the name ends before the first space."""


def pytest_collection_modifyitems(items):
    """Mark the named tests as expected to fail."""
    lines = KNOWN_RED_FILE.read_text().splitlines()
    names = [
        line.removeprefix(PREFIX).split(" ")[0]
        for line in lines
        if line.startswith(PREFIX)
    ]
    for item in items:
        if any(item.nodeid.endswith(name) for name in names):
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt"))

"""Deselects exactly the tests that KNOWN-RED.txt lists, and prints them."""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def read_known_red():
    lines = KNOWN_RED.read_text("utf-8").splitlines()
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return {entry.split("|")[0].strip(): entry for entry in entries}


def pytest_report_header(config):
    return [f"known red: {entry}" for entry in read_known_red().values()]


def pytest_collection_modifyitems(config, items):
    known = read_known_red()
    deselected = [item for item in items if item.nodeid in known]
    if deselected and not config.getoption("--run-known-red"):
        config.hook.pytest_deselected(items=deselected)
        items[:] = [item for item in items if item.nodeid not in known]
    if config.args == config.getini("testpaths"):
        # An entry without "::" is a measurement, not a test.
        tests = {name for name in known if "::" in name}
        stale = tests - {item.nodeid for item in deselected}
        if stale:
            raise pytest.UsageError(
                f"KNOWN-RED.txt lists unknown tests: {stale}; mend the entries"
            )


def pytest_addoption(parser):
    parser.addoption(
        "--run-known-red",
        action="store_true",
        help="also run the tests listed in KNOWN-RED.txt",
    )

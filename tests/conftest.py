"""Passes over exactly the tests that KNOWN-RED.txt names, and prints them."""

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
        tests = {name for name in known if "::" in name}  # others name a measurement
        stale = tests - {item.nodeid for item in deselected}
        if stale:
            raise pytest.UsageError(f"KNOWN-RED.txt names no such test: {stale}")


def pytest_addoption(parser):
    parser.addoption(
        "--run-known-red", action="store_true", help="run the known failures too"
    )

"""The single-file release runs without the libraries of the checkout.

Guards against a build that lacks a module or an extension, and against one that
unpacks files, starts child processes or imports from the installed packages.
"""

import os
import signal
import subprocess
import sys
import urllib.request
from pathlib import Path

import pytest

from release import build
from standins.demo import make_table
from standins.fleet import Fleet, free_ports

pytestmark = pytest.mark.processes

ALONE = [sys._base_executable, "-I", "-S"]
WAIT_S = 60


@pytest.fixture(scope="module")
def program(tmp_path_factory):
    path = tmp_path_factory.mktemp("dist") / "chicorychute"
    assert build.main([str(path)]) == 0
    return path


@pytest.fixture
def empty(tmp_path):
    """Return a directory that the program sees as current, home and temporary."""
    directory = tmp_path / "empty"
    directory.mkdir()
    return directory


def environment(empty):
    names = ("HOME", "TMPDIR", "XDG_CACHE_HOME")
    return {"PATH": os.environ["PATH"], **dict.fromkeys(names, str(empty))}


def run(program, empty, *arguments):
    return subprocess.run(
        [*ALONE, program, *map(str, arguments)],
        cwd=empty,
        env=environment(empty),
        capture_output=True,
        text=True,
        timeout=WAIT_S,
    )


def ini(tmp_path, ports):
    path = tmp_path / "daemon.ini"
    path.write_text(
        "[instance]\nid = i1\nzone = z\nregion = r\n"
        f"[edge]\nport = {ports[0]}\n[peer]\nport = {ports[1]}\n"
        f"[operator]\nport = {ports[2]}\n[platform]\nbackend = none\n"
        f"[upstream:u1]\nservice = orders\nurl = http://127.0.0.1:{ports[3]}\n"
    )
    return path


def test_version_and_check_run_alone(program, empty, tmp_path):
    assert run(program, empty, "version").stdout.startswith("chicorychute ")
    config = ini(tmp_path, free_ports(4))
    table = tmp_path / "table.csv"
    table.write_text(make_table(5000))
    checked = run(program, empty, "check", "-c", config, "--table", table)
    assert (checked.returncode, checked.stdout) == (0, "no faults\n")
    table.write_text("service\n")
    assert run(program, empty, "check", "--table", table).returncode == 2
    assert list(empty.iterdir()) == []


def test_file_is_executable_and_names_its_interpreter(program):
    assert os.access(program, os.X_OK)
    version = f"python{sys.version_info[0]}.{sys.version_info[1]}"
    assert program.read_bytes().startswith(f"#!/usr/bin/env {version}\n".encode())


def test_daemon_runs_without_unpacked_files_or_children(program, empty, tmp_path):
    ports = free_ports(4)
    process = subprocess.Popen(
        [*ALONE, program, "run", "-c", ini(tmp_path, ports)],
        cwd=empty,
        env=environment(empty),
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert any("daemon: serving" in line for line in process.stdout)
        url = f"http://127.0.0.1:{ports[2]}/live"
        assert urllib.request.urlopen(url, timeout=WAIT_S).read() == b"live\n"
        children = Path(f"/proc/{process.pid}/task/{process.pid}/children")
        assert children.read_text() == ""
        assert list(empty.iterdir()) == []
        maps = Path(f"/proc/{process.pid}/maps").read_text()
        assert "_cbor2" in maps
        assert "site-packages" not in maps
    finally:
        process.send_signal(signal.SIGTERM)
        process.stdout.read()
        assert process.wait(WAIT_S) == 0
    assert list(empty.iterdir()) == []


def test_fleet_of_one_files_serves(program, monkeypatch):
    def spawn(fleet, module, *arguments):
        if module != "chicorychute":
            return start(fleet, module, *arguments)
        return subprocess.Popen([*ALONE, program, *arguments], cwd=fleet.path)

    start = Fleet.spawn
    monkeypatch.setattr(Fleet, "spawn", spawn)
    places = [("r1", "r1-a", "orders"), ("r2", "r2-a", "orders")]
    with Fleet(places, make_table(5000)) as fleet:
        for node in fleet.nodes:
            answer = fleet.http.request("GET", node.edge_url + "/catalogue/1")
            assert (answer.status, answer.headers["Chute-Outcome"]) == (200, "ran")

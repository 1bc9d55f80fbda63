"""The single-file executable runs without the libraries of the checkout.

It could lack a dependency that the checkout provides, unpack files at start or start
child processes.
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

ISOLATED_PYTHON = [sys._base_executable, "-I", "-S"]
TIMEOUT_S = 60


@pytest.fixture(scope="module")
def program(tmp_path_factory):
    path = tmp_path_factory.mktemp("dist") / "chicorychute"
    assert build.main([str(path)]) == 0
    return path


@pytest.fixture
def empty_dir(tmp_path):
    """Return an empty working, home and temporary directory for the program."""
    directory = tmp_path / "empty"
    directory.mkdir()
    return directory


def environment(empty_dir):
    names = ("HOME", "TMPDIR", "XDG_CACHE_HOME")
    return {"PATH": os.environ["PATH"], **dict.fromkeys(names, str(empty_dir))}


def run(program, empty_dir, *arguments):
    return subprocess.run(
        [*ISOLATED_PYTHON, program, *map(str, arguments)],
        cwd=empty_dir,
        env=environment(empty_dir),
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )


def write_settings(tmp_path, ports):
    path = tmp_path / "daemon.ini"
    path.write_text(
        "[instance]\nid = i1\nzone = z\nregion = r\n"
        f"[edge]\nport = {ports[0]}\n[peer]\nport = {ports[1]}\n"
        f"[operator]\nport = {ports[2]}\n[platform]\nbackend = none\n"
        f"[upstream:u1]\nservice = orders\nurl = http://127.0.0.1:{ports[3]}\n"
    )
    return path


def test_version_and_check_run_without_installed_libraries(
    program, empty_dir, tmp_path
):
    assert run(program, empty_dir, "version").stdout.startswith("chicorychute ")
    config = write_settings(tmp_path, free_ports(4))
    table = tmp_path / "table.csv"
    table.write_text(make_table(5000))
    checked = run(program, empty_dir, "check", "-c", config, "--table", table)
    assert (checked.returncode, checked.stdout) == (0, "no faults\n")
    table.write_text("service\n")
    assert run(program, empty_dir, "check", "--table", table).returncode == 2
    assert list(empty_dir.iterdir()) == []


def test_file_is_executable_and_names_its_interpreter(program):
    assert os.access(program, os.X_OK)
    version = f"python{sys.version_info[0]}.{sys.version_info[1]}"
    assert program.read_bytes().startswith(f"#!/usr/bin/env {version}\n".encode())


def test_daemon_runs_without_unpacked_files_or_children(program, empty_dir, tmp_path):
    ports = free_ports(4)
    process = subprocess.Popen(
        [*ISOLATED_PYTHON, program, "run", "-c", write_settings(tmp_path, ports)],
        cwd=empty_dir,
        env=environment(empty_dir),
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert any("daemon: serving" in line for line in process.stdout)
        url = f"http://127.0.0.1:{ports[2]}/live"
        assert urllib.request.urlopen(url, timeout=TIMEOUT_S).read() == b"live\n"
        children = Path(f"/proc/{process.pid}/task/{process.pid}/children")
        assert children.read_text() == ""
        assert list(empty_dir.iterdir()) == []
        maps = Path(f"/proc/{process.pid}/maps").read_text()
        assert "_cbor2" in maps
        assert "site-packages" not in maps
    finally:
        process.send_signal(signal.SIGTERM)
        process.stdout.read()
        assert process.wait(TIMEOUT_S) == 0
    assert list(empty_dir.iterdir()) == []


def test_fleet_started_from_the_executable_serves(program, monkeypatch):
    def spawn(fleet, module, *arguments):
        if module != "chicorychute":
            return original_spawn(fleet, module, *arguments)
        return subprocess.Popen([*ISOLATED_PYTHON, program, *arguments], cwd=fleet.path)

    original_spawn = Fleet.spawn
    monkeypatch.setattr(Fleet, "spawn", spawn)
    instances = [("r1", "r1-a", "orders"), ("r2", "r2-a", "orders")]
    with Fleet(instances, make_table(5000)) as fleet:
        for node in fleet.nodes:
            answer = fleet.http.request("GET", node.edge_url + "/catalogue/1")
            assert (answer.status, answer.headers["Chute-Outcome"]) == (200, "ran")

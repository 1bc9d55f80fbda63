"""Guards against commands with wrong exit codes, errors or output.

An operator's script relies on the exit code, on one line of standard error for
each fault, and on tabs and complete cells in a pipe; an operator relies on a
status that fits the terminal.
"""

import json
import resource
import socket
from pathlib import Path

import pytest

from chicorychute.core.management import command_names, main, text
from chicorychute.core.management.commands.run import raise_file_limit
from tests.conf.test_settings import VALID_SETTINGS
from tests.table.test_parse import LOOKUP, csv_line, csv_table

STATUS = {
    "instance": "i1",
    "zone": "z",
    "region": "r",
    "not_ready": "",
    "table_version": 7,
    "table_age_s": 12.5,
    "service_level": [
        {
            "service": "orders",
            "rank": "order",
            "requests": 4,
            "within_target": 3,
            "share": 0.75,
        }
    ],
}


def upstream(name, verdict="healthy", **more):
    return {
        "upstream": name,
        "service": "orders",
        "verdict": verdict,
        "slots": 4,
        "in_flight": 1,
        "queued": 2,
        "latency_ms": 10.5,
        "failure_share": 0.25,
        **more,
    }


def member(name, verdict="healthy", status="alive"):
    return {
        "instance": name,
        "status": status,
        "zone": "z",
        "region": "r",
        "table_version": 7,
        "upstreams": [upstream(f"{name}-up", verdict)],
    }


@pytest.fixture
def files(tmp_path):
    (tmp_path / "daemon.ini").write_text(VALID_SETTINGS)
    (tmp_path / "old.csv").write_text(csv_table(csv_line(), csv_line(**LOOKUP)))
    (tmp_path / "new.csv").write_text(
        csv_table(csv_line(deadline_ms="5000"), csv_line(**LOOKUP))
    )
    (tmp_path / "bad.csv").write_text(csv_table(csv_line(slots="0", floor="2")))
    return tmp_path


@pytest.fixture
def daemon(monkeypatch):
    """Replace the status page of a daemon by a fixed one."""
    status = {
        **STATUS,
        "upstreams": [upstream("u1", "sick", reason="slower than its peers")],
        "instances": [
            *(member(f"m{number:02}") for number in range(30)),
            member("z1", "sick"),
            member("z2", status="dead"),
        ],
    }

    class Answer:
        data = json.dumps(status).encode()

    module = "chicorychute.core.management.commands.status.fetch"
    monkeypatch.setattr(module, lambda url: Answer)
    return status


@pytest.mark.parametrize("name", command_names())
def test_help_has_examples(name, capsys):
    with pytest.raises(SystemExit) as raised:
        main([name, "--help"])
    assert raised.value.code == 0
    assert f"chicorychute {name}" in capsys.readouterr().out.split("example")[1]


def test_unknown_command_is_bad_input(capsys):
    with pytest.raises(SystemExit) as raised:
        main(["start"])
    assert raised.value.code == 2


def test_check_reports_faults_of_both_files_at_once(files, capsys):
    (files / "daemon.ini").write_text(VALID_SETTINGS + "[edge]\nport = x\n")
    arguments = ["-c", str(files / "daemon.ini"), "--table", str(files / "bad.csv")]
    assert main(["check", *arguments]) == 2
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 3
    assert all(error.startswith("chicorychute: ") for error in lines)
    assert "column slots" in lines[1]


def test_check_of_good_files_reports_no_error(files, capsys):
    arguments = ["-c", str(files / "daemon.ini"), "--table", str(files / "old.csv")]
    assert main(["check", *arguments]) == 0
    assert capsys.readouterr().err == ""


@pytest.mark.parametrize(
    "arguments",
    [
        ["check"],
        ["check", "--table", "none.csv"],
        ["run", "-c", "none.ini"],
        ["status", "-c", "none.ini"],
        ["table", "show", "none.csv"],
    ],
)
def test_bad_input_gives_one_error_line_and_exit_code_2(arguments, capsys):
    assert main(arguments) == 2
    assert len(capsys.readouterr().err.splitlines()) == 1


def test_run_reports_the_port_in_use_and_starts_nothing(files, capsys):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
        ports = f"[operator]\nport = {port}\n[edge]\nport = 0\n[peer]\nport = 0\n"
        (files / "daemon.ini").write_text(VALID_SETTINGS + ports)
        assert main(["run", "-c", str(files / "daemon.ini")]) == 1
    (error_line,) = capsys.readouterr().err.splitlines()
    assert f"[operator] can't listen on 127.0.0.1:{port}" in error_line


def test_daemon_that_does_not_answer_gives_one_error_line(capsys):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    url = f"http://127.0.0.1:{port}"
    for arguments in (["status", "--url", url], ["table", "show", url]):
        assert main(arguments) == 1
        (error_line,) = capsys.readouterr().err.splitlines()
        assert "does not answer" in error_line


def test_status_page_that_is_not_json_gives_one_error_line(capsys, monkeypatch):
    class Answer:
        data = b"<html>"

    module = "chicorychute.core.management.commands.status.fetch"
    monkeypatch.setattr(module, lambda url: Answer)
    assert main(["status"]) == 1
    (error_line,) = capsys.readouterr().err.splitlines()
    assert "/status is not valid JSON" in error_line


def test_status_fits_a_terminal_and_lists_instances_out_of_rotation_first(
    daemon, capsys, monkeypatch
):
    monkeypatch.setattr(text, "is_terminal", lambda: True)
    monkeypatch.setattr(text, "terminal_width", lambda: 80)
    assert main(["status"]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert max(map(len, lines)) <= 80
    assert len(lines) <= 40
    assert any("version 7 in force" in row for row in lines)
    assert any("75.0%" in row for row in lines)
    assert any("slower than its peers" in row for row in lines)
    heading = next(n for n, row in enumerate(lines) if row.startswith("instance "))
    assert [row.split()[0] for row in lines[heading + 1 :][:2]] == ["z1", "z2"]
    assert lines[-1] == "... and 12 more (--all)"


def test_status_in_a_pipe_is_separated_by_tabs(daemon, capsys):
    assert main(["status", "--all"]) == 0
    assert "orders\torder\t4\t75.0%" in capsys.readouterr().out


def test_status_as_json(daemon, capsys):
    assert main(["status", "--json"]) == 0
    assert json.loads(capsys.readouterr().out) == daemon


def test_table_diff_names_the_cell(files, capsys):
    old, new = str(files / "old.csv"), str(files / "new.csv")
    assert main(["table", "diff", old, old]) == 0
    assert main(["table", "diff", old, new]) == 1
    assert capsys.readouterr().out == "orders order: deadline_ms 4000 -> 5000\n"
    assert main(["table", "diff", "--json", old, new]) == 1
    (change,) = json.loads(capsys.readouterr().out)
    assert (change["column"], change["old"], change["new"]) == (
        "deadline_ms",
        "4000",
        "5000",
    )
    assert main(["table", "diff", old, str(files / "bad.csv")]) == 2


def test_table_explain_shows_the_row_and_every_cell(files, capsys):
    old = str(files / "old.csv")
    assert main(["table", "explain", "GET", "/kits/4?x=1", old]) == 0
    out = capsys.readouterr().out
    assert "is orders, rank lookup" in out
    assert "deadline_ms\t4000\tTime after which" in out
    assert main(["table", "explain", "GET", "/nowhere", old]) == 1
    assert "no row has a route" in capsys.readouterr().err


def test_table_show_in_a_pipe_is_not_truncated(files, capsys):
    assert main(["table", "show", str(files / "old.csv")]) == 0
    heading, first, _ = capsys.readouterr().out.splitlines()
    assert heading.split("\t")[0] == "service"
    assert first.split("\t")[2] == "POST /orders"


@pytest.mark.parametrize("terminal", [True, False])
def test_long_command_shows_progress_on_a_terminal_only(terminal, monkeypatch, capsys):
    monkeypatch.setattr("sys.stderr.isatty", lambda: terminal)
    trace = Path(__file__).parents[2] / "traces" / "smriti-healthy.jsonl"
    assert main(["replay", str(trace), "--json"]) == 0
    captured = capsys.readouterr()
    assert ("replay: at work for 0 s" in captured.err) is terminal
    assert json.loads(captured.out)["broken"] == []


def test_run_raises_the_file_limit_to_the_hard_limit():
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 256), hard))
    try:
        raise_file_limit()
        assert resource.getrlimit(resource.RLIMIT_NOFILE) == (hard, hard)
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))

"""Guards against a wrong history of a request made from incomplete log lines.

The lines come from several daemons in any order; some are damaged, doubled or
missing. The history must not guess what no line shows.
"""

import json
import random

import pytest

from chicorychute.core.management import main
from chicorychute.explain.history import describe
from chicorychute.explain.lines import find_related_lines, read_line

ID = "9c41d07be2a35f68"
START = "2026-12-04T15:00:0"


def line(second, instance, event, **fields):
    stamp = f"{START}{second:.6f}Z"
    return json.dumps(
        {**fields, "event": event, "instance": instance, "timestamp": stamp}
    )


def attempt(upstream, end, **more):
    return {
        "upstream": upstream,
        "predicted_ms": 210.0,
        "risk": 0.02,
        "may_wait": False,
        "ms": 3.0,
        "end": end,
        **more,
    }


def not_taken(second, instance, upstream, id=ID):
    return line(
        second,
        instance,
        "request: not taken",
        id=id,
        upstream=upstream,
        reason="no-free-slot",
        in_flight=4,
        queued=5,
        wait_ms=1978.6,
        risk=0.02,
    )


def ran(second, instance, upstream, end, id=ID):
    return line(
        second,
        instance,
        "request: ran",
        id=id,
        upstream=upstream,
        end=end,
        ms=180.0,
        in_flight=2,
        risk=0.02,
    )


def refused(second, outcome, reason, tries, **more):
    fields = {
        "id": ID,
        "outcome": outcome,
        "reason": reason,
        "service": "orders",
        "rank": "order",
        "table_version": 12,
        "ms": 351.0,
        "asked_ms": 4000,
        "stopped_by": "no further gate",
        "tries": tries,
        **more,
    }
    return line(second, "entry", "request: refused", **fields)


def answered(second, status, tries):
    return line(
        second,
        "entry",
        "request: answered",
        id=ID,
        status=status,
        upstream=tries[-1]["upstream"],
        service="orders",
        rank="order",
        table_version=12,
        ms=200.0,
        asked_ms=4000,
        stopped_by="the last end",
        tries=tries,
    )


OVERLOAD_LINES = [
    not_taken(1.0, "gate-1", "u1"),
    not_taken(1.1, "gate-2", "u2"),
    refused(
        1.4,
        "not-run",
        "overload",
        [
            attempt("u1", "no-free-slot, not-run"),
            attempt("u2", "no-free-slot, not-run"),
        ],
    ),
]
UNRELATED_LINES = [
    not_taken(1.0, "gate-1", "u1", "another"),
    ran(1.0, "gate-2", "u2", "200", "another"),
    line(0.5, "elsewhere", "link: lost", peer="x"),
]


def explain(lines):
    return "\n".join(describe(find_related_lines(lines, ID)))


@pytest.mark.parametrize("seed", range(5))
def test_history_does_not_depend_on_the_order_of_the_lines(seed):
    shuffled_lines = [*OVERLOAD_LINES, *UNRELATED_LINES]
    random.Random(seed).shuffle(shuffled_lines)
    output = explain(shuffled_lines)
    assert output == explain([*OVERLOAD_LINES, *UNRELATED_LINES])
    assert output.startswith("refused as overload, outcome not-run, after 351.0 ms")
    assert output.index("not taken at u1") < output.index("not taken at u2")
    assert "given up at entry; no upstream has run it" in output
    assert "another" not in output
    # That line is of a daemon that did not handle the request.
    assert "link: lost" not in output


def test_lost_answer_is_distinguished_from_a_request_that_never_reached_the_gate():
    unknown = refused(
        1.4, "unknown", "peer-lost", [attempt("u1", "peer-lost, unknown")]
    )
    answered_lines = [ran(1.2, "gate-1", "u1", "200"), unknown]
    assert "u1 answered 200; the answer was lost between its gate and" in explain(
        answered_lines
    )
    unanswered_output = explain([unknown])
    assert (
        "between entry and the gate of u1, or the line of that gate is"
        in unanswered_output
    )
    assert "no log line of its gate" in unanswered_output


def test_lost_upstream_is_named():
    lines = [
        ran(1.2, "gate-1", "u1", "upstream-lost, unknown"),
        refused(
            1.4, "unknown", "upstream-lost", [attempt("u1", "upstream-lost, unknown")]
        ),
    ]
    assert "it was lost at u1: upstream-lost, unknown" in explain(lines)


@pytest.mark.parametrize(
    ("status", "end"),
    [(500, "it failed at u1, whose answer was passed on"), (200, "it was served")],
)
def test_answer_counts_as_served_or_failed_by_its_status(status, end):
    lines = [
        ran(1.2, "gate-1", "u1", str(status)),
        answered(1.4, status, [attempt("u1", str(status))]),
    ]
    assert end in explain(lines)


def test_earlier_state_change_at_a_daemon_of_the_request_is_shown():
    verdict_event = "health: the verdict on an upstream changed"
    related_change = line(0.2, "gate-1", verdict_event, upstream="u1", verdict="sick")
    unrelated_change = line(0.3, "gate-9", verdict_event, upstream="u9", verdict="sick")
    output = explain([*OVERLOAD_LINES, related_change, unrelated_change])
    assert "gate-1  health: the verdict on an upstream changed upstream=u1" in output
    assert "u9" not in output


def test_place_of_loss_is_not_guessed_without_the_line_of_the_entry():
    output = explain(OVERLOAD_LINES[:2])
    assert "the line of its entry is missing" in output
    assert "can't determine where it was lost" in output


def test_damaged_and_left_out_lines_are_counted_and_doubled_ones_merged():
    damaged = OVERLOAD_LINES[0][:60]
    left_out = line(1.3, "gate-1", "log: lines were left out", count=7)
    unrelated_left_out = line(1.3, "gate-9", "log: lines were left out", count=9)
    output = explain(
        [*OVERLOAD_LINES, OVERLOAD_LINES[0], damaged, left_out, unrelated_left_out]
    )
    assert "1 damaged lines name the request" in output
    assert "gate-1 left 7 lines out of its log" in output
    assert "gate-9" not in output
    assert output.count("not taken at u1 as") == 1


def test_text_of_a_log_collector_before_the_json_is_skipped():
    found = read_line(f"gate-1 | 12.5 | {OVERLOAD_LINES[0]}\n")
    assert (found.instance, found.event) == ("gate-1", "request: not taken")


@pytest.mark.parametrize(
    "text", ["", "plain text", "{", '{"a": 1}', '{"event": 3}', "a {} b", "{[]}"]
)
def test_text_without_a_log_event_gives_none(text):
    assert read_line(text) is None


def test_command_reads_files_and_reports_missing_ones(tmp_path, capsys):
    path = tmp_path / "a.log"
    path.write_text("\n".join(OVERLOAD_LINES))
    assert main(["explain", ID, str(path)]) == 0
    assert "refused as overload" in capsys.readouterr().out
    assert main(["explain", "no-such-id", str(path)]) == 1
    assert "no readable log line has the id no-such-id" in capsys.readouterr().err
    assert main(["explain", ID, str(tmp_path / "none.log")]) == 2
    assert "can't be read" in capsys.readouterr().err


def test_line_without_an_instance_is_shown():
    lines = [json.dumps({**json.loads(OVERLOAD_LINES[0]), "instance": ""})]
    assert "a daemon  not taken at u1" in explain(lines)

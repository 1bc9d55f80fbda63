"""Guards against decisions that get worse: stated outcomes of the stored traces.

Traces of both users and of real processes are replayed through the current queue,
judge and floor; each has to meet the outcomes stated in the file next to it.
"""

import json
from pathlib import Path

import pytest

from chicorychute.core.management import main
from chicorychute.health import judge
from chicorychute.replay.outcomes import broken_outcomes, read_outcomes
from chicorychute.replay.player import Player
from chicorychute.replay.trace import read_trace

TRACE_FOLDER = Path(__file__).parent.parent.parent / "traces"
TRACE_PATHS = sorted(TRACE_FOLDER.glob("*.jsonl"))
SLOW_TRACE = TRACE_FOLDER / "smriti-ten-times-slow.jsonl"


def replay_trace(path):
    events = list(read_trace(path.read_text("utf-8").splitlines()))
    return events, Player(events).play()


def find_broken_outcomes(path):
    events, measures = replay_trace(path)
    text = path.with_suffix("").with_suffix(".outcomes.json").read_text("utf-8")
    return broken_outcomes(read_outcomes(text), measures, events)


def test_there_are_traces_of_both_users_and_of_real_processes():
    names = {path.name.split("-")[0] for path in TRACE_PATHS}
    assert names == {"smriti", "pentagrama", "recorded"}


@pytest.mark.parametrize("path", TRACE_PATHS, ids=lambda path: path.stem)
def test_stated_outcomes_hold(path):
    assert find_broken_outcomes(path) == []


def test_same_trace_gives_the_same_measures():
    assert replay_trace(SLOW_TRACE)[1] == replay_trace(SLOW_TRACE)[1]


def test_judge_that_never_ejects_breaks_detection_at_the_first_late_event(monkeypatch):
    monkeypatch.setattr(judge, "THRESHOLD", 1e6)
    (broken,) = find_broken_outcomes(SLOW_TRACE)
    assert broken.found == "never"
    events, _ = replay_trace(SLOW_TRACE)
    sick_s = next(e.at_s for e in events if type(e.event).__name__ == "SickEvent")
    late = [e for e in events if e.at_s > sick_s + 3.0]
    assert (broken.line, broken.at_s) == (late[0].line, late[0].at_s)


def test_oversensitive_judge_breaks_false_ejections(monkeypatch):
    monkeypatch.setattr(judge, "THRESHOLD", 0.5)
    monkeypatch.setattr(judge, "MIN_THRESHOLD", 0.5)
    monkeypatch.setattr(judge, "MIN_SUSPICION_S", 0.0)
    (broken,) = find_broken_outcomes(TRACE_FOLDER / "smriti-healthy.jsonl")
    assert broken.expected.measure == "false_ejections"
    assert broken.line > 1


def test_command_prints_the_measures_as_json(capsys):
    expected = str(SLOW_TRACE.with_suffix("").with_suffix(".outcomes.json"))
    assert main(["replay", str(SLOW_TRACE), "--expect", expected, "--json"]) == 0
    printed = json.loads(capsys.readouterr().out)
    assert printed["broken"] == []
    assert set(printed["service_level"]) == {"order", "catalogue", "ledger"}


def test_command_names_the_outcome_that_does_not_hold(tmp_path, capsys):
    stated = tmp_path / "outcomes.json"
    outcome = {"measure": "detection_s", "of": "u1", "bound": 0.1}
    stated.write_text(json.dumps({"outcomes": [outcome]}))
    assert main(["replay", str(SLOW_TRACE), "--expect", str(stated)]) == 1
    assert "detection_s u1 at most 0.1" in capsys.readouterr().out

"""The traces of the repository keep their stated outcomes."""

import json
from pathlib import Path

import pytest

from chicorychute.core.management import main
from chicorychute.health import judge
from chicorychute.replay.outcomes import broken_outcomes, read_outcomes
from chicorychute.replay.player import Player
from chicorychute.replay.trace import read_trace

FOLDER = Path(__file__).parent.parent.parent / "traces"
TRACES = sorted(FOLDER.glob("*.jsonl"))
SLOW = FOLDER / "smriti-ten-times-slow.jsonl"


def replayed(path):
    events = list(read_trace(path.read_text("utf-8").splitlines()))
    return events, Player(events).play()


def broken(path):
    events, measures = replayed(path)
    text = path.with_suffix("").with_suffix(".outcomes.json").read_text("utf-8")
    return broken_outcomes(read_outcomes(text), measures, events)


def test_there_are_traces_of_both_users_and_of_real_processes():
    names = {path.name.split("-")[0] for path in TRACES}
    assert names == {"smriti", "pentagrama", "recorded"}


@pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
def test_stated_outcomes_hold(path):
    assert broken(path) == []


def test_same_trace_gives_the_same_measures():
    assert replayed(SLOW)[1] == replayed(SLOW)[1]


def test_judge_made_blind_breaks_detection_at_the_first_late_event(monkeypatch):
    monkeypatch.setattr(judge, "THRESHOLD", 1e6)
    (found,) = broken(SLOW)
    assert found.found == "never"
    events, _ = replayed(SLOW)
    sick_s = next(e.at_s for e in events if type(e.event).__name__ == "SickEvent")
    late = [e for e in events if e.at_s > sick_s + 3.0]
    assert (found.line, found.at_s) == (late[0].line, late[0].at_s)


def test_hasty_judge_breaks_false_ejections(monkeypatch):
    monkeypatch.setattr(judge, "THRESHOLD", 0.5)
    monkeypatch.setattr(judge, "MIN_THRESHOLD", 0.5)
    monkeypatch.setattr(judge, "MIN_SUSPICION_S", 0.0)
    (found,) = broken(FOLDER / "smriti-healthy.jsonl")
    assert found.expected.measure == "false_ejections"
    assert found.line > 1


def test_command_prints_the_measures_as_json(capsys):
    expected = str(SLOW.with_suffix("").with_suffix(".outcomes.json"))
    assert main(["replay", str(SLOW), "--expect", expected, "--json"]) == 0
    found = json.loads(capsys.readouterr().out)
    assert found["broken"] == []
    assert set(found["service_level"]) == {"order", "catalogue", "ledger"}


def test_command_names_the_outcome_that_does_not_hold(tmp_path, capsys):
    stated = tmp_path / "outcomes.json"
    outcome = {"measure": "detection_s", "of": "u1", "bound": 0.1}
    stated.write_text(json.dumps({"outcomes": [outcome]}))
    assert main(["replay", str(SLOW), "--expect", str(stated)]) == 1
    assert "detection_s u1 at most 0.1" in capsys.readouterr().out

"""A worse decision breaks a stated outcome, named with the first wrong event."""

import pytest

from chicorychute.core.management import main
from chicorychute.core.management.commands import replay as command
from chicorychute.health import judge
from chicorychute.health.judge import UpstreamJudge
from chicorychute.replay import orders
from chicorychute.replay.baselines import FixedThresholdJudge, MovingAverageJudge
from chicorychute.replay.player import IN_FORCE, Decisions, Player
from chicorychute.routing.candidates import eligible
from tests.replay.test_traces import FOLDER, broken


class WithoutPeers(UpstreamJudge):
    """Judges by absolute values: never hears its peers."""

    def update_peers(self, peers):
        """Forget the peers."""
        super().update_peers([])


class WithoutTick(UpstreamJudge):
    """Judges only requests that have ended."""

    def tick(self):
        """Leave running requests alone."""


class AlwaysWarm(UpstreamJudge):
    """Judges a daemon that has just started like any other."""

    def __init__(self, clock, cold=False):
        super().__init__(clock)


def without_floor(candidates, floor, draw=1.0):
    return eligible(candidates, 0.0, draw)


BLIND = {"THRESHOLD": 1e6}
HASTY = {"THRESHOLD": 0.5, "MIN_THRESHOLD": 0.5, "MIN_SUSPICION_S": 0.0}
NOT_COMMON = {"COMMON_CAUSE_FRACTION": 1.0}
WORSE = [
    (Decisions(orders.FIRST_COME), {}, "pentagrama-flood", "flood_level lookup"),
    (Decisions(orders.FIRST_COME), {}, "smriti-flood", "flood_level order"),
    (Decisions(orders.STRICT), {}, "smriti-urgent-flood", "flood_level catalogue"),
    (Decisions(orders.STRICT), {}, "pentagrama-urgent-flood", "flood_level commission"),
    (Decisions(orders.ROUND_ROBIN), {}, "smriti-two-fail", "service_level catalogue"),
    (Decisions(orders.LATE_REFUSAL), {}, "smriti-urgent-flood", "flood_level ledger"),
    (IN_FORCE, BLIND, "smriti-flaps", "detection_s u1"),
    (IN_FORCE, HASTY, "smriti-healthy", "false_ejections"),
    (IN_FORCE, NOT_COMMON, "pentagrama-stale-reports", "false_ejections"),
    (Decisions(make_judge=WithoutPeers), {}, "smriti-ten-times-slow", "detection_s u1"),
    (Decisions(make_judge=WithoutTick), {}, "pentagrama-hangs", "detection_s u1"),
    (Decisions(make_judge=AlwaysWarm), {}, "pentagrama-cold-start", "false_ejections"),
    (Decisions(make_judge=MovingAverageJudge), {}, "smriti-all-slow", "false_ejec"),
    (Decisions(make_judge=FixedThresholdJudge), {}, "smriti-empty-answers", "detec"),
    (Decisions(eligible=without_floor), {}, "smriti-two-fail", "service_level cat"),
    (Decisions(retries=False), {}, "pentagrama-flood-and-failures", "flood_level loo"),
]


@pytest.mark.parametrize("decisions, constants, name, outcome", WORSE)
def test_worse_decision_fails_replay(
    monkeypatch, capsys, decisions, constants, name, outcome
):
    for constant, value in constants.items():
        monkeypatch.setattr(judge, constant, value)
    monkeypatch.setattr(command, "Player", lambda events: Player(events, decisions))
    path = FOLDER / f"{name}.jsonl"
    stated = path.with_name(f"{name}.outcomes.json")
    assert main(["replay", str(path), "--expect", str(stated)]) == 1
    lines = capsys.readouterr().out.splitlines()
    broken_lines = [line for line in lines if line.startswith("DID NOT HOLD")]
    said = [line for line in broken_lines if outcome in line]
    assert "first wrong at line" in said[0]


@pytest.mark.parametrize("name", sorted({name for _, _, name, _ in WORSE}))
def test_decisions_in_force_keep_the_same_traces(name):
    assert broken(FOLDER / f"{name}.jsonl") == []

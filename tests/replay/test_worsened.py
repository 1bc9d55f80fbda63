"""Guards against stated outcomes that are too loose to notice a worse decision.

Each case replaces one decision or constant by a worse one. The replay has to report
the outcome that this breaks, with the first wrong event.
"""

import pytest

from chicorychute.core.management import main
from chicorychute.core.management.commands import replay as command
from chicorychute.health import judge
from chicorychute.health.judge import UpstreamJudge
from chicorychute.replay import orders
from chicorychute.replay.baselines import FixedThresholdJudge, MovingAverageJudge
from chicorychute.replay.player import DECISIONS_IN_FORCE, Decisions, Player
from chicorychute.routing.candidates import eligible
from tests.replay.test_traces import TRACE_FOLDER, find_broken_outcomes


class JudgeWithoutPeers(UpstreamJudge):
    """Judges by absolute values, without the digests of its peers."""

    def update_peers(self, peers):
        """Discard the digests."""
        super().update_peers([])


class JudgeWithoutTick(UpstreamJudge):
    """Judges only finished requests."""

    def tick(self):
        """Ignore running requests."""


class JudgeAlwaysWarm(UpstreamJudge):
    """Judges a cold upstream like any other."""

    def __init__(self, clock, cold=False):
        super().__init__(clock)


def eligible_without_floor(candidates, floor, draw=1.0):
    return eligible(candidates, 0.0, draw)


NEVER_EJECTING = {"THRESHOLD": 1e6}
OVERSENSITIVE = {"THRESHOLD": 0.5, "MIN_THRESHOLD": 0.5, "MIN_SUSPICION_S": 0.0}
NO_COMMON_CAUSE = {"COMMON_CAUSE_FRACTION": 1.0}
WORSE_CASES = [
    (Decisions(orders.FIRST_COME), {}, "pentagrama-flood", "flood_level lookup"),
    (Decisions(orders.FIRST_COME), {}, "smriti-flood", "flood_level order"),
    (Decisions(orders.STRICT), {}, "smriti-urgent-flood", "flood_level catalogue"),
    (Decisions(orders.STRICT), {}, "pentagrama-urgent-flood", "flood_level commission"),
    (Decisions(orders.ROUND_ROBIN), {}, "smriti-two-fail", "service_level catalogue"),
    (Decisions(orders.LATE_REFUSAL), {}, "smriti-urgent-flood", "flood_level ledger"),
    (DECISIONS_IN_FORCE, NEVER_EJECTING, "smriti-flaps", "detection_s u1"),
    (DECISIONS_IN_FORCE, OVERSENSITIVE, "smriti-healthy", "false_ejections"),
    (
        DECISIONS_IN_FORCE,
        NO_COMMON_CAUSE,
        "pentagrama-stale-reports",
        "false_ejections",
    ),
    (
        Decisions(make_judge=JudgeWithoutPeers),
        {},
        "smriti-ten-times-slow",
        "detection_s u1",
    ),
    (Decisions(make_judge=JudgeWithoutTick), {}, "pentagrama-hangs", "detection_s u1"),
    (
        Decisions(make_judge=JudgeAlwaysWarm),
        {},
        "pentagrama-cold-start",
        "false_ejections",
    ),
    (Decisions(make_judge=MovingAverageJudge), {}, "smriti-all-slow", "false_ejec"),
    (Decisions(make_judge=FixedThresholdJudge), {}, "smriti-empty-answers", "detec"),
    (
        Decisions(eligible=eligible_without_floor),
        {},
        "smriti-two-fail",
        "service_level cat",
    ),
    (Decisions(retries=False), {}, "pentagrama-flood-and-failures", "flood_level loo"),
]


@pytest.mark.parametrize("decisions, constants, name, outcome", WORSE_CASES)
def test_worse_decision_fails_replay(
    monkeypatch, capsys, decisions, constants, name, outcome
):
    for constant, value in constants.items():
        monkeypatch.setattr(judge, constant, value)
    monkeypatch.setattr(command, "Player", lambda events: Player(events, decisions))
    path = TRACE_FOLDER / f"{name}.jsonl"
    outcomes_path = path.with_name(f"{name}.outcomes.json")
    assert main(["replay", str(path), "--expect", str(outcomes_path)]) == 1
    lines = capsys.readouterr().out.splitlines()
    broken_lines = [line for line in lines if line.startswith("DID NOT HOLD")]
    matching = [line for line in broken_lines if outcome in line]
    assert "first wrong at line" in matching[0]


@pytest.mark.parametrize("name", sorted({name for _, _, name, _ in WORSE_CASES}))
def test_decisions_in_force_keep_the_same_traces(name):
    assert find_broken_outcomes(TRACE_FOLDER / f"{name}.jsonl") == []

"""Detection and false ejections over generated traffic with fixed seeds.

Guards against a sick upstream that is ejected too late, and against ejections without
a fault of the upstream: by heavy tails, floods, late digests or a fault of all.
"""

import attrs
import pytest

from chicorychute.replay.baselines import MovingAverageJudge
from chicorychute.replay.detection import JudgeSimulation, MeasuredJudge
from chicorychute.replay.traffic import Fault, Flood, Swing, Traffic

TARGET_S = 3.0
START_S = 20.0
SICK_UPSTREAM = (0,)
ALL_UPSTREAMS = tuple(range(Traffic().upstreams))
TRAFFIC = Traffic()


def measure(traffic, faults, seconds, seed, make_judge=MeasuredJudge):
    return JudgeSimulation(traffic, faults, make_judge, seed).measure(seconds)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    "fault",
    [
        Fault(SICK_UPSTREAM, START_S, slow_factor=10),
        Fault(SICK_UPSTREAM, START_S, fail_share=1 / 3),
        Fault(SICK_UPSTREAM, START_S, empty_share=1 / 3),
        Fault(SICK_UPSTREAM, START_S, fail_share=1.0),
    ],
    ids=["ten-times-slow", "third-fails", "third-empty", "all-fail"],
)
def test_sick_upstream_is_ejected_within_the_target(fault, seed):
    measured = measure(TRAFFIC, (fault,), START_S + 10, seed)
    assert measured.detection_s(fault) <= TARGET_S
    assert not measured.false_ejections((fault,))


@pytest.mark.parametrize(
    "fault",
    [
        Fault(SICK_UPSTREAM, START_S, slow_factor=2),
        Fault(SICK_UPSTREAM, START_S, slow_factor=10, rank="order"),
        Fault(SICK_UPSTREAM, START_S, hang_share=1.0),
        Fault(SICK_UPSTREAM, START_S, hang_share=0.3),
        Fault(SICK_UPSTREAM, START_S, shed_share=0.5),
        *(
            Fault(SICK_UPSTREAM, START_S, fail_share=1.0, period_s=p)
            for p in (1, 8, 60)
        ),
    ],
    ids=[
        "twice",
        "one-rank",
        "hangs",
        "some-hang",
        "sheds",
        "flap1",
        "flap8",
        "flap60",
    ],
)
def test_sick_upstream_is_ejected_and_no_other(fault):
    measured = measure(TRAFFIC, (fault,), 120, 1)
    assert measured.detection_s(fault) is not None
    assert not measured.false_ejections((fault,))


@pytest.mark.parametrize(
    "traffic",
    [
        TRAFFIC,
        attrs.evolve(TRAFFIC, swing=Swing(0.8, 20)),
        attrs.evolve(TRAFFIC, flood=Flood(20, 60, 8.0)),
        attrs.evolve(TRAFFIC, digest_delay_s=2.0),
    ],
    ids=["noise", "swing", "flood", "slow-region-link"],
)
def test_heavy_tails_of_healthy_upstreams_cause_no_ejection(traffic):
    assert measure(traffic, (), 120, 5).ejections == ()


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    "fault",
    [
        Fault(ALL_UPSTREAMS, START_S, slow_factor=3),
        Fault(ALL_UPSTREAMS, START_S, slow_factor=10),
        Fault(ALL_UPSTREAMS, START_S, fail_share=0.5),
        Fault(ALL_UPSTREAMS, START_S, fail_share=1.0),
        Fault(ALL_UPSTREAMS, START_S, hang_share=1.0),
        Fault(ALL_UPSTREAMS, START_S, shed_share=0.5),
        Fault(ALL_UPSTREAMS, START_S, slow_factor=10, period_s=20),
    ],
    ids=["slow3", "slow10", "fail-half", "fail", "hang", "shed", "slow-flapping"],
)
def test_fault_of_all_upstreams_causes_no_ejection(fault, seed):
    assert measure(TRAFFIC, (fault,), 60, seed).ejections == ()


def test_flapping_upstream_is_out_of_rotation_most_of_the_time():
    fault = Fault(SICK_UPSTREAM, START_S, fail_share=1.0, period_s=8)
    measured = measure(TRAFFIC, (fault,), START_S + 200, 1)
    assert measured.out_of_rotation_s[0] > 100


def test_the_moving_average_ejects_healthy_upstreams_on_the_same_traffic():
    assert len(measure(TRAFFIC, (), 60, 5, MovingAverageJudge).ejections) > 1

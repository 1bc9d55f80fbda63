"""Time to ejection and false ejections for each gray fault, beside plain judges."""

import functools
import math
import statistics
from collections.abc import Callable

import attrs

from chicorychute.bench.figures import Figure
from chicorychute.core.clock import Clock
from chicorychute.replay.baselines import FixedThresholdJudge, MovingAverageJudge
from chicorychute.replay.detection import Judge, JudgeSimulation, MeasuredJudge
from chicorychute.replay.traffic import Fault, Flood, Swing, Traffic
from chicorychute.replay.users import USERS, MainMeasure, User

START_S = 20.0
AFTER_S = 40.0
HEALTHY_S = 600.0
ALL = tuple(range(Traffic().upstreams))
SENSITIVITIES = (0.5, 1.0, 2.0, 4.0, 7.0)
AVERAGE_FACTORS = (2.0, 4.0, 8.0)
FIXED_LIMITS_S = (0.1, 0.3, 1.0)

JudgeMaker = Callable[[Clock], Judge]

MAKER_BY_NAME: dict[str, JudgeMaker] = {
    "": MeasuredJudge,
    "moving average": MovingAverageJudge,
    "fixed threshold": FixedThresholdJudge,
}
FAULT_BY_NAME = {
    "10x slow": Fault((0,), START_S, slow_factor=10),
    "2x slow": Fault((0,), START_S, slow_factor=2),
    "10x slow, one rank": Fault((0,), START_S, slow_factor=10, rank="order"),
    "third fails": Fault((0,), START_S, fail_share=1 / 3),
    "third empty": Fault((0,), START_S, empty_share=1 / 3),
    "half shed": Fault((0,), START_S, shed_share=0.5),
    "all hang": Fault((0,), START_S, hang_share=1.0),
    "third hangs": Fault((0,), START_S, hang_share=1 / 3),
    "flaps 1 s": Fault((0,), START_S, fail_share=1.0, period_s=1),
    "flaps 8 s": Fault((0,), START_S, fail_share=1.0, period_s=8),
    "flaps 60 s": Fault((0,), START_S, fail_share=1.0, period_s=60),
}
PLAIN = Traffic()
HEALTHY_BY_NAME = {
    "noise": PLAIN,
    "swing": attrs.evolve(PLAIN, swing=Swing(0.8, 20.0)),
    "flood": attrs.evolve(PLAIN, flood=Flood(START_S, START_S + 60, 8.0)),
    "slow region link": attrs.evolve(PLAIN, digest_delay_s=2.0),
}
COMMON_BY_NAME = {
    "all 3x slow": Fault(ALL, START_S, slow_factor=3),
    "all 10x slow": Fault(ALL, START_S, slow_factor=10),
    "all half fail": Fault(ALL, START_S, fail_share=0.5),
    "all hang": Fault(ALL, START_S, hang_share=1.0),
}


USER_FAULTS = ("10x slow", "third fails", "third empty", "flaps 8 s", "all hang")
USER_TRAFFICS = ("noise", "swing", "flood")


def measure_detection(seeds: range) -> list[Figure]:
    """Return median and worst time to ejection for each fault and judge."""
    figures = []
    for name, fault in FAULT_BY_NAME.items():
        figures += _detection("detection", name, PLAIN, fault, MAKER_BY_NAME, seeds)
    return figures


def measure_false_ejections(seeds: range) -> list[Figure]:
    """Return ejections per instance-hour where nothing should be ejected."""
    figures = []
    for judge, make in MAKER_BY_NAME.items():
        for name, traffic in HEALTHY_BY_NAME.items():
            rate = _false_rate(traffic, (), make, seeds, HEALTHY_S)
            figures.append(_false_figure("false", name, rate, judge))
        for name, fault in COMMON_BY_NAME.items():
            rate = _false_rate(PLAIN, (fault,), make, seeds, START_S + AFTER_S)
            figures.append(_false_figure("false", name, rate, judge))
    return figures


def measure_users(seeds: range) -> list[Figure]:
    """Return both measures of detection for each user, the one that weighs first."""
    figures = []
    for user in USERS:
        cell = user.parsed_rows()[0].sensitivity
        maker_by_name = MAKER_BY_NAME | {
            "": lambda clock, cell=cell: MeasuredJudge(clock, cell)
        }
        traffic = attrs.evolve(PLAIN, loads=user.loads)
        parts = [
            _user_false(user, traffic, maker_by_name, seeds),
            _user_detection(user, traffic, maker_by_name, seeds),
        ]
        if user.main_measure is not MainMeasure.FALSE_EJECTIONS:
            parts.reverse()
        figures += [figure for part in parts for figure in part]
    return figures


def _user_detection(
    user: User, traffic: Traffic, maker_by_name: dict[str, JudgeMaker], seeds: range
) -> list[Figure]:
    prefix = f"users | {user.name} | detection"
    return [
        figure
        for name in USER_FAULTS
        for figure in _detection(
            prefix, name, traffic, FAULT_BY_NAME[name], maker_by_name, seeds
        )
    ]


def _user_false(
    user: User, traffic: Traffic, maker_by_name: dict[str, JudgeMaker], seeds: range
) -> list[Figure]:
    prefix = f"users | {user.name} | false ejections"
    figures = []
    for name in USER_TRAFFICS:
        plain = HEALTHY_BY_NAME[name]
        own = attrs.evolve(traffic, swing=plain.swing, flood=plain.flood)
        for judge, make in maker_by_name.items():
            rate = _false_rate(own, (), make, seeds, HEALTHY_S)
            figures.append(_false_figure(prefix, name, rate, judge))
    return figures


def _false_figure(prefix: str, name: str, rate: float, judge: str) -> Figure:
    return Figure(f"{prefix} | {name}", rate, "per hour", baseline=judge)


def _detection(
    prefix: str,
    name: str,
    traffic: Traffic,
    fault: Fault,
    maker_by_name: dict[str, JudgeMaker],
    seeds: range,
) -> list[Figure]:
    figures = []
    for judge, make in maker_by_name.items():
        times = _times(fault, make, seeds, traffic)
        for what, value in (
            ("median", statistics.median(times)),
            ("worst", max(times)),
        ):
            figures.append(
                Figure(f"{prefix} | {name} | {what}", value, "s", baseline=judge)
            )
    return figures


def measure_curve(seeds: range) -> list[Figure]:
    """Return detection time against false ejections for each setting."""
    figures = []
    for sensitivity in SENSITIVITIES:
        name = f"sensitivity {sensitivity:g}"
        make = functools.partial(MeasuredJudge, sensitivity=sensitivity)
        figures += _point(name, make, seeds)
    for factor in AVERAGE_FACTORS:
        name = f"moving average {factor:g}"
        make = functools.partial(MovingAverageJudge, slow_factor=factor)
        figures += _point(name, make, seeds, baseline="moving average")
    for limit_s in FIXED_LIMITS_S:
        name = f"fixed threshold {limit_s:g} s"
        make = functools.partial(FixedThresholdJudge, latency_limit_s=limit_s)
        figures += _point(name, make, seeds, baseline="fixed threshold")
    return figures


def _point(
    name: str, make: JudgeMaker, seeds: range, baseline: str = ""
) -> list[Figure]:
    slow = _times(FAULT_BY_NAME["10x slow"], make, seeds)
    fails = _times(FAULT_BY_NAME["third fails"], make, seeds)
    rate = _false_rate(PLAIN, (), make, seeds, HEALTHY_S)
    prefix = f"curve | {name}"
    return [
        Figure(f"{prefix} | 10x slow", statistics.median(slow), "s", baseline=baseline),
        Figure(
            f"{prefix} | third fails", statistics.median(fails), "s", baseline=baseline
        ),
        Figure(f"{prefix} | false ejections", rate, "per hour", baseline=baseline),
    ]


def _times(
    fault: Fault, make: JudgeMaker, seeds: range, traffic: Traffic = PLAIN
) -> list[float]:
    """Return a time to ejection for each seed, infinite where there was none."""
    times = []
    for seed in seeds:
        measured = JudgeSimulation(traffic, (fault,), make, seed).measure(
            START_S + AFTER_S
        )
        after_s = measured.detection_s(fault)
        times.append(math.inf if after_s is None else after_s)
    return times


def _false_rate(
    traffic: Traffic,
    faults: tuple[Fault, ...],
    make: JudgeMaker,
    seeds: range,
    seconds: float,
) -> float:
    ejections = 0
    hours = 0.0
    for seed in seeds:
        measured = JudgeSimulation(traffic, faults, make, seed).measure(seconds)
        ejections += len(measured.ejections)
        hours += measured.instance_hours
    return ejections / hours

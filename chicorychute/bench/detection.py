"""Time to ejection and false ejections for each gray fault, against baseline judges."""

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

FAULT_START_S = 20.0
OBSERVED_AFTER_FAULT_S = 40.0
HEALTHY_DURATION_S = 600.0
ALL_UPSTREAMS = tuple(range(Traffic().upstreams))
SENSITIVITIES = (0.5, 1.0, 2.0, 4.0, 7.0)
MOVING_AVERAGE_FACTORS = (2.0, 4.0, 8.0)
FIXED_THRESHOLDS_S = (0.1, 0.3, 1.0)

JudgeFactory = Callable[[Clock], Judge]

FACTORY_BY_BASELINE: dict[str, JudgeFactory] = {
    "": MeasuredJudge,
    "moving average": MovingAverageJudge,
    "fixed threshold": FixedThresholdJudge,
}
FAULT_BY_NAME = {
    "10x slow": Fault((0,), FAULT_START_S, slow_factor=10),
    "2x slow": Fault((0,), FAULT_START_S, slow_factor=2),
    "10x slow, one rank": Fault((0,), FAULT_START_S, slow_factor=10, rank="order"),
    "third fails": Fault((0,), FAULT_START_S, fail_share=1 / 3),
    "third empty": Fault((0,), FAULT_START_S, empty_share=1 / 3),
    "half shed": Fault((0,), FAULT_START_S, shed_share=0.5),
    "all hang": Fault((0,), FAULT_START_S, hang_share=1.0),
    "third hangs": Fault((0,), FAULT_START_S, hang_share=1 / 3),
    "flaps 1 s": Fault((0,), FAULT_START_S, fail_share=1.0, period_s=1),
    "flaps 8 s": Fault((0,), FAULT_START_S, fail_share=1.0, period_s=8),
    "flaps 60 s": Fault((0,), FAULT_START_S, fail_share=1.0, period_s=60),
}
NORMAL_TRAFFIC = Traffic()
HEALTHY_TRAFFIC_BY_NAME = {
    "noise": NORMAL_TRAFFIC,
    "swing": attrs.evolve(NORMAL_TRAFFIC, swing=Swing(0.8, 20.0)),
    "flood": attrs.evolve(
        NORMAL_TRAFFIC, flood=Flood(FAULT_START_S, FAULT_START_S + 60, 8.0)
    ),
    "slow region link": attrs.evolve(NORMAL_TRAFFIC, digest_delay_s=2.0),
}
COMMON_FAULT_BY_NAME = {
    "all 3x slow": Fault(ALL_UPSTREAMS, FAULT_START_S, slow_factor=3),
    "all 10x slow": Fault(ALL_UPSTREAMS, FAULT_START_S, slow_factor=10),
    "all half fail": Fault(ALL_UPSTREAMS, FAULT_START_S, fail_share=0.5),
    "all hang": Fault(ALL_UPSTREAMS, FAULT_START_S, hang_share=1.0),
}


USER_FAULT_NAMES = ("10x slow", "third fails", "third empty", "flaps 8 s", "all hang")
USER_TRAFFIC_NAMES = ("noise", "swing", "flood")


def measure_detection(seeds: range) -> list[Figure]:
    """Return the median and worst time to ejection (s) for each fault and judge."""
    figures = []
    for name, fault in FAULT_BY_NAME.items():
        figures += _detection_figures(
            "detection", name, NORMAL_TRAFFIC, fault, FACTORY_BY_BASELINE, seeds
        )
    return figures


def measure_false_ejections(seeds: range) -> list[Figure]:
    """Return ejections per instance-hour where no upstream should be ejected.

    Nothing should be ejected under healthy traffic, nor where all upstreams have the
    same fault.
    """
    figures = []
    for baseline_name, make_judge in FACTORY_BY_BASELINE.items():
        for name, traffic in HEALTHY_TRAFFIC_BY_NAME.items():
            rate = _false_ejections_per_hour(
                traffic, (), make_judge, seeds, HEALTHY_DURATION_S
            )
            figures.append(_false_ejection_figure("false", name, rate, baseline_name))
        for name, fault in COMMON_FAULT_BY_NAME.items():
            rate = _false_ejections_per_hour(
                NORMAL_TRAFFIC,
                (fault,),
                make_judge,
                seeds,
                FAULT_START_S + OBSERVED_AFTER_FAULT_S,
            )
            figures.append(_false_ejection_figure("false", name, rate, baseline_name))
    return figures


def measure_users(seeds: range) -> list[Figure]:
    """Return time to ejection and false ejections for each user.

    The main measure of the user comes first.
    """
    figures = []
    for user in USERS:
        row_sensitivity = user.parsed_rows()[0].sensitivity
        factory_by_baseline = FACTORY_BY_BASELINE | {
            "": lambda clock, row_sensitivity=row_sensitivity: MeasuredJudge(
                clock, row_sensitivity
            )
        }
        traffic = attrs.evolve(NORMAL_TRAFFIC, loads=user.loads)
        groups = [
            _user_false_ejection_figures(user, traffic, factory_by_baseline, seeds),
            _user_detection_figures(user, traffic, factory_by_baseline, seeds),
        ]
        if user.main_measure is not MainMeasure.FALSE_EJECTIONS:
            groups.reverse()
        figures += [figure for group in groups for figure in group]
    return figures


def _user_detection_figures(
    user: User,
    traffic: Traffic,
    factory_by_baseline: dict[str, JudgeFactory],
    seeds: range,
) -> list[Figure]:
    prefix = f"users | {user.name} | detection"
    return [
        figure
        for name in USER_FAULT_NAMES
        for figure in _detection_figures(
            prefix, name, traffic, FAULT_BY_NAME[name], factory_by_baseline, seeds
        )
    ]


def _user_false_ejection_figures(
    user: User,
    traffic: Traffic,
    factory_by_baseline: dict[str, JudgeFactory],
    seeds: range,
) -> list[Figure]:
    prefix = f"users | {user.name} | false ejections"
    figures = []
    for name in USER_TRAFFIC_NAMES:
        healthy_traffic = HEALTHY_TRAFFIC_BY_NAME[name]
        user_traffic = attrs.evolve(
            traffic, swing=healthy_traffic.swing, flood=healthy_traffic.flood
        )
        for baseline_name, make_judge in factory_by_baseline.items():
            rate = _false_ejections_per_hour(
                user_traffic, (), make_judge, seeds, HEALTHY_DURATION_S
            )
            figures.append(_false_ejection_figure(prefix, name, rate, baseline_name))
    return figures


def _false_ejection_figure(
    prefix: str, name: str, rate: float, baseline_name: str
) -> Figure:
    return Figure(f"{prefix} | {name}", rate, "per hour", baseline=baseline_name)


def _detection_figures(
    prefix: str,
    name: str,
    traffic: Traffic,
    fault: Fault,
    factory_by_baseline: dict[str, JudgeFactory],
    seeds: range,
) -> list[Figure]:
    figures = []
    for baseline_name, make_judge in factory_by_baseline.items():
        times_s = _detection_times_s(fault, make_judge, seeds, traffic)
        for statistic, value in (
            ("median", statistics.median(times_s)),
            ("worst", max(times_s)),
        ):
            figures.append(
                Figure(
                    f"{prefix} | {name} | {statistic}",
                    value,
                    "s",
                    baseline=baseline_name,
                )
            )
    return figures


def measure_curve(seeds: range) -> list[Figure]:
    """Return time to ejection (s) and false ejections per hour for each setting."""
    figures = []
    for sensitivity in SENSITIVITIES:
        name = f"sensitivity {sensitivity:g}"
        make_judge = functools.partial(MeasuredJudge, sensitivity=sensitivity)
        figures += _curve_figures(name, make_judge, seeds)
    for factor in MOVING_AVERAGE_FACTORS:
        name = f"moving average {factor:g}"
        make_judge = functools.partial(MovingAverageJudge, slow_factor=factor)
        figures += _curve_figures(name, make_judge, seeds, baseline="moving average")
    for limit_s in FIXED_THRESHOLDS_S:
        name = f"fixed threshold {limit_s:g} s"
        make_judge = functools.partial(FixedThresholdJudge, latency_limit_s=limit_s)
        figures += _curve_figures(name, make_judge, seeds, baseline="fixed threshold")
    return figures


def _curve_figures(
    name: str, make_judge: JudgeFactory, seeds: range, baseline: str = ""
) -> list[Figure]:
    slow_times_s = _detection_times_s(FAULT_BY_NAME["10x slow"], make_judge, seeds)
    fail_times_s = _detection_times_s(FAULT_BY_NAME["third fails"], make_judge, seeds)
    rate = _false_ejections_per_hour(
        NORMAL_TRAFFIC, (), make_judge, seeds, HEALTHY_DURATION_S
    )
    prefix = f"curve | {name}"
    return [
        Figure(
            f"{prefix} | 10x slow",
            statistics.median(slow_times_s),
            "s",
            baseline=baseline,
        ),
        Figure(
            f"{prefix} | third fails",
            statistics.median(fail_times_s),
            "s",
            baseline=baseline,
        ),
        Figure(f"{prefix} | false ejections", rate, "per hour", baseline=baseline),
    ]


def _detection_times_s(
    fault: Fault,
    make_judge: JudgeFactory,
    seeds: range,
    traffic: Traffic = NORMAL_TRAFFIC,
) -> list[float]:
    """Return the time to ejection for each seed, infinite if there was no ejection."""
    times_s = []
    for seed in seeds:
        measurement = JudgeSimulation(traffic, (fault,), make_judge, seed).measure(
            FAULT_START_S + OBSERVED_AFTER_FAULT_S
        )
        ejected_after_s = measurement.detection_s(fault)
        times_s.append(math.inf if ejected_after_s is None else ejected_after_s)
    return times_s


def _false_ejections_per_hour(
    traffic: Traffic,
    faults: tuple[Fault, ...],
    make_judge: JudgeFactory,
    seeds: range,
    duration_s: float,
) -> float:
    ejections = 0
    hours = 0.0
    for seed in seeds:
        measurement = JudgeSimulation(traffic, faults, make_judge, seed).measure(
            duration_s
        )
        ejections += len(measurement.ejections)
        hours += measurement.instance_hours
    return ejections / hours

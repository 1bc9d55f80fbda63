"""Plots of detection against false ejections, and of the ranks through a flood.

The library that draws is no requirement of the program; everything up to the
drawing works without it.
"""

import importlib.util
from pathlib import Path

import attrs

from chicorychute.bench import ranks
from chicorychute.bench.figures import Figure
from chicorychute.replay.users import USERS

LIBRARY = "matplotlib"
REMEDY = "pip install -r requirements/plots.txt"
IN_FORCE = "in force"
FLOOD_NAMES = ("flood of the least urgent", "flood of the most urgent")
SIZE_INCHES = (8.0, 5.0)


class PlotsError(Exception):
    """The plots can't be drawn."""


@attrs.frozen
class Point:
    """One setting of a judge.

    Attributes
    ----------
    judge : str
        Baseline, or the judge in force.
    """

    judge: str
    setting: str
    detection_s: float
    false_per_hour: float


@attrs.frozen
class Timeline:
    """Share of each rank answered in its target, for each second of a flood."""

    title: str
    variant: str
    target_fractions_by_rank: dict[str, tuple[float, ...]]


def check_library() -> None:
    """Raise an error that names the remedy where the library is missing.

    Raises
    ------
    PlotsError
        If the library can't be found.
    """
    if importlib.util.find_spec(LIBRARY) is None:
        raise PlotsError(f"--plots needs {LIBRARY}: {REMEDY}")


def curve_points(figures: list[Figure], fault: str = "10x slow") -> list[Point]:
    """Return the settings of the curve among the figures of a run."""
    figure_by_name = {figure.name: figure for figure in figures}
    results = []
    for name, figure in figure_by_name.items():
        section, setting, measure_name = (name.split(" | ") + ["", ""])[:3]
        false_ejections = figure_by_name.get(f"curve | {setting} | false ejections")
        if section != "curve" or measure_name != fault or false_ejections is None:
            continue
        judge = figure.baseline or IN_FORCE
        results.append(Point(judge, setting, figure.value, false_ejections.value))
    return results


def play_timelines() -> list[Timeline]:
    """Play the floods for each user, in force and first come."""
    scenario_by_name = {scenario.name: scenario for scenario in ranks.SCENARIOS}
    first_come = next(
        variant for variant in ranks.BASELINES if variant.name == "first come"
    )
    results = []
    for user in USERS:
        demands = ranks.demands_of(user)
        for name in FLOOD_NAMES:
            for variant in (ranks.MIXTURE, first_come):
                measurement = ranks.measure_scenario(
                    variant, scenario_by_name[name], demands=demands
                )
                title = f"{user.name}, {name}"
                fractions = measurement.target_fractions_by_rank
                results.append(Timeline(title, variant.name or IN_FORCE, fractions))
    return results


def draw(figures: list[Figure], folder: Path) -> list[Path]:
    """Write the plots that the figures allow; returns their files.

    Raises
    ------
    PlotsError
        If the library is missing or the folder can't be written.
    """
    check_library()
    import matplotlib

    matplotlib.use("Agg")
    try:
        folder.mkdir(parents=True, exist_ok=True)
        drawn = [_draw_timelines(play_timelines(), folder / "ranks.png")]
        curve = curve_points(figures)
        if curve:
            drawn.append(_draw_curve(curve, folder / "detection.png"))
    except OSError as error:
        problem = f"{folder}: can't be written ({error.strerror})"
        raise PlotsError(f"{problem}: name another folder") from error
    return drawn


def _draw_curve(curve: list[Point], path: Path) -> Path:
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=SIZE_INCHES)
    for judge in dict.fromkeys(point.judge for point in curve):
        judge_points = [point for point in curve if point.judge == judge]
        rates_per_hour = [point.false_per_hour for point in judge_points]
        axes.plot(
            rates_per_hour,
            [point.detection_s for point in judge_points],
            "o-",
            label=judge,
        )
        for point in judge_points:
            position = (point.false_per_hour, point.detection_s)
            axes.annotate(point.setting, position, fontsize="x-small")
    axes.set_xscale("symlog", linthresh=1.0)
    axes.set_xlabel("false ejections per instance-hour")
    axes.set_ylabel("seconds to ejection, 10x slow")
    axes.legend()
    figure.savefig(path)
    pyplot.close(figure)
    return path


def _draw_timelines(timelines: list[Timeline], path: Path) -> Path:
    from matplotlib import pyplot

    width, height = SIZE_INCHES
    figure, grid = pyplot.subplots(
        len(timelines) // 2,
        2,
        figsize=(2 * width, height * len(timelines) / 4),
        sharey=True,
        squeeze=False,
    )
    for axes, timeline in zip(grid.flat, timelines, strict=True):
        for rank, fractions in timeline.target_fractions_by_rank.items():
            axes.plot(range(len(fractions)), fractions, label=rank)
        axes.axvline(ranks.FLOOD_START_S, linestyle=":")
        axes.set_title(f"{timeline.title}: {timeline.variant}")
        axes.set_xlabel("seconds")
        axes.set_ylabel("share answered in target")
        axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
    return path

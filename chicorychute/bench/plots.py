"""Plots of detection against false ejections, and of the ranks during a flood.

The plotting library is an optional requirement, so it is imported only to draw; the
data of the plots is prepared without it.
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
    """The plots could not be drawn."""


@attrs.frozen
class Point:
    """One setting of a judge, with its results.

    Attributes
    ----------
    judge : str
        Name of the baseline, or `IN_FORCE`.
    detection_s : float
        Median time to ejection.
    false_per_hour : float
        False ejections per instance-hour.
    """

    judge: str
    setting: str
    detection_s: float
    false_per_hour: float


@attrs.frozen
class Timeline:
    """Fraction of each rank answered within its target, for each second of arrival."""

    title: str
    variant: str
    target_fractions_by_rank: dict[str, tuple[float, ...]]


def check_library() -> None:
    """Check that the plotting library is installed.

    Raises
    ------
    PlotsError
        If the library is missing; the message names the command that installs it.
    """
    if importlib.util.find_spec(LIBRARY) is None:
        raise PlotsError(f"--plots needs {LIBRARY}, which is not installed: {REMEDY}")


def curve_points(figures: list[Figure], fault: str = "10x slow") -> list[Point]:
    """Return the points of the measurement "curve", with the detection of `fault`."""
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
    """Simulate the floods of each user, in force and with first come, first served."""
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
    """Draw the plots into a folder and return their files.

    The plot of detection is drawn only if the figures contain the curve.

    Raises
    ------
    PlotsError
        If the library is missing or the folder is not writable.
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
        problem = f"{folder}: plots not written ({error.strerror})"
        raise PlotsError(f"{problem}: give another folder") from error
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

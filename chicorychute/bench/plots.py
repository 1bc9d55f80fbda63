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
FLOODS = ("flood of the least urgent", "flood of the most urgent")
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
    way: str
    shares_by_rank: dict[str, tuple[float, ...]]


def check_library() -> None:
    """Raise an error that names the remedy where the library is missing.

    Raises
    ------
    PlotsError
        If the library can't be found.
    """
    if importlib.util.find_spec(LIBRARY) is None:
        raise PlotsError(f"--plots needs {LIBRARY}: {REMEDY}")


def points(figures: list[Figure], fault: str = "10x slow") -> list[Point]:
    """Return the settings of the curve among the figures of a run."""
    figure_by_name = {figure.name: figure for figure in figures}
    found = []
    for name, figure in figure_by_name.items():
        part, setting, what = (name.split(" | ") + ["", ""])[:3]
        other = figure_by_name.get(f"curve | {setting} | false ejections")
        if part != "curve" or what != fault or other is None:
            continue
        judge = figure.baseline or IN_FORCE
        found.append(Point(judge, setting, figure.value, other.value))
    return found


def timelines() -> list[Timeline]:
    """Play the floods for each user, in force and first come."""
    scenario_by_name = {scenario.name: scenario for scenario in ranks.SCENARIOS}
    first_come = next(way for way in ranks.BASELINES if way.name == "first come")
    found = []
    for user in USERS:
        demands = ranks.demands_of(user)
        for name in FLOODS:
            for way in (ranks.MIXTURE, first_come):
                measured = ranks.measure(way, scenario_by_name[name], demands=demands)
                title = f"{user.name}, {name}"
                shares = measured.shares_by_rank
                found.append(Timeline(title, way.name or IN_FORCE, shares))
    return found


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
        drawn = [_draw_ranks(timelines(), folder / "ranks.png")]
        curve = points(figures)
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
        own = [point for point in curve if point.judge == judge]
        false = [point.false_per_hour for point in own]
        axes.plot(false, [point.detection_s for point in own], "o-", label=judge)
        for point in own:
            place = (point.false_per_hour, point.detection_s)
            axes.annotate(point.setting, place, fontsize="x-small")
    axes.set_xscale("symlog", linthresh=1.0)
    axes.set_xlabel("false ejections per instance-hour")
    axes.set_ylabel("seconds to ejection, 10x slow")
    axes.legend()
    figure.savefig(path)
    pyplot.close(figure)
    return path


def _draw_ranks(lines: list[Timeline], path: Path) -> Path:
    from matplotlib import pyplot

    width, height = SIZE_INCHES
    figure, grid = pyplot.subplots(
        len(lines) // 2,
        2,
        figsize=(2 * width, height * len(lines) / 4),
        sharey=True,
        squeeze=False,
    )
    for axes, line in zip(grid.flat, lines, strict=True):
        for rank, shares in line.shares_by_rank.items():
            axes.plot(range(len(shares)), shares, label=rank)
        axes.axvline(ranks.FLOOD_START_S, linestyle=":")
        axes.set_title(f"{line.title}: {line.way}")
        axes.set_xlabel("seconds")
        axes.set_ylabel("share answered in target")
        axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
    return path

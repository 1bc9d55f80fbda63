"""Plots of the benchmarks.

Guards against a missing plotting library that is noticed only after a long
measurement, and against plots that pair or select the wrong figures. The data of the
plots is checked without the library.
"""

import pytest

from chicorychute.bench import plots
from chicorychute.bench.figures import Figure
from chicorychute.core.management import main

FIGURES = [
    Figure("curve | sensitivity 1 | 10x slow", 2.0, "s"),
    Figure("curve | sensitivity 1 | third fails", 2.1, "s"),
    Figure("curve | sensitivity 1 | false ejections", 0.0, "per hour"),
    Figure("curve | factor 4 | 10x slow", 0.4, "s", baseline="moving average"),
    Figure("curve | factor 4 | false ejections", 130.0, "per hour", baseline="moving"),
    Figure("detection | 10x slow | median", 2.0, "s"),
]


def test_missing_library_is_reported_before_anything_is_measured(
    monkeypatch, capsys, tmp_path
):
    monkeypatch.setattr(plots, "LIBRARY", "missing_library")
    arguments = ["bench", "--only", "memory", "--plots", str(tmp_path)]
    assert main(arguments) == 2
    output = capsys.readouterr()
    assert "pip install -r requirements/plots.txt" in output.err
    assert output.out == ""


def test_curve_points_pair_detection_with_false_ejections():
    assert plots.curve_points(FIGURES) == [
        plots.Point("in force", "sensitivity 1", 2.0, 0.0),
        plots.Point("moving average", "factor 4", 0.4, 130.0),
    ]


def test_timelines_show_the_ranks_before_and_during_the_flood():
    timelines = plots.play_timelines()
    in_force = [
        timeline for timeline in timelines if timeline.variant == plots.IN_FORCE
    ]
    assert len(timelines) == 2 * len(in_force) == 8
    for timeline in in_force:
        before, settled = int(plots.ranks.FLOOD_START_S) - 1, -1
        assert all(
            fractions[before] == 1.0
            for fractions in timeline.target_fractions_by_rank.values()
        )
        assert any(
            fractions[settled] < 1.0
            for fractions in timeline.target_fractions_by_rank.values()
        )


def test_plots_are_drawn_if_the_library_is_installed(tmp_path):
    pytest.importorskip(plots.LIBRARY)
    drawn = plots.draw(FIGURES, tmp_path / "plots")
    assert [path.name for path in drawn] == ["ranks.png", "detection.png"]
    assert all(path.stat().st_size for path in drawn)

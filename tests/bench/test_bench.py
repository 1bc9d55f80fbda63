"""Comparison of benchmark figures with an earlier run.

Guards against a regression that passes unnoticed: a worse or missing figure that is
not reported, or a comparison with a damaged file or with another number of seeds.
"""

import json
import shutil
from pathlib import Path

import pytest

from chicorychute.bench import added
from chicorychute.bench.figures import (
    Better,
    Figure,
    FiguresError,
    Results,
    format_table,
    read_json,
    to_json,
)
from chicorychute.core.management import main

TRACES = Path(__file__).parent.parent.parent / "traces"
TRACE = "smriti-ten-times-slow"


@pytest.mark.parametrize(
    "figure, earlier, is_worse",
    [
        (Figure("a", 2.0, "s"), 1.0, True),
        (Figure("a", 1.0, "s"), 2.0, False),
        (Figure("a", 0.0, "s"), 0.0, False),
        (Figure("a", 1.0, "s"), 0.0, True),
        (Figure("a", float("inf"), "s"), 5.0, True),
        (Figure("a", float("inf"), "s"), float("inf"), False),
        (Figure("a", 1.0, "", Better.HIGHER), 2.0, True),
        (Figure("a", 1.5, "", Better.HIGHER, 2.0), 2.0, False),
    ],
)
def test_figure_is_worse_beyond_its_allowed_ratio(figure, earlier, is_worse):
    assert figure.is_worse_than(earlier) is is_worse


def test_baselines_and_figures_without_a_limit_are_never_worse():
    assert not Figure("a", 2.0, "s", baseline="fixed").is_worse_than(1.0)
    assert not Figure("a", 2.0, "us", allowed_ratio=float("inf")).is_worse_than(1.0)


def test_figures_are_unchanged_by_a_json_round_trip():
    figures = [Figure("a", 1.5, "s"), Figure("a", float("inf"), "s", baseline="b")]
    results = read_json(to_json(figures, "0.1.0", 3))
    assert results == Results("0.1.0", 3, {"a": 1.5, "a | b": float("inf")})


def test_table_shows_baselines_on_the_line_of_their_figure():
    figures = [Figure("a", 1.5, "s"), Figure("a", 9.0, "s", baseline="fixed")]
    assert format_table(figures, None) == "a  1.5 s; fixed 9 s"


@pytest.mark.parametrize(
    "text", ["", "[]", "{}", '{"v": 2}', '{"v": 1, "figures": {}}']
)
def test_read_json_rejects_texts_of_another_format(text):
    with pytest.raises(FiguresError):
        read_json(text)


@pytest.fixture
def stored_result(tmp_path):
    """Result file of a trace, and the arguments that measure it again and compare."""
    result = tmp_path / "figures.json"
    for path in TRACES.glob(f"{TRACE}*"):
        shutil.copy(path, tmp_path)
    arguments = ["bench", "--only", "traces", "--traces", str(tmp_path)]
    assert main([*arguments, "--json", str(result)]) == 0
    return result, [*arguments, "--against", str(result)]


def change_figure(result, key_part, change):
    document = json.loads(result.read_text())
    name = next(n for n in document["figures"] if key_part in n)
    document["figures"][name] = change(document["figures"][name])
    result.write_text(json.dumps(document))


@pytest.mark.parametrize(
    "key_part, change, code",
    [
        ("detection", lambda value: value, 0),
        ("detection", lambda value: value * 2, 0),
        ("detection", lambda value: value / 2, 1),
        ("service level", lambda value: value / 2, 0),
        ("service level", lambda value: value * 2, 1),
        ("false ejections | first come", lambda value: value - 1, 0),
    ],
)
def test_command_fails_if_a_figure_is_worse(
    stored_result, capsys, key_part, change, code
):
    result, arguments = stored_result
    change_figure(result, key_part, change)
    capsys.readouterr()
    assert main(arguments) == code
    assert ("WORSE" in capsys.readouterr().out) is bool(code)


def test_command_fails_if_an_earlier_figure_is_missing(stored_result, capsys):
    result, arguments = stored_result
    document = json.loads(result.read_text())
    document["figures"] |= {"traces | lost": 1.0, "ranks | not measured": 1.0}
    result.write_text(json.dumps(document))
    assert main(arguments) == 1
    out = capsys.readouterr().out
    assert "GONE   traces | lost" in out
    assert "not measured" not in out


def test_command_rejects_results_with_another_number_of_seeds(stored_result, capsys):
    _, arguments = stored_result
    assert main([*arguments, "--seeds", "2"]) == 2
    assert "--seeds 3" in capsys.readouterr().err


def test_added_time_without_a_checkout_names_the_remedy(monkeypatch, capsys):
    monkeypatch.setattr(added, "PROGRAM", "missing_package.added")
    assert main(["bench", "--only", "added"]) == 2
    assert "in the folder of a checkout" in capsys.readouterr().err


def test_added_time_is_given_in_ms_and_as_a_ratio_to_a_direct_call():
    direct = {"p50_ms": 2.0, "p99_ms": 4.0, "added_p50_ms": 0.0, "added_p99_ms": 0.0}
    one_hop = {"p50_ms": 3.0, "p99_ms": 6.0, "added_p50_ms": 1.0, "added_p99_ms": 2.0}
    text = json.dumps(
        {"direct": direct, "one hop": one_hop, "/near": {"calls_per_s": 1}}
    )
    value_by_name = {
        figure.name: figure.value for figure in added.read_added_time(text)
    }
    assert value_by_name["added | one hop | p99"] == 2.0
    assert value_by_name["added | one hop | p99 to a direct call"] == 0.5


def test_command_rejects_a_damaged_file(tmp_path):
    path = tmp_path / "figures.json"
    path.write_text("damaged")
    assert main(["bench", "--only", "memory", "--against", str(path)]) == 2

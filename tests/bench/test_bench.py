"""The bench compares its figures and says which are worse."""

import json
from pathlib import Path

import pytest

from chicorychute.bench.figures import Better, Figure, FiguresError, read_json, to_json
from chicorychute.core.management import main

TRACES = str(Path(__file__).parent.parent.parent / "traces")


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
def test_worse(figure, earlier, is_worse):
    assert figure.worse_than(earlier) is is_worse


def test_figures_survive_json():
    figures = [Figure("a", 1.5, "s"), Figure("b", float("inf"), "s")]
    assert read_json(to_json(figures)) == {"a": 1.5, "b": float("inf")}


@pytest.mark.parametrize(
    "text", ["", "[]", "{}", '{"v": 1}', '{"v": 0, "figures": {}}']
)
def test_other_files_are_refused(text):
    with pytest.raises(FiguresError):
        read_json(text)


def test_command_fails_where_a_trace_got_worse(tmp_path, capsys):
    result = tmp_path / "figures.json"
    arguments = ["bench", "--only", "traces", "--traces", TRACES]
    assert main([*arguments, "--json", str(result)]) == 0
    assert main([*arguments, "--against", str(result)]) == 0
    document = json.loads(result.read_text())
    name = next(n for n in document["figures"] if "detection" in n)
    document["figures"][name] /= 2
    result.write_text(json.dumps(document))
    capsys.readouterr()
    assert main([*arguments, "--against", str(result)]) == 1
    assert "WORSE" in capsys.readouterr().out


def test_command_refuses_a_damaged_file(tmp_path):
    path = tmp_path / "figures.json"
    path.write_text("damaged")
    assert main(["bench", "--only", "memory", "--against", str(path)]) == 2

"""Figures of replayed traces, for the decisions in force and for baselines."""

from pathlib import Path

from chicorychute.bench.figures import Better, Figure
from chicorychute.replay import orders
from chicorychute.replay.baselines import FixedThresholdJudge, MovingAverageJudge
from chicorychute.replay.measures import Measures
from chicorychute.replay.outcomes import broken_outcomes, read_outcomes
from chicorychute.replay.player import Decisions, Player
from chicorychute.replay.trace import TracedEvent, read_trace

OUTCOMES_SUFFIX = ".outcomes.json"
DECISIONS_BY_BASELINE = {
    "": Decisions(),
    "first come": Decisions(orders.FIRST_COME),
    "strict": Decisions(orders.STRICT),
    "ranks in turn": Decisions(orders.ROUND_ROBIN),
    "no early refusal": Decisions(orders.LATE_REFUSAL),
    "moving average": Decisions(make_judge=MovingAverageJudge),
    "fixed threshold": Decisions(make_judge=FixedThresholdJudge),
}


def measure_traces(folder: Path) -> list[Figure]:
    """Return the measures of each trace, and the number of its broken outcomes."""
    figures = []
    for path in sorted(folder.glob("*.jsonl")):
        with path.open(encoding="utf-8") as lines:
            events = list(read_trace(lines))
        for baseline, decisions in DECISIONS_BY_BASELINE.items():
            measures = Player(events, decisions).play()
            figures += _measure_figures(path.stem, measures, baseline)
            figures += _broken_outcome_figures(path, measures, events, baseline)
    return figures


def _measure_figures(stem: str, measures: Measures, baseline: str) -> list[Figure]:
    prefix = f"traces | {stem}"
    values = measures.as_json()
    figures = []
    for upstream, detection_s in values["detection_s"].items():
        value = float("inf") if detection_s is None else detection_s
        name = f"{prefix} | detection {upstream}"
        figures.append(Figure(name, value, "s", baseline=baseline))
    count = values["false_ejections"]
    name = f"{prefix} | false ejections"
    figures.append(Figure(name, count, "", baseline=baseline))
    for level_name in ("service_level", "flood_level"):
        for rank, fraction in sorted(values[level_name].items()):
            name = f"{prefix} | {level_name.replace('_', ' ')} {rank}"
            figure = Figure(name, fraction, "", Better.HIGHER, baseline=baseline)
            figures.append(figure)
    return figures


def _broken_outcome_figures(
    path: Path, measures: Measures, events: list[TracedEvent], baseline: str
) -> list[Figure]:
    outcomes_path = path.with_name(path.stem + OUTCOMES_SUFFIX)
    if not outcomes_path.is_file():
        return []
    expected = read_outcomes(outcomes_path.read_text("utf-8"))
    count = len(broken_outcomes(expected, measures, events))
    name = f"traces | {path.stem} | outcomes broken"
    return [Figure(name, count, "", baseline=baseline)]

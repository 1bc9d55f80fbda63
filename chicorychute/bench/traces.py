"""Replay of a folder of traces as figures."""

from pathlib import Path

from chicorychute.bench.figures import Better, Figure
from chicorychute.replay.outcomes import broken_outcomes, read_outcomes
from chicorychute.replay.player import Player
from chicorychute.replay.trace import read_trace

OUTCOMES_SUFFIX = ".outcomes.json"


def measure_traces(folder: Path) -> list[Figure]:
    """Return the measures of each trace, and its outcomes that do not hold."""
    figures = []
    for path in sorted(folder.glob("*.jsonl")):
        with path.open(encoding="utf-8") as lines:
            events = list(read_trace(lines))
        measures = Player(events).play()
        found = measures.as_json()
        prefix = f"trace | {path.stem}"
        for upstream, after_s in found["detection_s"].items():
            value = float("inf") if after_s is None else after_s
            figures.append(Figure(f"{prefix} | detection {upstream}", value, "s"))
        count = found["false_ejections"]
        figures.append(Figure(f"{prefix} | false ejections", count, ""))
        for kind in ("service_level", "flood_level"):
            for rank, share in found[kind].items():
                name = f"{prefix} | {kind.replace('_', ' ')} {rank}"
                figures.append(Figure(name, share, "", Better.HIGHER))
        outcomes = path.with_name(path.stem + OUTCOMES_SUFFIX)
        if outcomes.is_file():
            expected = read_outcomes(outcomes.read_text("utf-8"))
            broken = len(broken_outcomes(expected, measures, events))
            figures.append(Figure(f"{prefix} | outcomes broken", broken, ""))
    return figures

"""Stated outcomes of a trace, and checks of whether a replay meets them."""

import json
import math
from collections.abc import Callable

import attrs

from chicorychute.replay.exceptions import TraceError
from chicorychute.replay.measures import Measures, ServiceLevel
from chicorychute.replay.trace import TracedEvent

REMEDY = (
    'write {"outcomes": [{"measure": "detection_s|false_ejections|service_level|'
    'flood_level", "of": "upstream or rank", "bound": number}]}'
)


@attrs.frozen
class ExpectedOutcome:
    """One stated outcome.

    Attributes
    ----------
    measure : str
        Key of a measure, as in `Measures.as_json`.
    of : str
        Upstream or rank, empty for false ejections.
    bound : float
        Maximum of seconds or ejections, or minimum fraction of the requests.
    """

    measure: str
    of: str
    bound: float

    def __str__(self) -> str:
        sign = "at least" if self.measure in LEVEL_MEASURES else "at most"
        return f"{self.measure} {self.of}".strip() + f" {sign} {self.bound:g}"


@attrs.frozen
class BrokenOutcome:
    """An outcome that did not hold, with the first event that broke it.

    Attributes
    ----------
    found : str
        Measured value, or why there is none.
    """

    expected: ExpectedOutcome
    found: str
    line: int
    at_s: float

    def __str__(self) -> str:
        where = f"line {self.line} at {self.at_s:.3f} s"
        return f"{self.expected}: found {self.found}; first wrong at {where}"


LEVEL_MEASURES = frozenset(("service_level", "flood_level"))


def read_outcomes(text: str) -> list[ExpectedOutcome]:
    """Read stated outcomes from JSON.

    Raises
    ------
    TraceError
        If the text is not a valid list of outcomes.
    """
    try:
        items = json.loads(text)["outcomes"]
        outcomes = [
            ExpectedOutcome(
                item["measure"], str(item.get("of", "")), float(item["bound"])
            )
            for item in items
        ]
    except json.JSONDecodeError as error:
        raise TraceError(error.lineno, "not valid JSON", REMEDY) from error
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        problem = f"malformed outcome ({error.__class__.__name__}: {error})"
        raise TraceError(1, problem, REMEDY) from error
    for outcome in outcomes:
        if outcome.measure not in _CHECK_BY_MEASURE or not math.isfinite(outcome.bound):
            raise TraceError(
                1, f"unknown measure or bound not finite: {outcome}", REMEDY
            )
    return outcomes


def broken_outcomes(
    expected: list[ExpectedOutcome], measures: Measures, events: list[TracedEvent]
) -> list[BrokenOutcome]:
    """Return the outcomes that do not hold."""
    all_broken = []
    for outcome in expected:
        broken = _CHECK_BY_MEASURE[outcome.measure](outcome, measures, events)
        if broken is not None:
            all_broken.append(broken)
    return all_broken


def _check_detection(
    outcome: ExpectedOutcome, measures: Measures, events: list[TracedEvent]
) -> BrokenOutcome | None:
    for detection in measures.detections:
        if detection.upstream != outcome.of:
            continue
        if detection.delay_s is not None and detection.delay_s <= outcome.bound:
            return None
        bound_at_s = detection.sick_at_s + outcome.bound
        first_late = next((e for e in events if e.at_s > bound_at_s), events[-1])
        found = "never" if detection.delay_s is None else f"{detection.delay_s:.3f} s"
        return BrokenOutcome(outcome, found, first_late.line, first_late.at_s)
    return BrokenOutcome(outcome, "no such sick upstream in the trace", 1, 0.0)


def _check_false_ejections(
    outcome: ExpectedOutcome, measures: Measures, events: list[TracedEvent]
) -> BrokenOutcome | None:
    ejections = measures.false_ejections
    if len(ejections) <= outcome.bound:
        return None
    first = ejections[int(outcome.bound)]
    found = f"{len(ejections)} ({first.upstream}: {first.reason})"
    return BrokenOutcome(outcome, found, first.line, first.at_s)


def _check_level(
    outcome: ExpectedOutcome, level: ServiceLevel | None, events: list[TracedEvent]
) -> BrokenOutcome | None:
    if level is None or not level.requests:
        return BrokenOutcome(outcome, "no request of the rank", 1, 0.0)
    if level.met_fraction >= outcome.bound:
        return None
    allowed = int((1 - outcome.bound) * level.requests + 1e-9)
    line = sorted(level.missed_lines)[allowed]
    at_s = next(e.at_s for e in events if e.line == line)
    return BrokenOutcome(outcome, f"{level.met_fraction:.4f}", line, at_s)


_CHECK_BY_MEASURE: dict[str, Callable] = {
    "detection_s": _check_detection,
    "false_ejections": _check_false_ejections,
    "service_level": lambda outcome, measures, events: _check_level(
        outcome, measures.level_by_rank.get(outcome.of), events
    ),
    "flood_level": lambda outcome, measures, events: _check_level(
        outcome, measures.flood_level_by_rank.get(outcome.of), events
    ),
}

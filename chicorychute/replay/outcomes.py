"""Stated outcomes of a trace and whether a replay kept them."""

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
class Expected:
    """One stated outcome.

    Attributes
    ----------
    of : str
        Upstream or rank, empty for false ejections.
    bound : float
        Most seconds or ejections, or least share of the requests.
    """

    measure: str
    of: str
    bound: float

    def __str__(self) -> str:
        sign = "at least" if self.measure in LEVELS else "at most"
        return f"{self.measure} {self.of}".strip() + f" {sign} {self.bound:g}"


@attrs.frozen
class Broken:
    """An outcome that did not hold, with the first event where it went wrong."""

    expected: Expected
    found: str
    line: int
    at_s: float

    def __str__(self) -> str:
        where = f"line {self.line} at {self.at_s:.3f} s"
        return f"{self.expected}: found {self.found}; first wrong at {where}"


LEVELS = frozenset(("service_level", "flood_level"))


def read_outcomes(text: str) -> list[Expected]:
    """Read stated outcomes.

    Raises
    ------
    TraceError
        If the text is not a list of outcomes.
    """
    try:
        stated = json.loads(text)["outcomes"]
        outcomes = [
            Expected(item["measure"], str(item.get("of", "")), float(item["bound"]))
            for item in stated
        ]
    except json.JSONDecodeError as error:
        raise TraceError(error.lineno, "is not JSON", REMEDY) from error
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        problem = f"an outcome is malformed ({error.__class__.__name__}: {error})"
        raise TraceError(1, problem, REMEDY) from error
    for outcome in outcomes:
        if outcome.measure not in _CHECKS or not math.isfinite(outcome.bound):
            raise TraceError(1, f"no such outcome: {outcome}", REMEDY)
    return outcomes


def broken_outcomes(
    expected: list[Expected], measures: Measures, events: list[TracedEvent]
) -> list[Broken]:
    """Return the outcomes that do not hold."""
    found = []
    for outcome in expected:
        broken = _CHECKS[outcome.measure](outcome, measures, events)
        if broken is not None:
            found.append(broken)
    return found


def _check_detection(
    outcome: Expected, measures: Measures, events: list[TracedEvent]
) -> Broken | None:
    for detected in measures.detected:
        if detected.upstream != outcome.of:
            continue
        if detected.after_s is not None and detected.after_s <= outcome.bound:
            return None
        late_s = detected.sick_at_s + outcome.bound
        late = next((e for e in events if e.at_s > late_s), events[-1])
        found = "never" if detected.after_s is None else f"{detected.after_s:.3f} s"
        return Broken(outcome, found, late.line, late.at_s)
    return Broken(outcome, "no such sick upstream in the trace", 1, 0.0)


def _check_false_ejections(
    outcome: Expected, measures: Measures, events: list[TracedEvent]
) -> Broken | None:
    found = measures.false_ejections
    if len(found) <= outcome.bound:
        return None
    first = found[int(outcome.bound)]
    text = f"{len(found)} ({first.upstream}: {first.reason})"
    return Broken(outcome, text, first.line, first.at_s)


def _check_level(
    outcome: Expected, level: ServiceLevel | None, events: list[TracedEvent]
) -> Broken | None:
    if level is None or not level.requests:
        return Broken(outcome, "no request of the rank", 1, 0.0)
    if level.share >= outcome.bound:
        return None
    allowed = int((1 - outcome.bound) * level.requests + 1e-9)
    line = sorted(level.missed_lines)[allowed]
    at_s = next(e.at_s for e in events if e.line == line)
    return Broken(outcome, f"{level.share:.4f}", line, at_s)


_CHECKS: dict[str, Callable] = {
    "detection_s": _check_detection,
    "false_ejections": _check_false_ejections,
    "service_level": lambda outcome, measures, events: _check_level(
        outcome, measures.level_by_rank.get(outcome.of), events
    ),
    "flood_level": lambda outcome, measures, events: _check_level(
        outcome, measures.flood_level_by_rank.get(outcome.of), events
    ),
}

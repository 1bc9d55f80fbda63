"""Figures of a bench run, their JSON form and their comparison."""

import enum
import json
import math

import attrs

FORMAT_VERSION = 1
EXACT = 1.0001  # ratio allowed for figures on a virtual clock
NOISY = 2.0  # ratio allowed for timings on a shared machine


class Better(enum.Enum):
    """Direction in which a figure improves."""

    LOWER = "lower"
    HIGHER = "higher"


@attrs.frozen
class Figure:
    """One measured figure.

    Attributes
    ----------
    value : float
        Infinite where the thing measured never came about.
    allowed : float
        Ratio to an earlier value up to which it counts as no worse.
    """

    name: str
    value: float
    unit: str
    better: Better = Better.LOWER
    allowed: float = EXACT

    def worse_than(self, earlier: float) -> bool:
        """Return whether the figure is worse than an earlier value."""
        if self.better is Better.LOWER:
            return self.value > earlier * self.allowed
        return self.value < earlier / self.allowed


class FiguresError(Exception):
    """A file of figures can't be read."""


def to_json(figures: list[Figure]) -> str:
    """Return the figures as JSON; null stands for what never came about."""
    values = {
        figure.name: figure.value if math.isfinite(figure.value) else None
        for figure in figures
    }
    return json.dumps({"v": FORMAT_VERSION, "figures": values}, indent=1) + "\n"


def read_json(text: str) -> dict[str, float]:
    """Return earlier values by name.

    Raises
    ------
    FiguresError
        If the text is not what `to_json` wrote.
    """
    try:
        document = json.loads(text)
        if document["v"] != FORMAT_VERSION:
            problem = f"version {document['v']} can't be compared"
            raise FiguresError(f"{problem}: write it again with bench --json")
        return {
            name: math.inf if value is None else float(value)
            for name, value in document["figures"].items()
        }
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        problem = f"not a result of the bench ({error.__class__.__name__})"
        raise FiguresError(f"{problem}: name a file that bench --json wrote") from error


def table(figures: list[Figure], earlier: dict[str, float] | None) -> str:
    """Return the figures as lines of a table, beside earlier ones."""
    width = max(len(figure.name) for figure in figures)
    return "\n".join(_line(figure, width, earlier) for figure in figures)


def worse(figures: list[Figure], earlier: dict[str, float]) -> list[Figure]:
    """Return the figures that are worse than an earlier run's."""
    return [f for f in figures if f.name in earlier and f.worse_than(earlier[f.name])]


def _line(figure: Figure, width: int, earlier: dict[str, float] | None) -> str:
    line = f"{figure.name:{width}}  {_number(figure.value):>10} {figure.unit:12}"
    if earlier is None:
        return line.rstrip()
    if figure.name not in earlier:
        return f"{line} new"
    before = earlier[figure.name]
    note = "  WORSE" if figure.worse_than(before) else ""
    return f"{line} before {_number(before):>10}{note}"


def _number(value: float) -> str:
    return f"{value:.4g}" if math.isfinite(value) else "never"

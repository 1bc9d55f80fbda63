"""Figures of a benchmark run, their JSON form and their comparison."""

import enum
import json
import math
from collections.abc import Iterable

import attrs

FORMAT_VERSION = 2
# Allowed ratio of figures that are measured on a virtual clock.
EXACT_RATIO = 1.0001
# Allowed ratio of timings on a shared machine.
NOISY_RATIO = 2.0


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
        Infinite if the measured event never happened, such as an ejection.
    allowed_ratio : float
        Ratio to an earlier value up to which the figure does not count as worse;
        infinite for a figure that is only printed.
    baseline : str
        Name of the simpler or earlier decision that was measured, empty for the
        decision in force. Only figures of the decision in force can be worse.
    """

    name: str
    value: float
    unit: str
    better: Better = Better.LOWER
    allowed_ratio: float = EXACT_RATIO
    baseline: str = ""

    @property
    def key(self) -> str:
        """Key of the figure, unique within a run."""
        return f"{self.name} | {self.baseline}" if self.baseline else self.name

    def is_worse_than(self, earlier: float) -> bool:
        """Return whether the figure is worse than `earlier` by more than allowed."""
        if self.baseline or math.isinf(self.allowed_ratio):
            return False
        if self.better is Better.LOWER:
            return self.value > earlier * self.allowed_ratio
        return self.value < earlier / self.allowed_ratio


class FiguresError(Exception):
    """A text is not a valid result of the benchmarks."""


@attrs.frozen
class Results:
    """Figures of one run, as stored in a result file.

    Attributes
    ----------
    version : str
        Release that was measured.
    seeds : int
        Number of seeds that each figure was measured with. Results with different
        numbers of seeds can't be compared.
    """

    version: str
    seeds: int
    value_by_key: dict[str, float]


def to_json(figures: list[Figure], version: str, seeds: int) -> str:
    """Return the figures as JSON; null stands for an infinite value."""
    values = {
        figure.key: figure.value if math.isfinite(figure.value) else None
        for figure in figures
    }
    document = {"v": FORMAT_VERSION, "version": version, "seeds": seeds}
    return json.dumps(document | {"figures": values}, indent=1) + "\n"


def read_json(text: str) -> Results:
    """Return the results of an earlier run.

    Raises
    ------
    FiguresError
        If the text was not written by `to_json`, or in another format version.
    """
    try:
        document = json.loads(text)
        if document["v"] != FORMAT_VERSION:
            problem = f"format version is {document['v']}, expected {FORMAT_VERSION}"
            raise FiguresError(f"{problem}: measure again with bench --json")
        value_by_key = {
            key: math.inf if value is None else float(value)
            for key, value in document["figures"].items()
        }
        return Results(document["version"], int(document["seeds"]), value_by_key)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        problem = f"not a result file of bench ({error.__class__.__name__})"
        raise FiguresError(f"{problem}: give a file written by bench --json") from error


def format_table(figures: list[Figure], earlier: Results | None) -> str:
    """Return one line for each name: its figure, the earlier value, the baselines."""
    by_name: dict[str, list[Figure]] = {}
    for figure in figures:
        by_name.setdefault(figure.name, []).append(figure)
    width = max(map(len, by_name))
    return "\n".join(
        _format_line(name.ljust(width), group, earlier)
        for name, group in by_name.items()
    )


def find_worse(figures: list[Figure], earlier: Results) -> list[Figure]:
    """Return the figures that are worse than those of the earlier run."""
    earlier_values = earlier.value_by_key
    return [
        f
        for f in figures
        if f.key in earlier_values and f.is_worse_than(earlier_values[f.key])
    ]


def find_missing(
    figures: list[Figure], earlier: Results, measurements: Iterable[str]
) -> list[str]:
    """Return keys of the earlier run that the same measurements no longer give."""
    keys = {figure.key for figure in figures}
    prefixes = tuple(f"{measurement} |" for measurement in measurements)
    return [k for k in earlier.value_by_key if k.startswith(prefixes) and k not in keys]


def _format_line(name: str, group: list[Figure], earlier: Results | None) -> str:
    cells = [_format_cell(figure, earlier) for figure in group]
    return f"{name}  {'; '.join(cells)}"


def _format_cell(figure: Figure, earlier: Results | None) -> str:
    label = f"{figure.baseline} " if figure.baseline else ""
    cell = f"{label}{_format_number(figure.value)} {figure.unit}".rstrip()
    if earlier is None or figure.baseline:
        return cell
    earlier_value = earlier.value_by_key.get(figure.key)
    if earlier_value is None:
        return f"{cell} (new)"
    marker = " WORSE" if figure.is_worse_than(earlier_value) else ""
    return f"{cell} ({earlier.version} {_format_number(earlier_value)}{marker})"


def _format_number(value: float) -> str:
    return f"{value:.4g}" if math.isfinite(value) else "never"

"""Figures of a bench run, their JSON form and their comparison."""

import enum
import json
import math
from collections.abc import Iterable

import attrs

FORMAT_VERSION = 2
EXACT_RATIO = 1.0001  # ratio allowed for figures on a virtual clock
NOISY_RATIO = 2.0  # ratio allowed for timings on a shared machine


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
    allowed_ratio : float
        Ratio to an earlier value up to which it counts as no worse; infinite for a
        figure that is only shown.
    baseline : str
        Name of the plain or earlier decision that was measured, empty for the one
        in force. Only figures of the one in force can be worse.
    """

    name: str
    value: float
    unit: str
    better: Better = Better.LOWER
    allowed_ratio: float = EXACT_RATIO
    baseline: str = ""

    @property
    def key(self) -> str:
        """Name that no other figure of a run has."""
        return f"{self.name} | {self.baseline}" if self.baseline else self.name

    def is_worse_than(self, earlier: float) -> bool:
        """Return whether the figure is worse than an earlier value."""
        if self.baseline or math.isinf(self.allowed_ratio):
            return False
        if self.better is Better.LOWER:
            return self.value > earlier * self.allowed_ratio
        return self.value < earlier / self.allowed_ratio


class FiguresError(Exception):
    """A file of figures can't be read."""


@attrs.frozen
class Results:
    """Figures of one run as a file keeps them.

    Attributes
    ----------
    version : str
        Release that was measured.
    seeds : int
        Runs behind each figure; results of other seeds can't be compared.
    """

    version: str
    seeds: int
    value_by_key: dict[str, float]


def to_json(figures: list[Figure], version: str, seeds: int) -> str:
    """Return the figures as JSON; null stands for what never came about."""
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
        If the text is not what `to_json` wrote.
    """
    try:
        document = json.loads(text)
        if document["v"] != FORMAT_VERSION:
            problem = f"version {document['v']} can't be compared"
            raise FiguresError(f"{problem}: write it again with bench --json")
        value_by_key = {
            key: math.inf if value is None else float(value)
            for key, value in document["figures"].items()
        }
        return Results(document["version"], int(document["seeds"]), value_by_key)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        problem = f"not a result of the bench ({error.__class__.__name__})"
        raise FiguresError(f"{problem}: name a file that bench --json wrote") from error


def format_table(figures: list[Figure], earlier: Results | None) -> str:
    """Return a line for each measure: its figure, baselines, the earlier one."""
    by_name: dict[str, list[Figure]] = {}
    for figure in figures:
        by_name.setdefault(figure.name, []).append(figure)
    width = max(map(len, by_name))
    return "\n".join(
        _format_line(name.ljust(width), group, earlier)
        for name, group in by_name.items()
    )


def find_worse(figures: list[Figure], earlier: Results) -> list[Figure]:
    """Return the figures that are worse than an earlier run's."""
    earlier_values = earlier.value_by_key
    return [
        f
        for f in figures
        if f.key in earlier_values and f.is_worse_than(earlier_values[f.key])
    ]


def find_missing(
    figures: list[Figure], earlier: Results, measurements: Iterable[str]
) -> list[str]:
    """Return the earlier figures of the measured parts that are no longer there."""
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

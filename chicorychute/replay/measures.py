"""The four measures of a replay, each with the events that it was computed from."""

import attrs

SECONDS_PER_HOUR = 3600.0


@attrs.frozen
class Detection:
    """Detection of a sick upstream.

    Attributes
    ----------
    sick_at_s : float
        Time at which the trace states that the upstream is sick.
    delay_s : float or None
        Time from `sick_at_s` until it left rotation, None if it never did.
    """

    upstream: str
    sick_at_s: float
    delay_s: float | None


@attrs.frozen
class FalseEjection:
    """Ejection of a healthy upstream.

    Attributes
    ----------
    line : int
        Line of the last event before the ejection.
    """

    upstream: str
    at_s: float
    line: int
    reason: str


@attrs.define
class ServiceLevel:
    """Requests of one rank, and the lines of those that missed their target."""

    requests: int = 0
    missed_lines: list[int] = attrs.field(factory=list)

    def add(self, line: int, met_target: bool) -> None:
        """Count the request of a line."""
        self.requests += 1
        if not met_target:
            self.missed_lines.append(line)

    @property
    def met_fraction(self) -> float:
        """Fraction of requests answered within their target, 1 if there were none."""
        if not self.requests:
            return 1.0
        return 1 - len(self.missed_lines) / self.requests


@attrs.define
class Measures:
    """Measures of a replay.

    Attributes
    ----------
    flood_level_by_rank : dict
        Like `level_by_rank`, of requests that arrived while a rank was flooding.
    """

    instance_hours: float = 0.0
    detections: list[Detection] = attrs.field(factory=list)
    false_ejections: list[FalseEjection] = attrs.field(factory=list)
    level_by_rank: dict[str, ServiceLevel] = attrs.field(factory=dict)
    flood_level_by_rank: dict[str, ServiceLevel] = attrs.field(factory=dict)

    def as_json(self) -> dict:
        """Return the measures as JSON values."""
        return {
            "instance_hours": round(self.instance_hours, 4),
            "detection_s": {
                d.upstream: None if d.delay_s is None else round(d.delay_s, 3)
                for d in self.detections
            },
            "false_ejections": len(self.false_ejections),
            "service_level": _met_fractions(self.level_by_rank),
            "flood_level": _met_fractions(self.flood_level_by_rank),
        }


def _met_fractions(level_by_rank: dict[str, ServiceLevel]) -> dict[str, float]:
    return {rank: round(level.met_fraction, 4) for rank, level in level_by_rank.items()}

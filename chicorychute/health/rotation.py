"""Ejection of an upstream from rotation and its return."""

from chicorychute.core.messages import Verdict

EJECTION_TIME_S = 3.0
MAX_EJECTION_TIME_S = 60.0
EJECTION_DECAY_S = 120.0  # healthy time after which one ejection no longer counts
RAMP_S = 10.0
RAMP_START_WEIGHT = 0.2
PROBE_WEIGHT = 0.05
MAX_PROBE_WAIT_S = 30.0  # an upstream without traffic returns unproven after it


class Rotation:
    """Verdict on an upstream, and its changes with time alone.

    Each recent ejection doubles the ejection time, up to ``MAX_EJECTION_TIME_S``. An
    upstream that starts cold gets few requests at first, and more as it warms up.
    """

    __slots__ = (
        "verdict",
        "ejections",
        "_recent_ejections",
        "_since_s",
        "_ejection_time_s",
    )

    def __init__(self, now_s: float, cold: bool) -> None:
        self.verdict = Verdict.COLD if cold else Verdict.HEALTHY
        self.ejections = 0
        self._recent_ejections = 0
        self._since_s = now_s
        self._ejection_time_s = 0.0

    def advance(self, now_s: float) -> bool:
        """Change the verdict if its time is over; return whether it changed."""
        if self.verdict is Verdict.COLD and now_s >= self._since_s + RAMP_S:
            self.verdict = Verdict.HEALTHY
            self._since_s = now_s
            return True
        if (
            self.verdict is not Verdict.SICK
            or now_s < self._since_s + self._ejection_time_s
        ):
            return False
        self.verdict = Verdict.PROBING
        self._since_s = now_s
        return True

    def eject(self, now_s: float) -> None:
        """Eject the upstream, for longer after each recent ejection."""
        if self.verdict is Verdict.HEALTHY:
            decayed = int((now_s - self._since_s) / EJECTION_DECAY_S)
            self._recent_ejections = max(self._recent_ejections - decayed, 0)
        self._ejection_time_s = min(
            EJECTION_TIME_S * 2**self._recent_ejections, MAX_EJECTION_TIME_S
        )
        self._recent_ejections += 1
        self.ejections += 1
        self.verdict = Verdict.SICK
        self._since_s = now_s

    def restore(self, now_s: float) -> None:
        """Return the upstream to rotation at a small weight."""
        self.verdict = Verdict.HEALTHY
        self._since_s = now_s

    def is_probe_wait_over(self, now_s: float) -> bool:
        """Return whether probing has waited for traffic as long as it may."""
        return now_s - self._since_s >= MAX_PROBE_WAIT_S

    def is_returning(self, now_s: float) -> bool:
        """Return whether the weight is still rising after an ejection."""
        return (
            self.verdict is Verdict.HEALTHY
            and self.ejections > 0
            and now_s - self._since_s < RAMP_S
        )

    def weight(self, now_s: float) -> float:
        """Return the fraction of the slots to use, 0 to 1."""
        if self.verdict is Verdict.SICK:
            return 0.0
        if self.verdict is Verdict.PROBING:
            return PROBE_WEIGHT
        if self.verdict is not Verdict.COLD and not self.is_returning(now_s):
            return 1.0
        progress = (now_s - self._since_s) / RAMP_S
        return RAMP_START_WEIGHT + (1 - RAMP_START_WEIGHT) * progress

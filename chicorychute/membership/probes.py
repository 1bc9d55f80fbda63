"""Round trips that prove whether an instance lives and the way to it is open.

An instance that does not answer is asked again through helpers. It is accused
only if they got no sign of life either and somebody else was heard meanwhile:
a daemon that hears from nobody is cut off itself.
"""

import enum

import attrs

from chicorychute.core.clock import Clock

PROBE_TIMEOUT_FACTOR = 1 / 3  # of the suspicion period, for each stage


class Stage(enum.Enum):
    """Who was asked for a sign of life."""

    DIRECT = "direct"
    HELPERS = "helpers"


class Finding(enum.Enum):
    """What follows from a probe without an answer."""

    PATH_LOST = "path-lost"
    SILENT = "silent"


@attrs.define
class _Probe:
    stage: Stage
    since_s: float


class Probes:
    """Open probes of one daemon.

    Parameters
    ----------
    suspect_after_s : float
        Suspicion period; direct and indirect probe take a third of it each.
    """

    def __init__(self, suspect_after_s: float, clock: Clock):
        self._timeout_s = suspect_after_s * PROBE_TIMEOUT_FACTOR
        self._clock = clock
        self._probe_by_id: dict[str, _Probe] = {}
        self._last_heard: tuple[str, float] = ("", float("-inf"))
        self._heard_before: tuple[str, float] = ("", float("-inf"))

    def start(self, instance: str) -> None:
        """Note that an instance was asked, unless a question is open."""
        now_s = self._clock.monotonic()
        self._probe_by_id.setdefault(instance, _Probe(Stage.DIRECT, now_s))

    def answered(self, instance: str) -> None:
        """Close the probe of an instance that gave a sign of life."""
        self._probe_by_id.pop(instance, None)

    def showed_life(self, instance: str) -> None:
        """Close the probe of an instance that helpers got a sign of life from."""
        probe = self._probe_by_id.get(instance)
        if probe is not None and probe.stage is Stage.HELPERS:
            del self._probe_by_id[instance]

    def unreachable(self, instance: str) -> None:
        """Note that no message to an instance could be sent."""
        probe = self._probe_by_id.get(instance)
        if probe is not None and probe.stage is Stage.DIRECT:
            probe.since_s = float("-inf")

    def heard(self, instance: str) -> None:
        """Note a message that came from an instance itself."""
        now_s = self._clock.monotonic()
        if self._last_heard[0] != instance:
            self._heard_before = self._last_heard
        self._last_heard = (instance, now_s)

    def forget(self) -> None:
        """Drop every open probe: the own process was paused."""
        self._probe_by_id.clear()

    def due(self) -> list[tuple[str, Finding]]:
        """Move on every probe whose time is over; returns what follows."""
        now_s = self._clock.monotonic()
        findings = []
        for instance, probe in list(self._probe_by_id.items()):
            if now_s - probe.since_s < self._timeout_s:
                continue
            if probe.stage is Stage.DIRECT:
                self._probe_by_id[instance] = _Probe(Stage.HELPERS, now_s)
                findings.append((instance, Finding.PATH_LOST))
                continue
            del self._probe_by_id[instance]
            if self._heard_other_since(instance, probe.since_s):
                findings.append((instance, Finding.SILENT))
        return findings

    def _heard_other_since(self, instance: str, since_s: float) -> bool:
        heard = (self._last_heard, self._heard_before)
        return any(name != instance and at_s >= since_s for name, at_s in heard)


class Askers:
    """Peers that wait for what a probe on their behalf finds.

    Parameters
    ----------
    keep_s : float
        Time after which an answer is of no more use to them.
    """

    def __init__(self, keep_s: float, clock: Clock):
        self._keep_s = keep_s
        self._clock = clock
        self._since_by_asker: dict[tuple[str, str], float] = {}

    def add(self, target: str, asker: str) -> None:
        """Note that `asker` waits for a sign of life of `target`."""
        self._since_by_asker[target, asker] = self._clock.monotonic()

    def take(self, target: str) -> list[str]:
        """Return and forget the askers of a target."""
        askers = [asker for name, asker in self._since_by_asker if name == target]
        for asker in askers:
            del self._since_by_asker[target, asker]
        return askers

    def expire(self) -> None:
        """Forget askers that waited too long."""
        limit_s = self._clock.monotonic() - self._keep_s
        old = [
            key for key, since_s in self._since_by_asker.items() if since_s < limit_s
        ]
        for key in old:
            del self._since_by_asker[key]

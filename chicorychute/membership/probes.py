"""Round trips that prove whether an instance lives and the way to it is open.

An instance that does not answer is asked again through helpers. It is accused
only if they got no sign of life either and somebody else was heard meanwhile:
a daemon that hears from nobody is cut off itself.
"""

import enum

import attrs

from chicorychute.core.clock import Clock

PROBE_TIMEOUT_FRACTION = 1 / 3  # of the suspicion period, for each stage


class ProbeStage(enum.Enum):
    """Who was asked for a sign of life."""

    DIRECT = "direct"
    INDIRECT = "helpers"


class ProbeResult(enum.Enum):
    """What follows from a probe without an answer."""

    PATH_LOST = "path-lost"
    UNRESPONSIVE = "silent"


@attrs.define
class _Probe:
    stage: ProbeStage
    since_s: float


class Probes:
    """Open probes of one daemon.

    Parameters
    ----------
    suspect_after_s : float
        Suspicion period; direct and indirect probe take a third of it each.
    """

    def __init__(self, suspect_after_s: float, clock: Clock):
        self._timeout_s = suspect_after_s * PROBE_TIMEOUT_FRACTION
        self._clock = clock
        self._probe_by_id: dict[str, _Probe] = {}
        self._last_heard: tuple[str, float] = ("", float("-inf"))
        self._last_heard_other: tuple[str, float] = ("", float("-inf"))

    def start(self, instance: str) -> None:
        """Note that an instance was asked, unless a question is open."""
        now_s = self._clock.monotonic()
        self._probe_by_id.setdefault(instance, _Probe(ProbeStage.DIRECT, now_s))

    def record_answer(self, instance: str) -> None:
        """Close the probe of an instance that gave a sign of life."""
        self._probe_by_id.pop(instance, None)

    def record_newer_heartbeat(self, instance: str) -> None:
        """Close the probe of an instance that helpers got a sign of life from."""
        probe = self._probe_by_id.get(instance)
        if probe is not None and probe.stage is ProbeStage.INDIRECT:
            del self._probe_by_id[instance]

    def record_unreachable(self, instance: str) -> None:
        """Note that no message to an instance could be sent."""
        probe = self._probe_by_id.get(instance)
        if probe is not None and probe.stage is ProbeStage.DIRECT:
            probe.since_s = float("-inf")

    def record_message(self, instance: str) -> None:
        """Note a message that came from an instance itself."""
        now_s = self._clock.monotonic()
        if self._last_heard[0] != instance:
            self._last_heard_other = self._last_heard
        self._last_heard = (instance, now_s)

    def reset(self) -> None:
        """Drop every open probe: the own process was paused."""
        self._probe_by_id.clear()

    def check_timeouts(self) -> list[tuple[str, ProbeResult]]:
        """Move on every probe whose time is over; returns what follows."""
        now_s = self._clock.monotonic()
        results = []
        for instance, probe in list(self._probe_by_id.items()):
            if now_s - probe.since_s < self._timeout_s:
                continue
            if probe.stage is ProbeStage.DIRECT:
                self._probe_by_id[instance] = _Probe(ProbeStage.INDIRECT, now_s)
                results.append((instance, ProbeResult.PATH_LOST))
                continue
            del self._probe_by_id[instance]
            if self._heard_other_since(instance, probe.since_s):
                results.append((instance, ProbeResult.UNRESPONSIVE))
        return results

    def _heard_other_since(self, instance: str, since_s: float) -> bool:
        last_heard = (self._last_heard, self._last_heard_other)
        return any(name != instance and at_s >= since_s for name, at_s in last_heard)


class ProbeRequesters:
    """Peers that wait for what a probe on their behalf finds.

    Parameters
    ----------
    keep_s : float
        Time after which an answer is of no more use to them.
    """

    def __init__(self, retention_s: float, clock: Clock):
        self._retention_s = retention_s
        self._clock = clock
        self._since_by_request: dict[tuple[str, str], float] = {}

    def add(self, target: str, requester: str) -> None:
        """Note that `asker` waits for a sign of life of `target`."""
        self._since_by_request[target, requester] = self._clock.monotonic()

    def pop_requesters(self, target: str) -> list[str]:
        """Return and forget the askers of a target."""
        requesters = [
            requester for name, requester in self._since_by_request if name == target
        ]
        for requester in requesters:
            del self._since_by_request[target, requester]
        return requesters

    def expire(self) -> None:
        """Forget askers that waited too long."""
        cutoff_s = self._clock.monotonic() - self._retention_s
        expired = [
            key for key, since_s in self._since_by_request.items() if since_s < cutoff_s
        ]
        for key in expired:
            del self._since_by_request[key]

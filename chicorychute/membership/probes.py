"""Direct and indirect probes of the liveness of an instance and the path to it.

An instance that does not answer a direct probe is probed through helpers. It counts
as unresponsive only if they got no answer either and another instance was heard
meanwhile: a daemon that hears from no other instance is isolated itself.
"""

import enum

import attrs

from chicorychute.core.clock import Clock

# Fraction of the suspicion period that each stage of a probe may take.
PROBE_TIMEOUT_FRACTION = 1 / 3


class ProbeStage(enum.Enum):
    """Whether an instance was probed directly or through helpers."""

    DIRECT = "direct"
    INDIRECT = "helpers"


class ProbeResult(enum.Enum):
    """Conclusion from a stage of a probe that timed out."""

    PATH_LOST = "path-lost"
    UNRESPONSIVE = "silent"


@attrs.define
class _Probe:
    stage: ProbeStage
    since_s: float


class Probes:
    """Probes of one daemon that wait for an answer.

    Parameters
    ----------
    suspect_after_s : float
        Suspicion period in seconds; the direct and the indirect probe may take
        `PROBE_TIMEOUT_FRACTION` of it each.
    """

    def __init__(self, suspect_after_s: float, clock: Clock):
        self._timeout_s = suspect_after_s * PROBE_TIMEOUT_FRACTION
        self._clock = clock
        self._probe_by_id: dict[str, _Probe] = {}
        self._last_heard: tuple[str, float] = ("", float("-inf"))
        self._last_heard_other: tuple[str, float] = ("", float("-inf"))

    def start(self, instance: str) -> None:
        """Open a probe of an instance, unless one is already open."""
        now_s = self._clock.monotonic()
        self._probe_by_id.setdefault(instance, _Probe(ProbeStage.DIRECT, now_s))

    def record_answer(self, instance: str) -> None:
        """Close the probe of an instance that answered."""
        self._probe_by_id.pop(instance, None)

    def record_newer_heartbeat(self, instance: str) -> None:
        """Close an indirect probe: helpers passed on a newer heartbeat."""
        probe = self._probe_by_id.get(instance)
        if probe is not None and probe.stage is ProbeStage.INDIRECT:
            del self._probe_by_id[instance]

    def record_unreachable(self, instance: str) -> None:
        """Let a direct probe time out now: no message to the instance could be sent."""
        probe = self._probe_by_id.get(instance)
        if probe is not None and probe.stage is ProbeStage.DIRECT:
            probe.since_s = float("-inf")

    def record_message(self, instance: str) -> None:
        """Record that a message came from the instance itself."""
        now_s = self._clock.monotonic()
        if self._last_heard[0] != instance:
            self._last_heard_other = self._last_heard
        self._last_heard = (instance, now_s)

    def reset(self) -> None:
        """Drop every open probe, as the own process was paused."""
        self._probe_by_id.clear()

    def check_timeouts(self) -> list[tuple[str, ProbeResult]]:
        """Advance every probe that timed out; returns the conclusions by instance."""
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
        return any(other != instance and at_s >= since_s for other, at_s in last_heard)


class ProbeRequesters:
    """Peers that wait for the result of a probe on their behalf.

    Parameters
    ----------
    retention_s : float
        Time in seconds after which an answer is of no more use to them.
    """

    def __init__(self, retention_s: float, clock: Clock):
        self._retention_s = retention_s
        self._clock = clock
        self._since_by_request: dict[tuple[str, str], float] = {}

    def add(self, target: str, requester: str) -> None:
        """Record that `requester` waits for an answer of `target`."""
        self._since_by_request[target, requester] = self._clock.monotonic()

    def pop_requesters(self, target: str) -> list[str]:
        """Remove and return the requesters of a target."""
        requesters = [
            requester
            for probed, requester in self._since_by_request
            if probed == target
        ]
        for requester in requesters:
            del self._since_by_request[target, requester]
        return requesters

    def expire(self) -> None:
        """Remove requesters that have waited for longer than the retention time."""
        cutoff_s = self._clock.monotonic() - self._retention_s
        expired = [
            key for key, since_s in self._since_by_request.items() if since_s < cutoff_s
        ]
        for key in expired:
            del self._since_by_request[key]

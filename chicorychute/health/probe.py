"""Probes that show an upstream's health while it gets no requests."""

from chicorychute.core.messages import PeerRequest

PROBE_RANK = "probe"
PROBE_TIMEOUT_S = 1.0
PROBE_PERIOD_S = 5.0  # interval between probes of an idle upstream
FAST_PROBE_PERIOD_S = 0.2  # applies to a suspicious or returning upstream


def health_probe_request(service: str, path: str) -> PeerRequest:
    """Return the request that probes an upstream of `service` at `path`."""
    remaining_ms = PROBE_TIMEOUT_S * 1000
    return PeerRequest(
        "GET", path, (), service, PROBE_RANK, "", "", "", 1, remaining_ms
    )

"""Probes that show an upstream's health while it gets no work."""

from chicorychute.core.messages import Work

PROBE_RANK = "probe"
PROBE_TIMEOUT_S = 1.0
PROBE_PERIOD_S = 5.0  # between probes of an idle upstream
FAST_PROBE_PERIOD_S = 0.2  # while there is doubt, or while it is probed for its return


def probe_work(service: str, path: str) -> Work:
    """Return the request of one probe."""
    remaining_ms = PROBE_TIMEOUT_S * 1000
    return Work("GET", path, (), service, PROBE_RANK, "", "", "", 1, remaining_ms)

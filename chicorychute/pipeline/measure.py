"""Filter that counts every request and its latency."""

from chicorychute.core.clock import Clock
from chicorychute.core.outcomes import Outcome
from chicorychute.pipeline.values import (
    Answer,
    Filter,
    Handler,
    Refused,
    Reply,
    Request,
)
from chicorychute.telemetry.requests import RequestStats

SERVER_ERROR = 500
NO_ROW = ""


def measure(stats: RequestStats, clock: Clock) -> Filter:
    """Count the requests of callers; relayed ones are counted at their entry."""

    def make(handler: Handler) -> Handler:
        def run(request: Request) -> Reply:
            reply = handler(request)
            if not request.relayed:
                _count(stats, request, reply, clock.monotonic() - request.received_s)
            return reply

        return run

    return make


def _count(
    stats: RequestStats, request: Request, reply: Reply, latency_s: float
) -> None:
    row = request.row
    service, rank = (NO_ROW, NO_ROW) if row is None else (row.service, row.rank)
    if request.attempt > 1:
        stats.retries.add(service, count=request.attempt - 1)
    match reply:
        case Refused(outcome, reason):
            stats.refusals.add(service, rank, reason.value)
            met_target = None if row is None else False
            stats.add(service, rank, outcome, latency_s, met_target)
        case Answer(status):
            in_time = row is not None and latency_s * 1000 <= row.target_ms
            met_target = in_time and status < SERVER_ERROR
            stats.add(service, rank, Outcome.RAN, latency_s, met_target)

"""Filter that logs one line at the end of each request, with what decided the end."""

from collections.abc import Callable

import structlog

from chicorychute.core.clock import Clock
from chicorychute.pipeline.measure import SERVER_ERROR
from chicorychute.pipeline.values import (
    Answer,
    AttemptRecord,
    Filter,
    Handler,
    Reply,
    Request,
)

logger = structlog.get_logger()


def log_end(clock: Clock, table_version: Callable[[], int]) -> Filter:
    """Log the end of each caller's request, and of each request that a peer relayed."""

    def make(handler: Handler) -> Handler:
        def run(request: Request) -> Reply:
            reply = handler(request)
            elapsed_s = clock.monotonic() - request.received_s
            _log_reply(request, reply, elapsed_s, table_version())
            return reply

        return run

    return make


def _log_reply(request: Request, reply: Reply, elapsed_s: float, version: int) -> None:
    row = request.row
    fields = {
        "id": request.id,
        "service": "" if row is None else row.service,
        "rank": "" if row is None else row.rank,
        "table_version": version,
        "ms": round(elapsed_s * 1000, 1),
        "asked_ms": request.asked_ms,
        "stopped_by": request.stopped_by,
        "tries": [_attempt_fields(record) for record in request.attempt_records],
    }
    if request.scope.caller_left:
        fields["caller_left"] = True
    if isinstance(reply, Answer):
        log = logger.warning if reply.status >= SERVER_ERROR else logger.info
        log("request: answered", status=reply.status, upstream=reply.upstream, **fields)
        return
    logger.warning(
        "request: refused",
        outcome=reply.outcome.value,
        reason=reply.reason.value,
        detail=reply.detail,
        host=request.host,
        target=request.target,
        retry_s=round(reply.retry_s, 2),
        **fields,
    )


def _attempt_fields(record: AttemptRecord) -> dict[str, object]:
    return {
        "upstream": record.upstream,
        "predicted_ms": round(record.predicted_ms, 1),
        "risk": round(record.risk, 2),
        "may_wait": record.may_wait,
        "ms": round(record.elapsed_s * 1000, 1),
        "end": record.end,
    }

"""Filters before dispatch: tracing, route, order of a connection, and deadline."""

from collections.abc import Callable

from chicorychute.core.clock import Clock
from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.pipeline.values import Filter, Handler, Refused, Reply, Request
from chicorychute.table.routes import RouteIndex
from chicorychute.table.rows import Repeat
from chicorychute.telemetry.tracing import Tracing


def trace(tracing: Tracing, name: str) -> Filter:
    """Open a span around the request, and set its traceparent to that span's."""

    def make(handler: Handler) -> Handler:
        def run(request: Request) -> Reply:
            with tracing.span(name, request.traceparent) as traceparent:
                request.traceparent = traceparent
                return handler(request)

        return run

    return make


def route(routes: Callable[[], RouteIndex | None]) -> Filter:
    """Find the row of the request in the table in force."""

    def make(handler: Handler) -> Handler:
        def run(request: Request) -> Reply:
            index = routes()
            if index is None:
                return Refused(Outcome.NOT_RUN, Reason.NO_TABLE)
            request.row = index.find(request.method, request.path, request.host)
            if request.row is None:
                detail = f"no row has a route for {request.method} {request.path}"
                return Refused(Outcome.NOT_RUN, Reason.NO_ROUTE, detail)
            return handler(request)

        return run

    return make


def in_turn(handler: Handler) -> Handler:
    """Run requests of one connection at the same time only if they are repeatable.

    Load pattern: a caller that sends requests ahead. It sends all those again that
    stand behind an answer which closes the connection, so one that must not run twice
    starts only once the earlier ones are answered, and nothing starts ahead of it. A
    request whose caller has left meanwhile is not started.
    """

    def run(request: Request) -> Reply:
        if request.row.repeat is Repeat.IDEMPOTENT:
            request.turn.read_ahead()
        elif not request.turn.wait():
            detail = "an earlier answer closed the connection"
            return Refused(Outcome.NOT_RUN, Reason.CANCELLED, detail)
        if request.scope.cancelled:
            detail = "the caller left before the request was started"
            return Refused(Outcome.NOT_RUN, Reason.CANCELLED, detail)
        return handler(request)

    return run


def deadline(clock: Clock) -> Filter:
    """Set the deadline of the row, or the caller's own if that is sooner."""

    def make(handler: Handler) -> Handler:
        def run(request: Request) -> Reply:
            limit_ms = request.row.deadline_ms
            if request.asked_ms is not None:
                limit_ms = min(limit_ms, request.asked_ms)
            request.deadline_s = request.received_s + limit_ms / 1000
            if clock.monotonic() >= request.deadline_s:
                return Refused(Outcome.NOT_RUN, Reason.DEADLINE)
            return handler(request)

        return run

    return make

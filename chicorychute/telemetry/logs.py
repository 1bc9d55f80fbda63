"""Configuration and rate limits of the log.

Each event is a fixed text that starts with the prefix of its component.
"""

import logging
import sys
import threading

import attrs
import structlog
from structlog.typing import EventDict, Processor

from chicorychute.core.clock import Clock
from chicorychute.telemetry.writer import LineWriter

# Lines of one event within EVENT_PERIOD_S.
MAX_LINES_PER_EVENT = 5
EVENT_PERIOD_S = 10.0
UNLIMITED_PREFIX = "trace: "
REQUEST_PREFIX = "request: "
# About 100 KB/s, above the normal request traffic of an instance.
REQUEST_LINES_PER_S = 200.0
REQUEST_LINE_BURST = 1000.0
# Lines at this level, those of successful requests, are dropped first.
SUCCESS_LEVEL = "info"


@attrs.define
class _EventPeriod:
    start_s: float
    written: int = 0
    dropped: int = 0


class EventLineLimit:
    """Processor that drops the lines of an event that is logged too often.

    The first line of the event in the next period has the field ``repeated``, the
    number of dropped lines. Lines of requests have a limit of their own, and lines
    of traces have none.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._period_by_event: dict[str, _EventPeriod] = {}
        self._request_limit = RequestLineLimit(clock)

    def __call__(self, logger: object, method: str, event: EventDict) -> EventDict:
        """Return the line if it is within its limit.

        Raises
        ------
        structlog.DropEvent
            If the event has reached its limit of lines for this period.
        """
        name = event["event"]
        if name.startswith(UNLIMITED_PREFIX):
            return event
        if name.startswith(REQUEST_PREFIX):
            return self._request_limit(method, event)
        now_s = self._clock.monotonic()
        with self._lock:
            period = self._period_by_event.get(name)
            if period is None or now_s - period.start_s >= EVENT_PERIOD_S:
                if period is not None and period.dropped:
                    event["repeated"] = period.dropped
                period = self._period_by_event[name] = _EventPeriod(now_s)
            if period.written >= MAX_LINES_PER_EVENT:
                period.dropped += 1
                raise structlog.DropEvent
            period.written += 1
        return event


class RequestLineLimit:
    """Token bucket for the lines of requests; half of it is for failed ones only."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._tokens = REQUEST_LINE_BURST
        self._refilled_at_s = clock.monotonic()
        self._dropped = 0

    def __call__(self, method: str, event: EventDict) -> EventDict:
        """Return the line, with the number of lines left out before it.

        Raises
        ------
        structlog.DropEvent
            If the rate limit is exceeded.
        """
        now_s = self._clock.monotonic()
        with self._lock:
            refill = (now_s - self._refilled_at_s) * REQUEST_LINES_PER_S
            self._tokens = min(self._tokens + refill, REQUEST_LINE_BURST)
            self._refilled_at_s = now_s
            reserve = REQUEST_LINE_BURST / 2 if method == SUCCESS_LEVEL else 0.0
            if self._tokens < reserve + 1:
                self._dropped += 1
                raise structlog.DropEvent
            self._tokens -= 1
            dropped, self._dropped = self._dropped, 0
        if dropped:
            event["left_out_before"] = dropped
        return event


def configure_logs(
    form: str, level: str, clock: Clock, instance: str = ""
) -> LineWriter:
    """Log to standard output through a buffer that never blocks the caller.

    Parameters
    ----------
    form : str
        ``json`` or ``text``.
    level : str
        Lowest level that is written.
    instance : str, optional
        Added to each line, so that the logs of several instances can be merged.
    """

    def name_instance(logger: object, method: str, event: EventDict) -> EventDict:
        if instance:
            event["instance"] = instance
        return event

    writer = LineWriter(sys.stdout)
    structlog.configure(
        processors=[
            EventLineLimit(clock),
            structlog.contextvars.merge_contextvars,
            name_instance,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            *_renderers(form),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            getattr(logging, level.upper())
        ),
        logger_factory=lambda *names: writer,
        cache_logger_on_first_use=True,
    )
    return writer


def _renderers(form: str) -> list[Processor]:
    if form == "json":
        return [
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ]
    formatter = structlog.dev.plain_traceback
    return [structlog.dev.ConsoleRenderer(colors=False, exception_formatter=formatter)]

"""Log lines: short sentences with a fixed prefix for each part."""

import logging
import sys
import threading

import attrs
import structlog
from structlog.typing import EventDict, Processor

from chicorychute.core.clock import Clock
from chicorychute.telemetry.writer import LineWriter

FLOOD_LINES = 5  # of one event in a period
FLOOD_PERIOD_S = 10.0
UNLIMITED_PREFIX = "trace: "
REQUEST_PREFIX = "request: "
REQUEST_LINES_PER_S = 200.0  # about 100 KB/s, above the calm traffic of an instance
REQUEST_LINES_SAVED = 1000.0
GOOD_LEVEL = "info"  # lines of requests that went well give way first


@attrs.define
class _Held:
    start_s: float
    written: int = 0
    dropped: int = 0


class FloodLimit:
    """Drops lines of an event that comes too often, and tells how many.

    The first line of the event in the next period carries ``repeated``, the
    number of lines that were dropped.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._held_by_event: dict[str, _Held] = {}
        self._requests = RequestLimit(clock)

    def __call__(self, logger: object, method: str, event: EventDict) -> EventDict:
        """Pass a line on.

        Raises
        ------
        structlog.DropEvent
            If enough lines of its event were written in the period.
        """
        name = event["event"]
        if name.startswith(UNLIMITED_PREFIX):
            return event
        if name.startswith(REQUEST_PREFIX):
            return self._requests(method, event)
        now_s = self._clock.monotonic()
        with self._lock:
            held = self._held_by_event.get(name)
            if held is None or now_s - held.start_s >= FLOOD_PERIOD_S:
                if held is not None and held.dropped:
                    event["repeated"] = held.dropped
                held = self._held_by_event[name] = _Held(now_s)
            if held.written >= FLOOD_LINES:
                held.dropped += 1
                raise structlog.DropEvent
            held.written += 1
        return event


class RequestLimit:
    """Bounds the lines of requests; those of failed ones are kept longest."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._left = REQUEST_LINES_SAVED
        self._filled_s = clock.monotonic()
        self._dropped = 0

    def __call__(self, method: str, event: EventDict) -> EventDict:
        """Pass a line on, with the number of those left out before it.

        Raises
        ------
        structlog.DropEvent
            If there were too many.
        """
        now_s = self._clock.monotonic()
        with self._lock:
            filled = (now_s - self._filled_s) * REQUEST_LINES_PER_S
            self._left = min(self._left + filled, REQUEST_LINES_SAVED)
            self._filled_s = now_s
            reserve = REQUEST_LINES_SAVED / 2 if method == GOOD_LEVEL else 0.0
            if self._left < reserve + 1:
                self._dropped += 1
                raise structlog.DropEvent
            self._left -= 1
            dropped, self._dropped = self._dropped, 0
        if dropped:
            event["left_out_before"] = dropped
        return event


def configure_logs(
    form: str, level: str, clock: Clock, instance: str = ""
) -> LineWriter:
    """Write lines of at least `level` to standard output, and never wait for it.

    Parameters
    ----------
    form : str
        ``json`` or ``text``.
    instance : str, optional
        Named in each line, so that the lines of a fleet can be read together.
    """

    def name_instance(logger: object, method: str, event: EventDict) -> EventDict:
        if instance:
            event["instance"] = instance
        return event

    writer = LineWriter(sys.stdout)
    structlog.configure(
        processors=[
            FloodLimit(clock),
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

"""Log lines: short sentences with a fixed prefix for each part."""

import logging
import sys
import threading

import attrs
import structlog
from structlog.typing import EventDict, Processor

from chicorychute.core.clock import Clock

FLOOD_LINES = 5  # of one event in a period
FLOOD_PERIOD_S = 10.0
UNLIMITED_PREFIX = "trace: "


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


def configure_logs(form: str, level: str, clock: Clock) -> None:
    """Write lines of at least `level` to standard error.

    Parameters
    ----------
    form : str
        ``json`` or ``text``.
    """
    structlog.configure(
        processors=[
            FloodLimit(clock),
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            *_renderers(form),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            getattr(logging, level.upper())
        ),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )


def _renderers(form: str) -> list[Processor]:
    if form == "json":
        return [
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ]
    formatter = structlog.dev.plain_traceback
    return [structlog.dev.ConsoleRenderer(colors=False, exception_formatter=formatter)]

"""Log lines: short sentences with a fixed prefix for each part."""

import logging
import sys

import structlog


def configure_logs(form: str, level: str) -> None:
    """Write lines of at least `level` to standard error.

    Parameters
    ----------
    form : str
        ``json`` or ``text``.
    """
    renderer = (
        structlog.processors.JSONRenderer()
        if form == "json"
        else structlog.dev.ConsoleRenderer(colors=False)
    )
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            getattr(logging, level.upper())
        ),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )

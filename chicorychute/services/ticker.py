"""Calls a function at a steady pace on a thread of its own."""

import threading
from collections.abc import Callable

import structlog

logger = structlog.get_logger()


class Ticker:
    """Thread that runs `work` every `interval_s` seconds until stopped."""

    def __init__(self, name: str, interval_s: float, work: Callable[[], None]):
        self._name = name
        self._interval_s = interval_s
        self._work = work
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Start the thread; the first call comes at once."""
        self._thread.start()

    def stop(self) -> None:
        """Ask the thread to end after the call under way."""
        self._stopped.set()

    def _run(self) -> None:
        while True:
            try:
                self._work()
            except Exception:
                logger.exception("ticker: a round failed", ticker=self._name)
            if self._stopped.wait(self._interval_s):
                return

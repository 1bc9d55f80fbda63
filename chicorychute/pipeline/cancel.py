"""Cancellation of a request while it waits or runs."""

import threading
from collections.abc import Callable


def _nothing() -> None:
    """Stand for a request that has nothing to stop."""


class CancelScope:
    """Carries a caller's cancellation to whatever the request waits for."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._stop: Callable[[], None] = _nothing
        self.cancelled = False

    def bind(self, stop: Callable[[], None]) -> None:
        """Set what a cancellation must stop from now on."""
        with self._lock:
            self._stop = stop
            cancelled = self.cancelled
        if cancelled:
            stop()

    def cancel(self) -> None:
        """Stop the request; further attempts end at once."""
        with self._lock:
            self.cancelled = True
            stop = self._stop
        stop()

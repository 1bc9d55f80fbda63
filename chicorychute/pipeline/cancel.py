"""Cancellation of a request while it waits or runs."""

import threading
from collections.abc import Callable


def _do_nothing() -> None:
    """Stop nothing, as the request does not wait or run yet."""


class CancelScope:
    """Passes a cancellation on to whatever the request waits for.

    Attributes
    ----------
    caller_left : bool
        Whether it was the caller who cancelled.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._stop: Callable[[], None] = _do_nothing
        self.cancelled = False
        self.caller_left = False

    def bind(self, stop: Callable[[], None]) -> None:
        """Set the function that stops the request; call it at once if cancelled."""
        with self._lock:
            self._stop = stop
            cancelled = self.cancelled
        if cancelled:
            stop()

    def cancel(self, caller_left: bool = True) -> None:
        """Stop the request; further attempts end at once."""
        with self._lock:
            self.cancelled = True
            self.caller_left |= caller_left
            stop = self._stop
        stop()

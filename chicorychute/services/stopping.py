"""Signals that ask the daemon to stop, or to read its settings again (SIGHUP)."""

import os
import signal
import threading
from collections.abc import Callable
from types import FrameType

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def _ignore() -> None:
    """Do nothing on a signal."""


def _leave_to_thread(number: int, frame: FrameType | None) -> None:
    """Do nothing: the interpreter has already written the number to the pipe."""


class StopSignals:
    """Handles signals on a dedicated thread.

    A handler in Python runs only on the main thread. It may interrupt that thread
    while it holds the lock of the event that it waits on, which deadlocks if the
    handler sets the event. It also never runs if the system delivers the signal to
    another thread, since nothing then wakes the main one. So the interpreter writes
    the signal's number to a pipe, whichever thread got the signal, and the dedicated
    thread reads it.

    Parameters
    ----------
    on_stop : callable
        Called for each signal that asks to stop, one call after the other.
    on_reload : callable, optional
        Called for each SIGHUP.
    """

    def __init__(
        self,
        on_stop: Callable[[], None],
        on_reload: Callable[[], None] = _ignore,
    ):
        self._on_stop = on_stop
        self._on_reload = on_reload
        self._read_fd, self._write_fd = os.pipe()
        os.set_blocking(self._write_fd, False)
        self._thread = threading.Thread(
            target=self._deliver, name="signals", daemon=True
        )

    def listen(self) -> None:
        """Start the thread and install the handlers; call from the main thread."""
        self.start()
        signal.set_wakeup_fd(self._write_fd)
        for number in (*STOP_SIGNALS, signal.SIGHUP):
            signal.signal(number, _leave_to_thread)

    def start(self) -> None:
        """Start the thread that handles signals."""
        self._thread.start()

    def enqueue(self, number: int) -> None:
        """Write a signal's number to the pipe, as the interpreter does."""
        os.write(self._write_fd, bytes([number]))

    def _deliver(self) -> None:
        while data := os.read(self._read_fd, 1):
            is_reload = data[0] == signal.SIGHUP
            (self._on_reload if is_reload else self._on_stop)()

"""Signals that ask the daemon to stop, or to read its settings again."""

import os
import signal
import threading
from collections.abc import Callable
from types import FrameType

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def _ignore() -> None:
    """Do nothing with a signal."""


def _leave_to_the_thread(number: int, frame: FrameType | None) -> None:
    """Do nothing: the interpreter has written the number to the pipe already."""


class StopSignals:
    """Passes each signal to a thread of its own.

    A handler in Python runs on the main thread alone. It may interrupt that thread
    while it holds the lock of an event that it waits on, and it never runs where the
    system gave the signal to another thread, as nothing then wakes the main one. So
    the interpreter writes the number to a pipe from whatever thread got the signal,
    and one thread reads it.

    Parameters
    ----------
    on_signal : callable
        Called for each signal that asks to stop, one after the other.
    on_reload : callable, optional
        Called for each SIGHUP.
    """

    def __init__(
        self,
        on_signal: Callable[[], None],
        on_reload: Callable[[], None] = _ignore,
    ):
        self._on_signal = on_signal
        self._on_reload = on_reload
        self._reads, self._writes = os.pipe()
        os.set_blocking(self._writes, False)
        self._thread = threading.Thread(
            target=self._deliver, name="signals", daemon=True
        )

    def listen(self) -> None:
        """Start the thread and install the handlers; call from the main thread."""
        self.start()
        signal.set_wakeup_fd(self._writes)
        for number in (*STOP_SIGNALS, signal.SIGHUP):
            signal.signal(number, _leave_to_the_thread)

    def start(self) -> None:
        """Start the thread that acts on signals."""
        self._thread.start()

    def note(self, number: int) -> None:
        """Note a signal, as the interpreter does."""
        os.write(self._writes, bytes([number]))

    def _deliver(self) -> None:
        while numbers := os.read(self._reads, 1):
            reloads = numbers[0] == signal.SIGHUP
            (self._on_reload if reloads else self._on_signal)()

"""Signals that ask the daemon to stop, or to read its settings again."""

import queue
import signal
import threading
from collections.abc import Callable
from types import FrameType

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def _ignore() -> None:
    """Do nothing with a signal."""


class StopSignals:
    """Passes each signal to a thread of its own.

    A signal handler interrupts the main thread wherever it is, also while it holds
    the lock of an event that it waits on. So the handler only puts the signal into a
    queue whose `put` is reentrant, and another thread acts on it.

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
        self._numbers: queue.SimpleQueue[int] = queue.SimpleQueue()
        self._thread = threading.Thread(
            target=self._deliver, name="signals", daemon=True
        )

    def listen(self) -> None:
        """Start the thread and install the handlers; call from the main thread."""
        self.start()
        for number in (*STOP_SIGNALS, signal.SIGHUP):
            signal.signal(number, self.handle)

    def start(self) -> None:
        """Start the thread that acts on signals."""
        self._thread.start()

    def handle(self, number: int, frame: FrameType | None) -> None:
        """Note a signal; may run at any point of the main thread."""
        self._numbers.put(number)

    def _deliver(self) -> None:
        while True:
            reloads = self._numbers.get() == signal.SIGHUP
            (self._on_reload if reloads else self._on_signal)()

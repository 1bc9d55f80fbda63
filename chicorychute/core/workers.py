"""Threads that run what a gate has granted."""

import queue
import threading
from collections.abc import Callable

import structlog

logger = structlog.get_logger()

Run = Callable[[], None]


class WorkerPool:
    """Starts threads as they are needed, up to `most`, and keeps them.

    Leaner than the executor of the standard library, which builds a future for
    each call and keeps the exception that a call raised to itself.

    Parameters
    ----------
    name : str
        Prefix of the threads' names.
    """

    def __init__(self, name: str, most: int):
        self._name = name
        self._most = most
        self._lock = threading.Lock()
        self._idle = 0
        self._backlog = 0
        self._started = 0
        self._runs: queue.SimpleQueue[Run] = queue.SimpleQueue()

    @property
    def started(self) -> int:
        """Threads started so far."""
        return self._started

    def submit(self, run: Run) -> None:
        """Run `run` on an idle thread, a new one, or the next to be idle."""
        with self._lock:
            if self._idle:
                self._idle -= 1
            elif self._started < self._most:
                self._start()
            else:
                self._backlog += 1
        self._runs.put(run)

    def _start(self) -> None:
        self._started += 1
        name = f"{self._name}-{self._started}"
        threading.Thread(target=self._work, name=name, daemon=True).start()

    def _work(self) -> None:
        while True:
            run = self._runs.get()
            try:
                run()
            except Exception:
                logger.exception("workers: a run failed", pool=self._name)
            with self._lock:
                if self._backlog:
                    self._backlog -= 1
                else:
                    self._idle += 1

"""Threads that run what a gate has granted."""

import queue
import threading
from collections.abc import Callable

import structlog

logger = structlog.get_logger()

Task = Callable[[], None]


class WorkerPool:
    """Starts threads as they are needed, up to `max_threads`, and keeps them.

    Leaner than the executor of the standard library, which builds a future for
    each call and keeps the exception that a call raised to itself.

    Parameters
    ----------
    name : str
        Prefix of the threads' names.
    """

    def __init__(self, name: str, max_threads: int):
        self._name = name
        self._max_threads = max_threads
        self._lock = threading.Lock()
        self._idle_count = 0
        self._backlog_count = 0
        self._started = 0
        self._tasks: queue.SimpleQueue[Task] = queue.SimpleQueue()

    @property
    def started(self) -> int:
        """Threads started so far."""
        return self._started

    def submit(self, task: Task) -> None:
        """Run `task` on an idle thread, a new one, or the next to be idle."""
        with self._lock:
            if self._idle_count:
                self._idle_count -= 1
            elif self._started < self._max_threads:
                self._start_thread()
            else:
                self._backlog_count += 1
        self._tasks.put(task)

    def _start_thread(self) -> None:
        self._started += 1
        name = f"{self._name}-{self._started}"
        threading.Thread(target=self._run_tasks, name=name, daemon=True).start()

    def _run_tasks(self) -> None:
        while True:
            task = self._tasks.get()
            try:
                task()
            except Exception:
                logger.exception("workers: a run failed", pool=self._name)
            with self._lock:
                if self._backlog_count:
                    self._backlog_count -= 1
                else:
                    self._idle_count += 1

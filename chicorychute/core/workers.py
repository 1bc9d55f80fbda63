"""Pool of threads that run submitted tasks."""

import queue
import threading
from collections.abc import Callable

import structlog

logger = structlog.get_logger()

Task = Callable[[], None]


class WorkerPool:
    """Pool that starts threads on demand, up to `max_threads`, and keeps them.

    Costs less than the executor of the standard library, which builds a future
    for each call and stores the exception of a call there instead of logging it.

    Parameters
    ----------
    name : str
        Prefix of the threads' names.
    max_threads : int
        Number of threads at which further tasks wait for an idle one.
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
        """Number of threads started so far."""
        return self._started

    def submit(self, task: Task) -> None:
        """Run `task` on an idle thread, a new one, or the next that becomes idle."""
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
                logger.exception("workers: a task raised an exception", pool=self._name)
            with self._lock:
                if self._backlog_count:
                    self._backlog_count -= 1
                else:
                    self._idle_count += 1

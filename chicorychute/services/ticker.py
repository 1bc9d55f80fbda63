"""Calls functions at regular intervals on a dedicated thread."""

import threading
from collections.abc import Callable, Iterable

import attrs
import structlog

from chicorychute.core.clock import Clock

# The first request after an idle time may wait this long for what only a task notices.
IDLE_PAUSE_S = 0.25

logger = structlog.get_logger()


@attrs.define
class Task:
    """Function to call every `interval_s` seconds.

    Attributes
    ----------
    pause_s : callable, optional
        Returns the time until the next call, in seconds, for a function that knows
        when it is due. The interval is then the shortest pause.
    due_s : float
        Time of the next call on the ticker's clock, in seconds.
    """

    name: str
    interval_s: float
    function: Callable[[], object]
    pause_s: Callable[[], float] | None = None
    due_s: float = 0.0

    def run(self, clock: Clock) -> None:
        """Call the function and schedule the next call."""
        try:
            self.function()
        except Exception:
            logger.exception("ticker: a task failed", task=self.name)
        pause_s = self.interval_s if self.pause_s is None else self.pause_s()
        self.due_s = clock.monotonic() + max(pause_s, self.interval_s)


class Ticker:
    """Thread that calls each of its tasks when it is due, until stopped.

    A wake-up of the thread costs more than most tasks do. So a task that is due
    within half of the shortest interval is called in the same wake-up, and an idle
    daemon wakes less often.

    Parameters
    ----------
    is_idle : callable, optional
        Returns whether nothing is in progress that the tasks watch.
    """

    def __init__(
        self,
        name: str,
        tasks: Iterable[Task],
        clock: Clock,
        is_idle: Callable[[], bool] = lambda: False,
    ):
        self._tasks = tuple(tasks)
        self._clock = clock
        self._slack_s = min(task.interval_s for task in self._tasks) / 2
        self._is_idle = is_idle
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Start the thread; every task is called at once."""
        self._thread.start()

    def stop(self) -> None:
        """Ask the thread to end after the tasks that are due now."""
        self._stopped.set()

    def run_due_tasks(self) -> float:
        """Call every task that is due; returns the seconds until the next one."""
        latest_s = self._clock.monotonic() + self._slack_s
        for task in self._tasks:
            if task.due_s <= latest_s:
                task.run(self._clock)
        due_s = min(task.due_s for task in self._tasks)
        pause_s = max(0.0, due_s - self._clock.monotonic())
        return max(pause_s, IDLE_PAUSE_S) if self._is_idle() else pause_s

    def _run(self) -> None:
        while not self._stopped.wait(self.run_due_tasks()):
            pass

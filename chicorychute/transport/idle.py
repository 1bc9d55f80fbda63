"""Order in which the idle threads of a server get work."""

import queue
import threading


class _LastWaits(threading.Condition):
    """Condition that wakes the thread which began to wait last."""

    def notify(self, n: int = 1) -> None:
        """Wake `n` threads."""
        for _ in range(n):
            self._waiters.rotate(1)
            super().notify()


def wake_last_idle(jobs: queue.Queue) -> None:
    """Give each job to the thread that had one last, before any waits on `jobs`.

    A queue wakes the thread that has waited longest, so that each of some hundred
    threads has a turn, on memory that no processor has at hand any more.
    """
    jobs.not_empty = _LastWaits(jobs.mutex)

"""Filter that keeps server threads available to every priority."""

import threading

from chicorychute.admission.permits import PriorityPermits
from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.pipeline.values import Handler, Refused, Reply, Request
from chicorychute.table.rows import Table

# Fraction of the threads without a permit, so that refusals are answered at once.
SPARE_FRACTION = 0.125
FULL_DETAIL = "this priority holds all the threads that it may have here"


class ServerPermits:
    """Thread-safe permits for the threads of one server or pool.

    Parameters
    ----------
    threads : int
        Number of threads that answer requests.
    """

    def __init__(self, threads: int):
        self._permits = PriorityPermits(max(1, int(threads * (1 - SPARE_FRACTION))))
        self._lock = threading.Lock()

    def apply(self, table: Table) -> None:
        """Apply the priorities of a new table."""
        with self._lock:
            self._permits.configure({row.priority for row in table.rows})

    def acquire(self, priority: int) -> bool:
        """Acquire a permit; returns False if the priority may have no more."""
        with self._lock:
            return self._permits.acquire(priority)

    def release(self, priority: int) -> None:
        """Release a permit."""
        with self._lock:
            self._permits.release(priority)

    def filter(self, handler: Handler) -> Handler:
        """Refuse a request whose priority occupies all threads that it may use."""

        def run(request: Request) -> Reply:
            priority = request.row.priority
            if request.relayed:
                return handler(request)
            if not self.acquire(priority):
                return Refused(Outcome.NOT_RUN, Reason.OVERLOAD, FULL_DETAIL)
            try:
                return handler(request)
            finally:
                self.release(priority)

        return run

"""Filter that holds requests while a daemon that has just started learns its state.

Load pattern: many daemons start again at the same moment, with traffic running. Callers
connect as soon as a daemon listens, some tenths of a second before it knows the table
and the list of upstreams. Refused at once, all of them would come back together or be
lost; held that long, they are served.
"""

import threading
from collections.abc import Callable

from chicorychute.core.clock import Clock
from chicorychute.pipeline.values import Handler, Reply, Request

# Two reads of the platform by the readers of a zone, and their relay. A daemon that
# knows nothing by then may have to wait for long, and refuses requests at once.
STARTUP_HOLD_S = 1.0


class StartupHold:
    """Holds requests until the daemon can route them, or for a limited time.

    Parameters
    ----------
    can_route : callable
        Returns whether the table and the list of upstreams are known.
    clock : Clock
        Gives the start of the daemon, which is the time of construction.
    """

    def __init__(self, can_route: Callable[[], bool], clock: Clock):
        self._can_route = can_route
        self._clock = clock
        self._ends_s = clock.monotonic() + STARTUP_HOLD_S
        self._has_ended = threading.Event()

    def update(self) -> None:
        """Let the held requests go if they can be routed now."""
        if not self._has_ended.is_set() and self._can_route():
            self._has_ended.set()

    def filter(self, handler: Handler) -> Handler:
        """Hold a request, but not beyond the time that its caller waits."""

        def run(request: Request) -> Reply:
            if not self._has_ended.is_set():
                self._has_ended.wait(self._remaining_s(request))
            return handler(request)

        return run

    def _remaining_s(self, request: Request) -> float:
        ends_s = self._ends_s
        if request.asked_ms is not None:
            ends_s = min(ends_s, request.received_s + request.asked_ms / 1000)
        return max(0.0, ends_s - self._clock.monotonic())

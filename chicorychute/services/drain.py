"""Takes a daemon out of service without aborting a request."""

import threading
import time
from collections.abc import Callable

import structlog

from chicorychute.core.clock import Clock
from chicorychute.core.messages import Forward, Refusal
from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.pipeline.leaving import DrainState, Stage
from chicorychute.services.fleet import FleetService
from chicorychute.services.gate import GateService
from chicorychute.services.senders import Senders
from chicorychute.transport.links import Link

# Peers are notified within this time, and callers see their connections closed.
SETTLE_S = 1.0
QUIET_S = 0.5
POLL_S = 0.05
# Covers a round trip to the farthest gate, and the answer to the caller.
WITHDRAWAL_WAIT_S = 0.3

logger = structlog.get_logger()


class DrainService:
    """Graceful stop: notify peers, settle, refuse new requests, wait, log the result.

    Parameters
    ----------
    limit_s : float
        Maximum wait for requests in flight, in seconds from the start of the drain.
    orders_running : callable
        Returns whether an order still runs, even if its caller no longer waits.
    settle_s : float
        Time for which new requests are still accepted, in seconds.
    """

    def __init__(
        self,
        leaving: DrainState,
        fleet: FleetService,
        gate: GateService,
        senders: Senders,
        limit_s: float,
        clock: Clock,
        orders_running: Callable[[], bool] = lambda: False,
        settle_s: float = SETTLE_S,
    ):
        self._settle_s = settle_s
        self._leaving = leaving
        self._fleet = fleet
        self._gate = gate
        self._senders = senders
        self._limit_s = limit_s
        self._clock = clock
        self._orders_running = orders_running
        self._lock = threading.Lock()
        self._aborted = threading.Event()

    def leave(self) -> None:
        """Notify every peer at once; the daemon continues to answer requests."""
        with self._lock:
            if not self._leaving.is_serving():
                return
            self._leaving.stage = Stage.LEAVING
        logger.info("daemon: leaving")
        self._fleet.leave()

    def abort(self) -> None:
        """Stop waiting for requests in flight."""
        self._aborted.set()

    def run(self) -> bool:
        """Leave, and return once nothing is in flight or the time limit has passed.

        Returns
        -------
        bool
            Whether no request was aborted.
        """
        end_s = self._clock.monotonic() + self._limit_s
        self._leaving.stops_at_s = end_s
        self.leave()
        self._aborted.wait(min(self._settle_s, self._limit_s))
        self._leaving.stage = Stage.CLOSING
        while not self._is_drained() and self._clock.monotonic() < end_s:
            if self._aborted.wait(POLL_S):
                break
        self._withdraw_waiting()
        return self._log_result()

    def _withdraw_waiting(self) -> None:
        """Withdraw requests that still wait, and allow time to send their refusals."""
        if not self._leaving.in_flight:
            return
        self._leaving.cancel_requests()
        end_s = self._clock.monotonic() + WITHDRAWAL_WAIT_S
        while self._leaving.in_flight and self._clock.monotonic() < end_s:
            time.sleep(POLL_S / 5)

    def on_forward(self, link: Link, call: Forward) -> bool:
        """Refuse a peer's request if the daemon is closing; returns whether it did."""
        if self._leaving.stage is not Stage.CLOSING:
            return False
        refusal = Refusal(call.id, Outcome.NOT_RUN, Reason.LEAVING, "")
        self._senders.refuse(link, refusal)
        return True

    def _is_drained(self) -> bool:
        quiet = self._leaving.quiet_s() >= QUIET_S
        return self._gate.idle() and quiet and not self._orders_running()

    def _log_result(self) -> bool:
        digests = self._gate.digests()
        running = sum(digest.in_flight for digest in digests)
        waiting = sum(digest.queued for digest in digests)
        unanswered = self._leaving.in_flight
        if not (running or waiting or unanswered):
            return True
        logger.warning(
            "daemon: requests were aborted",
            by="a second signal" if self._aborted.is_set() else "the drain limit",
            answering=unanswered,
            running=running,
            waiting=waiting,
        )
        return False

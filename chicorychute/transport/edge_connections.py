"""Callers' connections while no thread serves them.

One thread watches them all. It receives bytes without blocking and dispatches a
connection to a serving thread once the request is complete, so a slow sender costs
a socket and the bytes that it sent, but no thread.
"""

import contextlib
import os
import selectors
import threading

from cheroot.connections import ConnectionManager
from cheroot.wsgi import Server

from chicorychute.core.clock import Clock
from chicorychute.core.outcomes import Reason
from chicorychute.core.workers import WorkerPool
from chicorychute.transport.dialect import Dialect

# Limit of waiting connections; above it the one that has waited longest is evicted.
MAX_CONNECTIONS = 4096
# Limit for the requests that no thread serves yet, of all connections together.
MAX_BUFFERED_BYTES = 64 << 20
RECEIVE_BYTES = 64 << 10
EXPIRY_INTERVAL_S = 0.2
# Limits for reading on after a refusal, so that the sender gets it before the close.
LINGER_S = 1.0
LINGER_BYTES = 4 << 20
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class BufferedBytes:
    """Count of the buffered bytes of requests that no thread serves yet."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.total = 0

    def update(self, conn, byte_count: int) -> None:
        """Replace the number of bytes counted for a connection."""
        with self._lock:
            self.total += byte_count - conn.counted_bytes
            conn.counted_bytes = byte_count


class EdgeConnections(ConnectionManager):
    """Receives requests on the connections that no thread serves."""

    def __init__(self, server: "EdgeHttpServer"):
        super().__init__(server)
        self._clock = server.clock

    def put(self, conn) -> None:
        """Wait for the next request on a connection that has been answered."""
        conn.waiting_since_s = self._clock.monotonic()
        # The next request may have arrived together with the last one.
        if conn.intake.feed(b""):
            self._dispatch(conn)
        else:
            self._update_buffered(conn)
            self._watch(conn)

    def linger(self, conn) -> None:
        """Receive and discard what a refused sender still sends."""
        conn.waiting_since_s = self._clock.monotonic()
        self._watch(conn)

    def _watch(self, conn) -> None:
        self._selector.register(conn.socket.fileno(), selectors.EVENT_READ, conn)

    def _is_watched(self, fd: int, conn) -> bool:
        """Return whether a connection is still registered.

        Handling one event of a batch may evict the connection of a later one.
        """
        try:
            return self._selector._selector.get_key(fd).data is conn
        except KeyError:
            return False

    def _run(self, expiration_interval: float) -> None:
        next_expiry_s = self._clock.monotonic() + expiration_interval
        while not self._stop_requested:
            for fd, conn in self._selector.select(timeout=expiration_interval):
                if conn is self.server:
                    self._accept()
                elif self._is_watched(fd, conn) and not self._receive(conn):
                    self._selector.unregister(fd)
                    self._dispatch_or_close(conn)
            if self._clock.monotonic() >= next_expiry_s:
                self._expire(self._clock.monotonic())
                next_expiry_s = self._clock.monotonic() + expiration_interval

    def _accept(self) -> None:
        if self._num_connections >= MAX_CONNECTIONS:
            self._evict(max(self._waiting_connections(), key=self._age))
        try:
            conn = self._from_server_socket(self.server.socket)
        except OSError:
            # Out of file descriptors: evict one, and accept on the next event.
            waiting = self._waiting_connections()
            if not waiting:
                raise
            self._evict(max(waiting, key=self._age))
            return
        if conn is None:
            return
        conn.waiting_since_s = self._clock.monotonic()
        if self._receive(conn):
            self._watch(conn)
        else:
            self._dispatch_or_close(conn)

    def _receive(self, conn) -> bool:
        """Receive available bytes; return whether the connection still waits."""
        try:
            # Unlike socket.recv this never waits, whatever the socket's timeout.
            data = os.read(conn.socket.fileno(), RECEIVE_BYTES)
        except BlockingIOError:
            return True
        except OSError:
            conn.closes_unanswered = True
            return False
        if conn.is_lingering:
            conn.discarded_bytes += len(data)
            return bool(data) and conn.discarded_bytes < LINGER_BYTES
        return self._feed(conn, data)

    def _feed(self, conn, data: bytes) -> bool:
        intake = conn.intake
        if not data:
            conn.closes_unanswered = intake.is_empty
            intake.feed_eof()
            return False
        conn.last_received_s = self._clock.monotonic()
        if intake.is_empty:
            conn.waiting_since_s = conn.last_received_s
        still_waits = not intake.feed(data)
        self._update_buffered(conn)
        if still_waits and intake.expects_continue:
            intake.expects_continue = False
            with contextlib.suppress(OSError):
                os.write(conn.socket.fileno(), CONTINUE)
        if self.server.buffered_bytes.total > self.server.max_buffered_bytes:
            return self._free_memory(conn) and still_waits
        return still_waits

    def _free_memory(self, conn) -> bool:
        """Abort the request with the most bytes times age; return if `conn` is kept."""
        senders = [*self._waiting_connections(), conn]
        victim = max(
            senders, key=lambda c: c.counted_bytes * (self._age(c) + EXPIRY_INTERVAL_S)
        )
        if victim is conn:
            self._abort(conn, Reason.OVERLOAD)
            return False
        self._selector.unregister(victim.socket.fileno())
        self._abort(victim, Reason.OVERLOAD)
        self._dispatch_or_close(victim)
        return True

    def _dispatch_or_close(self, conn) -> None:
        if conn.closes_unanswered or conn.is_lingering:
            conn.close()
        else:
            self._dispatch(conn)

    def _dispatch(self, conn) -> None:
        self._update_buffered(conn)
        self.server.requests.put(conn)

    def _update_buffered(self, conn) -> None:
        self.server.buffered_bytes.update(conn, conn.intake.buffered_bytes)

    def _abort(self, conn, reason: Reason) -> None:
        conn.abort_reason = reason
        conn.intake.abort()
        self._update_buffered(conn)

    def _evict(self, conn) -> None:
        """Stop waiting for a connection; refuse its request if one has begun."""
        self._selector.unregister(conn.socket.fileno())
        conn.closes_unanswered = conn.intake.is_empty
        self._abort(conn, Reason.OVERLOAD)
        self._dispatch_or_close(conn)

    def _waiting_connections(self) -> list:
        return [c for _, c in self._selector.connections if c is not self.server]

    def _age(self, conn) -> float:
        return self._clock.monotonic() - conn.waiting_since_s

    def _expire(self, threshold: float) -> None:
        """Stop waiting for the connections whose deadline is before `threshold`.

        Parameters
        ----------
        threshold : float
            Current time, in seconds of the monotonic clock.
        """
        for conn in self._waiting_connections():
            if threshold > self._wait_deadline_s(conn):
                self._selector.unregister(conn.socket.fileno())
                conn.closes_unanswered = conn.intake.is_empty
                if not conn.closes_unanswered and not conn.is_lingering:
                    self._abort(conn, Reason.SLOW_REQUEST)
                self._dispatch_or_close(conn)

    def _wait_deadline_s(self, conn) -> float:
        """Return the time until which a connection may wait if nothing more arrives."""
        if conn.is_lingering:
            return conn.waiting_since_s + LINGER_S
        if conn.intake.is_empty:
            return conn.waiting_since_s + self.server.timeout
        idle_deadline_s = conn.last_received_s + self.server.timeout
        return min(conn.waiting_since_s + self.server.read_limit_s, idle_deadline_s)


class EdgeWorkers:
    """Serves connections whose request is complete, on threads started as needed.

    Replaces the HTTP server's thread pool, which starts all of its threads at once.
    """

    def __init__(self, server: "EdgeHttpServer", max_workers: int):
        self._server = server
        self._pool = WorkerPool("edge", max_workers)
        # The HTTP server reads these two for its statistics.
        self.idle = 0
        self.qsize = 0

    def start(self) -> None:
        """Do nothing: threads are started as requests arrive."""

    def put(self, conn) -> None:
        """Serve the request of a connection."""
        self._pool.submit(lambda: self._serve(conn))

    def stop(self, timeout: float = 0) -> None:
        """Do nothing: the threads end with the process."""

    def _serve(self, conn) -> None:
        keep_open = False
        try:
            keep_open = conn.communicate()
        except ConnectionError as error:
            self._server.error_log(
                f"connection lost while a request was served ({error})"
            )
        finally:
            if keep_open:
                self._server.put_conn(conn)
            else:
                conn.close()


class EdgeHttpServer(Server):
    """HTTP server whose threads get only complete requests."""

    clock: Clock
    dialect: Dialect
    read_limit_s: float
    max_buffered_bytes = MAX_BUFFERED_BYTES
    expiration_interval = EXPIRY_INTERVAL_S
    keep_alive_conn_limit = None
    max_threads = 10

    def prepare(self) -> None:
        """Start to listen, and set up threads and connections."""
        self.buffered_bytes = BufferedBytes()
        self.requests = EdgeWorkers(self, self.max_threads)
        super().prepare()
        self._connections.close()
        self._connections = EdgeConnections(self)

    def linger(self, conn) -> None:
        """Discard what a refused sender still sends for a while, then close."""
        self._connections.linger(conn)

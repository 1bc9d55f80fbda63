"""Callers' connections while they wait for requests.

One thread watches them all. It receives bytes without blocking and hands a request to
a serving thread once it is complete, so a slow sender costs a socket and the bytes
that it sent, but no thread.
"""

import contextlib
import math
import os
import selectors
import socket
import threading

from cheroot.connections import ConnectionManager
from cheroot.wsgi import Server

from chicorychute.core.clock import Clock
from chicorychute.core.outcomes import Reason
from chicorychute.core.workers import WorkerPool
from chicorychute.transport.dialect import Dialect
from chicorychute.transport.edge_exchange import EdgeConnection, EdgeExchange

# Limit of waiting connections; above it the one that has waited longest is evicted.
MAX_CONNECTIONS = 4096
# Limit for the requests that no thread serves yet, of all connections together.
MAX_BUFFERED_BYTES = 64 << 20
RECEIVE_BYTES = 64 << 10
EXPIRY_INTERVAL_S = 0.2
# Requests of one connection that may be in flight at a time. Each holds a thread.
MAX_REQUESTS_IN_FLIGHT = 8
# Limits for reading on after the last answer, so that the caller gets it before the
# close.
LINGER_S = 1.0
LINGER_BYTES = 4 << 20
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class BufferedBytes:
    """Count of the buffered bytes of requests that no thread serves yet."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.total = 0

    def update(self, conn, byte_count: int) -> None:
        """Replace the number of bytes counted for a connection or an exchange."""
        with self._lock:
            self.total += byte_count - conn.counted_bytes
            conn.counted_bytes = byte_count


class EdgeConnections(ConnectionManager):
    """Receives the requests of all connections, also ahead of the answers.

    One party at a time may read from a connection: this thread, or the thread of a
    request once it is known where the next one begins. Sockets are closed by whoever
    is the last to use them.
    """

    def __init__(self, server: "EdgeHttpServer"):
        super().__init__(server)
        self._clock = server.clock

    def read_ahead(self, exchange: EdgeExchange) -> None:
        """Wait for the next request while this one is served, within the limit."""
        conn = exchange.connection
        if not exchange.is_framed or exchange.has_read_ahead or not self.server.ready:
            return
        if conn.order.pending < MAX_REQUESTS_IN_FLIGHT:
            exchange.has_read_ahead = True
            self._read_next(conn)

    def end(self, exchange: EdgeExchange, keeps_open: bool) -> None:
        """Record the end of an answer; read on, or close the connection."""
        conn = exchange.connection
        keeps_open = keeps_open and self.server.ready
        if conn.order.end(exchange.turn, keeps_open):
            self._begin_close(conn, exchange.needs_linger)
        elif keeps_open and not exchange.has_read_ahead:
            self._read_next(conn)
        elif keeps_open and not conn.order.pending:
            conn.waiting_since_s = self._clock.monotonic()
            self._send_continue(conn)
        self._close_if_unused(conn)

    def _read_next(self, conn: EdgeConnection) -> None:
        """Wait for the next request; it may have arrived together with the last one."""
        if not self._begin_reading(conn):
            return
        if conn.is_closing:
            # An earlier answer has closed the connection meanwhile.
            self._stop_or_linger(conn)
            return
        conn.waiting_since_s = self._clock.monotonic()
        if conn.intake.feed(b""):
            self._dispatch(conn)
        else:
            self._update_buffered(conn)
            self._send_continue(conn)
            self._watch(conn)

    def _stop_or_linger(self, conn: EdgeConnection) -> None:
        """End reading, or go on with it to discard what still comes."""
        if conn.is_lingering:
            self._watch(conn)
        else:
            self._end_reading(conn)

    def _begin_reading(self, conn: EdgeConnection) -> bool:
        with conn.lock:
            if conn.is_read or conn.is_closed:
                return False
            conn.is_read = True
        return True

    def _end_reading(self, conn: EdgeConnection) -> None:
        with conn.lock:
            conn.is_read = False
        self._close_if_unused(conn)

    def _begin_close(self, conn: EdgeConnection, needs_linger: bool) -> None:
        """Close a connection after an answer, once nothing uses it any more.

        A close with unread input would reset the connection, so that its sender may
        lose the answer.
        """
        conn.is_closing = True
        if conn.closes_with_reset or not (needs_linger and self.server.ready):
            if conn.is_read:
                # Wakes up the thread that waits for input; sends nothing to the caller.
                _shut_down(conn, socket.SHUT_RD)
            return
        conn.waiting_since_s = self._clock.monotonic()
        conn.is_lingering = True
        _shut_down(conn, socket.SHUT_WR)
        if self._begin_reading(conn):
            self._watch(conn)

    def _close_if_unused(self, conn: EdgeConnection) -> None:
        with conn.lock:
            in_use = conn.is_read or conn.order.pending
            if conn.is_closed or not conn.is_closing or in_use:
                return
            conn.is_closed = True
        conn.close()

    def close(self) -> None:
        """Close every connection, those with a request in flight after its answer."""
        for conn in self._waiting_connections():
            conn.is_closing = True
            self._end_reading(conn)
        self._selector.close()

    def _watch(self, conn: EdgeConnection) -> None:
        self._selector.register(conn.socket.fileno(), selectors.EVENT_READ, conn)

    def _is_watched(self, fd: int, conn: EdgeConnection) -> bool:
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
            self._evict_longest_waiting()
        try:
            conn = self._from_server_socket(self.server.socket)
        except OSError:
            # Out of file descriptors: evict one, and accept on the next event.
            if not self._evict_longest_waiting():
                raise
            return
        if conn is None:
            return
        conn.waiting_since_s = self._clock.monotonic()
        conn.is_read = True
        if self._receive(conn):
            self._watch(conn)
        else:
            self._dispatch_or_close(conn)

    def _receive(self, conn: EdgeConnection) -> bool:
        """Receive available bytes; return whether the connection still waits."""
        if conn.is_closing and not conn.is_lingering:
            return False
        try:
            # Unlike socket.recv this never waits, whatever the socket's timeout.
            data = os.read(conn.socket.fileno(), RECEIVE_BYTES)
        except BlockingIOError:
            return True
        except OSError:
            conn.is_closing = True
            return False
        if conn.is_lingering:
            conn.discarded_bytes += len(data)
            return bool(data) and conn.discarded_bytes < LINGER_BYTES
        return self._feed(conn, data)

    def _feed(self, conn: EdgeConnection, data: bytes) -> bool:
        intake = conn.intake
        if not data:
            conn.is_closing = intake.is_empty
            intake.feed_eof()
            return False
        conn.last_received_s = self._clock.monotonic()
        if intake.is_empty:
            conn.waiting_since_s = conn.last_received_s
        still_waits = not intake.feed(data)
        self._update_buffered(conn)
        if still_waits:
            self._send_continue(conn)
        if self.server.buffered_bytes.total > self.server.max_buffered_bytes:
            return self._free_memory(conn) and still_waits
        return still_waits

    def _send_continue(self, conn: EdgeConnection) -> None:
        """Ask for a body that the caller holds back, after all earlier answers."""
        with conn.lock:
            if not conn.intake.expects_continue or conn.order.pending:
                return
            conn.intake.expects_continue = False
        with contextlib.suppress(OSError):
            os.write(conn.socket.fileno(), CONTINUE)

    def _free_memory(self, conn: EdgeConnection) -> bool:
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

    def _dispatch_or_close(self, conn: EdgeConnection) -> None:
        if conn.is_closing:
            self._end_reading(conn)
        else:
            self._dispatch(conn)

    def _dispatch(self, conn: EdgeConnection) -> None:
        """Hand the request that has arrived to a serving thread."""
        exchange = conn.pop_exchange()
        self._update_buffered(conn)
        if exchange is not None:
            self._end_reading(conn)
            self.server.requests.put(exchange)
        else:
            # An answer that closes the connection is sent, or on its way.
            conn.is_lingering |= not conn.is_closing
            self._stop_or_linger(conn)

    def _update_buffered(self, conn: EdgeConnection) -> None:
        self.server.buffered_bytes.update(conn, conn.intake.buffered_bytes)

    def _abort(self, conn: EdgeConnection, reason: Reason) -> None:
        conn.abort_reason = reason
        conn.intake.abort()
        self._update_buffered(conn)

    def _evict_longest_waiting(self) -> bool:
        """Evict a connection with no request in flight; return False if none is."""
        waiting = [c for c in self._waiting_connections() if not c.order.pending]
        if not waiting:
            return False
        self._evict(max(waiting, key=self._age))
        return True

    def _evict(self, conn: EdgeConnection) -> None:
        """Stop waiting for a connection; refuse its request if one has begun."""
        self._selector.unregister(conn.socket.fileno())
        conn.is_closing |= conn.intake.is_empty
        self._abort(conn, Reason.OVERLOAD)
        self._dispatch_or_close(conn)

    def _waiting_connections(self) -> list[EdgeConnection]:
        return [c for _, c in self._selector.connections if c is not self.server]

    def _age(self, conn: EdgeConnection) -> float:
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
                conn.is_closing |= conn.intake.is_empty
                if not conn.is_closing:
                    self._abort(conn, Reason.SLOW_REQUEST)
                self._dispatch_or_close(conn)

    def _wait_deadline_s(self, conn: EdgeConnection) -> float:
        """Return the time until which a connection may wait if nothing more arrives."""
        if conn.is_lingering:
            return conn.waiting_since_s + LINGER_S
        if conn.order.pending and conn.intake.is_empty:
            return math.inf
        if conn.intake.is_empty:
            return conn.waiting_since_s + self.server.timeout
        idle_deadline_s = conn.last_received_s + self.server.timeout
        return min(conn.waiting_since_s + self.server.read_limit_s, idle_deadline_s)


def _shut_down(conn: EdgeConnection, direction: int) -> None:
    """Shut down one direction; a caller that has reset the connection needs none."""
    with contextlib.suppress(OSError):
        conn.socket.shutdown(direction)


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

    def put(self, exchange: EdgeExchange) -> None:
        """Serve a request."""
        self._pool.submit(lambda: self._serve(exchange))

    def stop(self, timeout: float = 0) -> None:
        """Do nothing: the threads end with the process."""

    def _serve(self, exchange: EdgeExchange) -> None:
        keeps_open = False
        try:
            keeps_open = exchange.communicate()
        except ConnectionError as error:
            self._server.error_log(
                f"connection lost while a request was served ({error})"
            )
        finally:
            self._server.end(exchange, keeps_open)


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

    def read_ahead(self, exchange: EdgeExchange) -> None:
        """Wait for the next request of a connection while this one is served."""
        self._connections.read_ahead(exchange)

    def end(self, exchange: EdgeExchange, keeps_open: bool) -> None:
        """Record the end of an answer."""
        self._connections.end(exchange, keeps_open)

"""Callers' connections while no thread serves them.

One thread watches them all. It receives the bytes of a request without waiting,
and hands the connection to a serving thread once the whole request is there, so a
slow sender costs a socket and the bytes that it sent, and no thread.
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

MAX_CONNECTIONS = 4096  # that wait; above it the one that waits longest goes
MAX_BUFFERED_BYTES = 64 << 20  # of requests that no thread has taken
RECEIVE_BYTES = 64 << 10
EXPIRY_INTERVAL_S = 0.2
LINGER_S = 1.0  # a refused sender is heard out, so that the refusal arrives
LINGER_BYTES = 4 << 20
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class BufferedBytes:
    """Count of the bytes of requests that no thread has taken."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.total = 0

    def update(self, conn, byte_count: int) -> None:
        """Count `byte_count` bytes for a connection, in place of what was counted."""
        with self._lock:
            self.total += byte_count - conn.counted_bytes
            conn.counted_bytes = byte_count


class EdgeConnections(ConnectionManager):
    """Receives the requests of connections that wait."""

    def __init__(self, server: "EdgeHttpServer"):
        super().__init__(server)
        self._clock = server.clock

    def put(self, conn) -> None:
        """Take a connection back after an answer."""
        conn.waiting_since_s = self._clock.monotonic()
        if conn.intake.feed(b""):  # the next request came with the last one
            self._dispatch(conn)
        else:
            self._update_buffered(conn)
            self._watch(conn)

    def linger(self, conn) -> None:
        """Take a connection whose sender was refused."""
        conn.waiting_since_s = self._clock.monotonic()
        self._watch(conn)

    def _watch(self, conn) -> None:
        self._selector.register(conn.socket.fileno(), selectors.EVENT_READ, conn)

    def _is_watched(self, fd: int, conn) -> bool:
        """Return whether a connection still waits: one event may end another's wait."""
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
        except OSError:  # no more files: make room, and take it the next time
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
        """Receive what is there; return whether the connection goes on waiting."""
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
        """Cut off who held most for longest; return whether `conn` is another."""
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
        """End the wait of a connection, with a refusal if a request had begun."""
        self._selector.unregister(conn.socket.fileno())
        conn.closes_unanswered = conn.intake.is_empty
        self._abort(conn, Reason.OVERLOAD)
        self._dispatch_or_close(conn)

    def _waiting_connections(self) -> list:
        return [c for _, c in self._selector.connections if c is not self.server]

    def _age(self, conn) -> float:
        return self._clock.monotonic() - conn.waiting_since_s

    def _expire(self, threshold: float) -> None:
        """End what has waited too long at the time `threshold`."""
        for conn in self._waiting_connections():
            if threshold > self._wait_deadline_s(conn):
                self._selector.unregister(conn.socket.fileno())
                conn.closes_unanswered = conn.intake.is_empty
                if not conn.closes_unanswered and not conn.is_lingering:
                    self._abort(conn, Reason.SLOW_REQUEST)
                self._dispatch_or_close(conn)

    def _wait_deadline_s(self, conn) -> float:
        """Return until when a connection may wait as it is."""
        if conn.is_lingering:
            return conn.waiting_since_s + LINGER_S
        if conn.intake.is_empty:
            return conn.waiting_since_s + self.server.timeout
        idle_deadline_s = conn.last_received_s + self.server.timeout
        return min(conn.waiting_since_s + self.server.read_limit_s, idle_deadline_s)


class EdgeWorkers:
    """Serves connections whose request has arrived, on threads started as needed.

    Stands for the thread pool of the HTTP server, which starts all of its threads
    at once.
    """

    def __init__(self, server: "EdgeHttpServer", max_workers: int):
        self._server = server
        self._pool = WorkerPool("edge", max_workers)
        self.idle = 0  # asked by the server for its statistics
        self.qsize = 0

    def start(self) -> None:
        """Do nothing: threads start with the requests."""

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
            self._server.error_log(f"connection lost ({error})")
        finally:
            if keep_open:
                self._server.put_conn(conn)
            else:
                conn.close()


class EdgeHttpServer(Server):
    """HTTP server whose threads get whole requests only."""

    clock: Clock
    dialect: Dialect
    read_limit_s: float
    max_buffered_bytes = MAX_BUFFERED_BYTES
    expiration_interval = EXPIRY_INTERVAL_S
    keep_alive_conn_limit = None
    max_threads = 10

    def prepare(self) -> None:
        """Listen, and start the threads."""
        self.buffered_bytes = BufferedBytes()
        self.requests = EdgeWorkers(self, self.max_threads)
        super().prepare()
        self._connections.close()
        self._connections = EdgeConnections(self)

    def linger(self, conn) -> None:
        """Hear a refused sender out for a while, then close."""
        self._connections.linger(conn)

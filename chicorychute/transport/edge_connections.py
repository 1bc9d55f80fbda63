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
MAX_HELD_BYTES = 64 << 20  # of requests that no thread has taken
RECEIVE_BYTES = 64 << 10
TICK_S = 0.2
LINGER_S = 1.0  # a refused sender is heard out, so that the refusal arrives
LINGER_BYTES = 4 << 20
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class HeldBytes:
    """Count of the bytes of requests that no thread has taken."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.total = 0

    def charge(self, conn, held: int) -> None:
        """Count `held` bytes for a connection, in place of what was counted."""
        with self._lock:
            self.total += held - conn.charged
            conn.charged = held


class EdgeConnections(ConnectionManager):
    """Receives the requests of connections that wait."""

    def __init__(self, server: "EdgeHttpServer"):
        super().__init__(server)
        self._clock = server.clock

    def put(self, conn) -> None:
        """Take a connection back after an answer."""
        conn.since_s = self._clock.monotonic()
        if conn.intake.feed(b""):  # the next request came with the last one
            self._hand_over(conn)
        else:
            self._charge(conn)
            self._watch(conn)

    def linger(self, conn) -> None:
        """Take a connection whose sender was refused."""
        conn.since_s = self._clock.monotonic()
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
        next_s = self._clock.monotonic() + expiration_interval
        while not self._stop_requested:
            for fd, conn in self._selector.select(timeout=expiration_interval):
                if conn is self.server:
                    self._accept()
                elif self._is_watched(fd, conn) and not self._receive(conn):
                    self._selector.unregister(fd)
                    self._pass_on(conn)
            if self._clock.monotonic() >= next_s:
                self._expire(self._clock.monotonic())
                next_s = self._clock.monotonic() + expiration_interval

    def _accept(self) -> None:
        if self._num_connections >= MAX_CONNECTIONS:
            self._drop(max(self._waiting(), key=self._age))
        try:
            conn = self._from_server_socket(self.server.socket)
        except OSError:  # no more files: make room, and take it the next time
            waiting = self._waiting()
            if not waiting:
                raise
            self._drop(max(waiting, key=self._age))
            return
        if conn is None:
            return
        conn.since_s = self._clock.monotonic()
        if self._receive(conn):
            self._watch(conn)
        else:
            self._pass_on(conn)

    def _receive(self, conn) -> bool:
        """Receive what is there; return whether the connection goes on waiting."""
        try:
            # Unlike socket.recv this never waits, whatever the socket's timeout.
            data = os.read(conn.socket.fileno(), RECEIVE_BYTES)
        except BlockingIOError:
            return True
        except OSError:
            conn.gone = True
            return False
        if conn.lingers:
            conn.discarded += len(data)
            return bool(data) and conn.discarded < LINGER_BYTES
        return self._take_in(conn, data)

    def _take_in(self, conn, data: bytes) -> bool:
        intake = conn.intake
        if not data:
            conn.gone = intake.empty
            intake.end()
            return False
        conn.heard_s = self._clock.monotonic()
        if intake.empty:
            conn.since_s = conn.heard_s
        waits = not intake.feed(data)
        self._charge(conn)
        if waits and intake.expects_continue:
            intake.expects_continue = False
            with contextlib.suppress(OSError):
                os.write(conn.socket.fileno(), CONTINUE)
        if self.server.held.total > self.server.max_held_bytes:
            return self._save_memory(conn) and waits
        return waits

    def _save_memory(self, conn) -> bool:
        """Cut off who held most for longest; return whether `conn` is another."""
        senders = [*self._waiting(), conn]
        worst = max(senders, key=lambda c: c.charged * (self._age(c) + TICK_S))
        if worst is conn:
            self._cut(conn, Reason.OVERLOAD)
            return False
        self._selector.unregister(worst.socket.fileno())
        self._cut(worst, Reason.OVERLOAD)
        self._pass_on(worst)
        return True

    def _pass_on(self, conn) -> None:
        if conn.gone or conn.lingers:
            conn.close()
        else:
            self._hand_over(conn)

    def _hand_over(self, conn) -> None:
        self._charge(conn)
        self.server.requests.put(conn)

    def _charge(self, conn) -> None:
        self.server.held.charge(conn, conn.intake.held)

    def _cut(self, conn, reason: Reason) -> None:
        conn.cut = reason
        conn.intake.cut()
        self._charge(conn)

    def _drop(self, conn) -> None:
        """End the wait of a connection, with a refusal if a request had begun."""
        self._selector.unregister(conn.socket.fileno())
        conn.gone = conn.intake.empty
        self._cut(conn, Reason.OVERLOAD)
        self._pass_on(conn)

    def _waiting(self) -> list:
        return [c for _, c in self._selector.connections if c is not self.server]

    def _age(self, conn) -> float:
        return self._clock.monotonic() - conn.since_s

    def _expire(self, threshold: float) -> None:
        """End what has waited too long at the time `threshold`."""
        for conn in self._waiting():
            if threshold > self._end_s(conn):
                self._selector.unregister(conn.socket.fileno())
                conn.gone = conn.intake.empty
                if not conn.gone and not conn.lingers:
                    self._cut(conn, Reason.SLOW_REQUEST)
                self._pass_on(conn)

    def _end_s(self, conn) -> float:
        """Return until when a connection may wait as it is."""
        if conn.lingers:
            return conn.since_s + LINGER_S
        if conn.intake.empty:
            return conn.since_s + self.server.timeout
        silence_end_s = conn.heard_s + self.server.timeout
        return min(conn.since_s + self.server.read_limit_s, silence_end_s)


class EdgeWorkers:
    """Serves connections whose request has arrived, on threads started as needed.

    Stands for the thread pool of the HTTP server, which starts all of its threads
    at once.
    """

    def __init__(self, server: "EdgeHttpServer", most: int):
        self._server = server
        self._pool = WorkerPool("edge", most)
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
        keeps = False
        try:
            keeps = conn.communicate()
        except ConnectionError as error:
            self._server.error_log(f"connection lost ({error})")
        finally:
            if keeps:
                self._server.put_conn(conn)
            else:
                conn.close()


class EdgeHttpServer(Server):
    """HTTP server whose threads get whole requests only."""

    clock: Clock
    dialect: Dialect
    read_limit_s: float
    max_held_bytes = MAX_HELD_BYTES
    expiration_interval = TICK_S
    keep_alive_conn_limit = None
    most_threads = 10

    def prepare(self) -> None:
        """Listen, and start the threads."""
        self.held = HeldBytes()
        self.requests = EdgeWorkers(self, self.most_threads)
        super().prepare()
        self._connections.close()
        self._connections = EdgeConnections(self)

    def linger(self, conn) -> None:
        """Hear a refused sender out for a while, then close."""
        self._connections.linger(conn)

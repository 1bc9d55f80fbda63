"""Stand-in for an application backend with slots."""

import itertools
import socket
import struct
import threading
import time

from review.common.wire import Closed, Head, Reader

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
CLOSE_POLL_S = 0.02


class CallerGone(Exception):
    """The connection of a running request was closed."""


class Backend:
    """Backend that serves one request at a time on each connection.

    Parameters
    ----------
    address : tuple of (str, int)
        Where it listens.
    work : callable
        Called with the backend, the connection, the head and the request's id while
        the request holds a slot; writes the answer. It returns whether the connection
        stays open.
    """

    def __init__(self, record, store, id, service, zone, address, work, slots=4):
        self.record = record
        self.id = id
        self.runs: list[tuple[float, str]] = []
        self.arrivals: list[tuple[float, str]] = []
        self._store = store
        self._service = service
        self._zone = zone
        self._address = address
        self._work = work
        self._slot_count = slots
        self._slots = threading.Semaphore(slots)
        self._numbers = itertools.count(1)
        self._lock = threading.Lock()
        self._connections: set[socket.socket] = set()
        self._listener: socket.socket | None = None
        self._born_ms = 0

    def start(self, cold_left: str = "0ms") -> None:
        """Listen and register."""
        self._born_ms = int(time.time() * 1000)
        self._listener = socket.create_server(self._address, backlog=256)
        threading.Thread(
            target=self._accept, args=(self._listener,), daemon=True
        ).start()
        self.register(cold_left)

    def register(self, cold_left: str = "0ms") -> None:
        """Write the entry in the store."""
        host, port = self._address
        entry = {
            "address": f"{host}:{port}",
            "info": {
                "service": self._service,
                "revision": "v1",
                "zone": self._zone,
                "slots": self._slot_count,
            },
            "status": {
                "state": "ready",
                "seq": next(self._numbers),
                "cold_left": cold_left,
            },
            "born": self._born_ms,
        }
        self._store.put(f"servers/{self.id}", entry)

    def deregister(self) -> None:
        """Remove the entry from the store."""
        self._store.remove(f"servers/{self.id}")

    def crash(self) -> None:
        """Stop listening and reset every connection, as a process that dies."""
        self.record.write(self.id, "crashes")
        with self._lock:
            listener, self._listener = self._listener, None
            connections, self._connections = self._connections, set()
        # `shutdown` ends the `accept` of the other thread, which holds the port.
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        for connection in connections:
            try:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
                connection.close()
            except OSError:
                continue

    def respond(
        self, connection: socket.socket, head: Head, status: str, body: bytes
    ) -> None:
        """Write a complete answer with its length."""
        connection.sendall(
            f"HTTP/1.1 {status}\r\n"
            f"X-Request-Id: {head.value_by_name.get('x-request-id', '')}\r\n"
            f"X-Response-Stamp: {self.id}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )

    def wait(self, connection: socket.socket, seconds: float) -> None:
        """Work for some time; raise CallerGone if the connection closes."""
        ends_s = time.monotonic() + seconds
        while (remaining_s := ends_s - time.monotonic()) > 0:
            time.sleep(min(CLOSE_POLL_S, remaining_s))
            try:
                flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
                if not connection.recv(1, flags):
                    raise CallerGone
            except BlockingIOError:
                continue
            except OSError as error:
                raise CallerGone from error

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._connections.add(connection)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        reader = Reader(connection)
        try:
            while head := reader.head():
                reader.body_of_request(head)
                if not self._handle(connection, head):
                    break
        except (Closed, OSError):
            pass
        finally:
            with self._lock:
                self._connections.discard(connection)
            connection.close()

    def _handle(self, connection: socket.socket, head: Head) -> bool:
        method, path, _ = head.start.split()
        if path.startswith("/healthz"):
            connection.sendall(
                f"HTTP/1.1 200 OK\r\nX-Instance-Id: {self.id}\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return True
        request_id = head.value_by_name.get("x-request-id", "")
        if head.value_by_name.get("x-expect-instance", self.id) != self.id:
            self.record.write(self.id, f"{request_id} expects another instance: 421")
            connection.sendall(
                f"HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: {request_id}\r\n"
                f"X-Instance-Id: {self.id}\r\nContent-Length: 0\r\n\r\n".encode()
            )
            return True
        arrived_s = self.record.write(self.id, f"{request_id} {method} {path} arrives")
        self.arrivals.append((arrived_s, request_id))
        with self._slots:
            self.runs.append((self.record.write(self.id, f"{request_id} runs"), path))
            try:
                keeps_open = self._work(self, connection, head, request_id)
            except (CallerGone, OSError):
                self.record.write(self.id, f"{request_id} is dropped, caller gone")
                return False
            self.record.write(self.id, f"{request_id} answered")
        return keeps_open

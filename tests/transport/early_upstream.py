"""Upstream that answers each request by a script, also before its body has arrived."""

import contextlib
import socket
import struct
import threading
import time

import attrs

TIMEOUT_S = 20.0
READ_BYTES = 64 << 10
HEALTHY = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
# Closes a connection with a reset instead of an end.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@attrs.frozen
class Script:
    """Answer to a request, and how its connection ends.

    Attributes
    ----------
    answer : bytes
        Bytes of the answer; ``{id}`` stands for the id of the request.
    read_share : float
        Share of the request's body that is read before the answer.
    pause_s : float
        Time between the answer and the end of the connection, in seconds.
    resets : bool
        Whether the connection ends with a reset.
    """

    answer: bytes
    read_share: float = 1.0
    pause_s: float = 0.0
    resets: bool = False


class EarlyUpstream:
    """Answers a request by the script that the last segment of its path names.

    A path without a script is that of a health check, which succeeds.

    Attributes
    ----------
    count_by_name : dict
        Number of requests that each script has answered.
    unasked_script : Script, optional
        Script that is played on each connection before anything is read.
    """

    def __init__(self, port=0):
        self.unasked_script = None
        self.script_by_name = {}
        self.count_by_name = {}
        self._listener = socket.create_server(("127.0.0.1", port), backlog=64)
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    def close(self):
        self._listener.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        with contextlib.suppress(OSError), sock:
            sock.settimeout(TIMEOUT_S)
            if self.unasked_script is not None:
                _play(sock, self.unasked_script, b"")
                return
            head, body = _read_head(sock)
            path = head.split(b" ")[1].partition(b"?")[0]
            name = path.rpartition(b"/")[2].decode()
            value_by_header = dict(
                line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:]
            )
            script = self.script_by_name.get(name)
            if script is None:
                sock.sendall(HEALTHY)
                return
            size = int(value_by_header.get(b"content-length", b"0"))
            received_bytes = len(body)
            while received_bytes < size * script.read_share:
                received_bytes += len(_receive(sock))
            id = value_by_header.get(b"x-request-id", b"")
            self.count_by_name[name] = self.count_by_name.get(name, 0) + 1
            _play(sock, script, id)


def _play(sock, script, id):
    sock.sendall(script.answer.replace(b"{id}", id))
    time.sleep(script.pause_s)
    if script.resets:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


def _read_head(sock):
    """Return the head of a request, and the part of its body that came with it."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += _receive(sock)
    head, _, body = data.partition(b"\r\n\r\n")
    return head, body


def _receive(sock):
    data = sock.recv(READ_BYTES)
    if not data:
        raise ConnectionAbortedError
    return data

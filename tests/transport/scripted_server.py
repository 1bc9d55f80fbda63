"""HTTP server that answers each request with the next of its scripts."""

import contextlib
import socket
import threading
import time

SERVER_TIMEOUT_S = 20.0
POLL_S = 0.01


class ScriptedServer:
    """Runs the next script for each request: sends its bytes, calls its callables.

    A connection stays open after an answer unless its script ends in None.
    """

    def __init__(self):
        self.scripts = []
        self.requests = []
        self.connections = 0
        self._ended_connections = 0
        self._server = socket.create_server(("127.0.0.1", 0))
        self.port = self._server.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._server.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._server.accept()
                self.connections += 1
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def wait_until_idle(self, timeout_s):
        """Return whether no connection is open, at the latest after `timeout_s`."""
        end_s = time.monotonic() + timeout_s
        while self._ended_connections < self.connections:
            if time.monotonic() > end_s:
                return False
            time.sleep(POLL_S)
        return True

    def _serve(self, sock):
        try:
            self._answer_requests(sock)
        finally:
            self._ended_connections += 1

    def _answer_requests(self, sock):
        with contextlib.suppress(OSError), sock:
            sock.settimeout(SERVER_TIMEOUT_S)
            while data := self._read(sock):
                self.requests.append(data)
                for step in self.scripts.pop(0):
                    if step is None:
                        return
                    if callable(step):
                        step()
                    else:
                        sock.sendall(step)

    def _read(self, sock):
        data = b""
        while b"\r\n\r\n" not in data:
            more = sock.recv(65536)
            if not more:
                return b""
            data += more
        return data

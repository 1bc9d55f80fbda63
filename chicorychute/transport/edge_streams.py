"""Stream that answers a caller with few calls of the system."""

import contextlib
import socket
from collections.abc import Iterator


class EdgeWriter:
    """Sends the head of an answer together with the first bytes of its body.

    Two sends would wake the caller twice, the first time for nothing.
    """

    def __init__(self, sock: socket.socket):
        self._sock = sock
        self._buffer = b""
        self._is_buffering = False
        self.bytes_written = 0

    @contextlib.contextmanager
    def buffering(self) -> Iterator[None]:
        """Keep what is written until the next write or `flush`."""
        self._is_buffering = True
        try:
            yield
        finally:
            self._is_buffering = False

    def write(self, data: bytes) -> int:
        """Send what is kept and `data`; the socket's time-out is for each part."""
        if self._is_buffering:
            self._buffer += data
            return len(data)
        pending, self._buffer = self._buffer + data, b""
        unsent = memoryview(pending)
        while unsent:
            count = self._sock.send(unsent)
            self.bytes_written += count
            unsent = unsent[count:]
        return len(data)

    def flush(self) -> None:
        """Send what is kept."""
        if self._buffer:
            self.write(b"")

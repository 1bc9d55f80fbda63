"""Streams of a caller's connection, with few calls of the system for a request."""

import contextlib
import io
import socket
from collections.abc import Iterator

READ_BUFFER_BYTES = 1 << 10  # of each connection, idle ones too; most heads fit


class EdgeWriter:
    """Sends the head of an answer together with the first bytes of its body.

    Two sends would wake the caller twice, the first time for nothing.
    """

    def __init__(self, sock: socket.socket):
        self._sock = sock
        self._held = b""
        self._holds = False
        self.bytes_written = 0

    @contextlib.contextmanager
    def holding(self) -> Iterator[None]:
        """Keep what is written until the next write or `flush`."""
        self._holds = True
        try:
            yield
        finally:
            self._holds = False

    def write(self, data: bytes) -> int:
        """Send what is kept and `data`; the socket's time-out is for each part."""
        if self._holds:
            self._held += data
            return len(data)
        whole, self._held = self._held + data, b""
        unsent = memoryview(whole)
        while unsent:
            count = self._sock.send(unsent)
            self.bytes_written += count
            unsent = unsent[count:]
        return len(data)

    def flush(self) -> None:
        """Send what is kept."""
        if self._held:
            self.write(b"")


class _Raw(socket.SocketIO):
    """Bytes of a socket; `empty` makes it say that none are there yet."""

    empty = False

    def readinto(self, buffer: memoryview) -> int | None:
        """Read once into `buffer`."""
        return None if self.empty else super().readinto(buffer)


class EdgeReader(io.BufferedReader):
    """Buffered reader in C, where the server library's own is in Python."""

    def __init__(self, sock: socket.socket):
        super().__init__(_Raw(sock, "rb"), READ_BUFFER_BYTES)
        self.bytes_read = 0

    def has_data(self) -> bool:
        """Return whether bytes were read that nobody took yet."""
        self.raw.empty = True
        try:
            return bool(self.peek(1))
        finally:
            self.raw.empty = False

"""Output stream that answers a caller with few system calls."""

import contextlib
import errno
import socket
from collections.abc import Callable, Iterator


def _is_due() -> bool:
    """Return True: no other answer is due before."""
    return True


class EdgeWriter:
    """Sends the head of an answer together with the first bytes of its body.

    Two sends would wake the caller twice, the first time without need.

    Parameters
    ----------
    wait_for_turn : callable, optional
        Waits until all earlier answers of the connection have ended, and returns
        whether another may follow.
    """

    def __init__(
        self, sock: socket.socket, wait_for_turn: Callable[[], bool] = _is_due
    ):
        self._sock = sock
        self._wait_for_turn = wait_for_turn
        self._buffer = b""
        self._is_buffering = False
        self.bytes_written = 0

    @contextlib.contextmanager
    def buffering(self) -> Iterator[None]:
        """Buffer writes until the first write or `flush` after this context."""
        self._is_buffering = True
        try:
            yield
        finally:
            self._is_buffering = False

    def write(self, data: bytes) -> int:
        """Send the buffered bytes and `data`; the socket's time-out is per send.

        Raises
        ------
        BrokenPipeError
            If an earlier answer has closed the connection.
        """
        if self._is_buffering:
            self._buffer += data
            return len(data)
        if not self._wait_for_turn():
            detail = "an earlier answer closed the connection"
            raise BrokenPipeError(errno.EPIPE, detail)
        pending, self._buffer = self._buffer + data, b""
        unsent = memoryview(pending)
        while unsent:
            count = self._sock.send(unsent)
            self.bytes_written += count
            unsent = unsent[count:]
        return len(data)

    def flush(self) -> None:
        """Send the buffered bytes."""
        if self._buffer:
            self.write(b"")

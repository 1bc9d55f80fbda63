"""Detects callers that close their connection before they are answered."""

import contextlib
import select
import socket
import threading
from collections.abc import Iterator

from chicorychute.pipeline.cancel import CancelScope

CLOSED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class CallerWatch:
    """Cancels requests whose callers have disconnected, each time `poll` is called."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._scope_by_fd: dict[int, CancelScope] = {}

    @contextlib.contextmanager
    def watching(self, sock: socket.socket, scope: CancelScope) -> Iterator[None]:
        """Watch a caller's connection while its request is handled."""
        fd = sock.fileno()
        with self._lock:
            self._scope_by_fd[fd] = scope
        try:
            yield
        finally:
            with self._lock:
                self._scope_by_fd.pop(fd, None)

    def idle(self) -> bool:
        """Return whether no request is being handled."""
        return not self._scope_by_fd

    def poll(self) -> None:
        """Cancel the request of each caller that has disconnected."""
        poller = select.poll()
        with self._lock:
            scope_by_fd = dict(self._scope_by_fd)
        for fd in scope_by_fd:
            poller.register(fd, CLOSED_EVENTS)
        for fd, _ in poller.poll(0):
            with self._lock:
                if self._scope_by_fd.get(fd) is not scope_by_fd[fd]:
                    continue
                del self._scope_by_fd[fd]
            scope_by_fd[fd].cancel()

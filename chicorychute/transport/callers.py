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
        # A connection has several requests if its caller sends some ahead.
        self._scopes_by_fd: dict[int, list[CancelScope]] = {}

    @contextlib.contextmanager
    def watching(self, sock: socket.socket, scope: CancelScope) -> Iterator[None]:
        """Watch a caller's connection while its request is handled."""
        fd = sock.fileno()
        with self._lock:
            self._scopes_by_fd.setdefault(fd, []).append(scope)
        try:
            yield
        finally:
            with self._lock:
                self._remove(fd, scope)

    def idle(self) -> bool:
        """Return whether no request is being handled."""
        return not self._scopes_by_fd

    def poll(self) -> None:
        """Cancel the requests of each caller that has disconnected."""
        poller = select.poll()
        with self._lock:
            scopes_by_fd = {fd: list(s) for fd, s in self._scopes_by_fd.items()}
        for fd in scopes_by_fd:
            poller.register(fd, CLOSED_EVENTS)
        for fd, _ in poller.poll(0):
            for scope in scopes_by_fd[fd]:
                with self._lock:
                    is_watched = self._remove(fd, scope)
                if is_watched:
                    scope.cancel()

    def _remove(self, fd: int, scope: CancelScope) -> bool:
        """Stop watching for a request; return whether it was still watched for."""
        scopes = self._scopes_by_fd.get(fd, [])
        if scope not in scopes:
            return False
        scopes.remove(scope)
        if not scopes:
            del self._scopes_by_fd[fd]
        return True

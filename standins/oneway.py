"""Paths between daemons that can be cut in one direction with their links open.

A relay stands between each ordered pair of daemons; a path that is cut holds the
bytes, as a network does that loses every packet, and delivers them once it heals.
As a program this starts a daemon whose connections to peers go through the relays:
``python -m standins.oneway PORT=RELAY_PORT,... run -c FILE``.
"""

import contextlib
import itertools
import runpy
import socket
import sys
import threading
from collections.abc import Iterable

READ_BYTES = 64 << 10


class OneWayPaths:
    """Relays of a fleet, on threads of the test.

    Parameters
    ----------
    ports : iterable of int
        Peer port of each daemon, by which its paths are named.
    """

    def __init__(self, ports: Iterable[int]):
        ports = list(ports)
        pairs = list(itertools.permutations(ports, 2))
        self._open_by_path = {pair: threading.Event() for pair in pairs}
        self._listener_by_path: dict[tuple[int, int], socket.socket] = {}
        self.heal()
        for opener, accepter in pairs:
            listener = socket.create_server(("127.0.0.1", 0), backlog=64)
            self._listener_by_path[opener, accepter] = listener
            _start(self._accept, listener, opener, accepter)

    def redirects(self, opener: int) -> str:
        """Return where a daemon finds its peers, as this program's argument."""
        return ",".join(
            f"{accepter}={listener.getsockname()[1]}"
            for (port, accepter), listener in self._listener_by_path.items()
            if port == opener
        )

    def cut(self, sender: int, receiver: int) -> None:
        """Pass no more bytes from one daemon to another, on links of either."""
        self._open_by_path[sender, receiver].clear()

    def heal(self) -> None:
        """Pass bytes on every path again, held ones first."""
        for path in self._open_by_path.values():
            path.set()

    def close(self) -> None:
        """Accept no more links; those that are open end with their daemons."""
        for listener in self._listener_by_path.values():
            with contextlib.suppress(OSError):
                listener.shutdown(socket.SHUT_RDWR)
            listener.close()
        self.heal()

    def _accept(self, listener: socket.socket, opener: int, accepter: int) -> None:
        while True:
            try:
                near, _ = listener.accept()
            except OSError:
                return
            _start(self._serve, near, opener, accepter)

    def _serve(self, near: socket.socket, opener: int, accepter: int) -> None:
        with near:
            try:
                far = socket.create_connection(("127.0.0.1", accepter))
            except OSError:
                return
            with far:
                there = self._open_by_path[opener, accepter]
                back = self._open_by_path[accepter, opener]
                other = _start(_pump, far, near, back)
                _pump(near, far, there)
                other.join()


def _start(run, *arguments) -> threading.Thread:
    thread = threading.Thread(target=run, args=arguments, daemon=True)
    thread.start()
    return thread


def _pump(source: socket.socket, target: socket.socket, path: threading.Event) -> None:
    """Pass bytes on while the path is open, the end of the stream too."""
    while True:
        try:
            data = source.recv(READ_BYTES)
        except OSError:
            data = b""
        path.wait()
        # A target that is gone is not told to the source: its path may be cut.
        with contextlib.suppress(OSError):
            if not data:
                target.shutdown(socket.SHUT_WR)
                return
            target.sendall(data)
        if not data:
            return


def main() -> None:
    """Start a daemon whose connections to its peers are redirected."""
    pairs = [pair.split("=") for pair in sys.argv[1].split(",")]
    relay_by_port = {int(port): int(relay) for port, relay in pairs}
    connect = socket.create_connection

    def redirected(address, *arguments, **options):
        host, port = address
        return connect((host, relay_by_port.get(port, port)), *arguments, **options)

    socket.create_connection = redirected
    sys.argv[1:] = sys.argv[2:]
    runpy.run_module("chicorychute", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()

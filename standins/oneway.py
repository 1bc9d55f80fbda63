"""Network paths between daemons that can be partitioned in one direction.

A relay serves each ordered pair of daemons. While a path is partitioned, its links
stay open and bytes are delayed until it heals, as when a network loses every packet
and TCP retransmits them later.
Run as a program, this starts a daemon that connects to its peers through the relays:
``python -m standins.oneway PORT=RELAY_PORT,... run -c FILE``.
"""

import contextlib
import itertools
import runpy
import socket
import sys
import threading
from collections.abc import Iterable

MAX_READ_BYTES = 64 << 10


class OneWayPaths:
    """Relays of a fleet, run on threads of the process that creates it.

    Parameters
    ----------
    ports : iterable of int
        Peer port of each daemon. Ordered pairs of ports identify the paths.
    """

    def __init__(self, ports: Iterable[int]):
        ports = list(ports)
        port_pairs = list(itertools.permutations(ports, 2))
        self._open_by_path = {port_pair: threading.Event() for port_pair in port_pairs}
        self._listener_by_path: dict[tuple[int, int], socket.socket] = {}
        self.heal()
        for client_port, server_port in port_pairs:
            listener = socket.create_server(("127.0.0.1", 0), backlog=64)
            self._listener_by_path[client_port, server_port] = listener
            _start_thread(self._accept, listener, client_port, server_port)

    def relay_argument(self, client_port: int) -> str:
        """Return the ports of a daemon's relays, as this program's first argument."""
        return ",".join(
            f"{server_port}={listener.getsockname()[1]}"
            for (port, server_port), listener in self._listener_by_path.items()
            if port == client_port
        )

    def partition_path(self, sender: int, receiver: int) -> None:
        """Stop the bytes from one daemon to another, whichever opened the link."""
        self._open_by_path[sender, receiver].clear()

    def heal(self) -> None:
        """Pass bytes on every path again, starting with the delayed ones."""
        for path in self._open_by_path.values():
            path.set()

    def close(self) -> None:
        """Stop accepting links; open links close when their daemons end."""
        for listener in self._listener_by_path.values():
            with contextlib.suppress(OSError):
                listener.shutdown(socket.SHUT_RDWR)
            listener.close()
        self.heal()

    def _accept(
        self, listener: socket.socket, client_port: int, server_port: int
    ) -> None:
        while True:
            try:
                client, _ = listener.accept()
            except OSError:
                return
            _start_thread(self._serve, client, client_port, server_port)

    def _serve(self, client: socket.socket, client_port: int, server_port: int) -> None:
        with client:
            try:
                server = socket.create_connection(("127.0.0.1", server_port))
            except OSError:
                return
            with server:
                forward_path = self._open_by_path[client_port, server_port]
                return_path = self._open_by_path[server_port, client_port]
                return_thread = _start_thread(_copy_bytes, server, client, return_path)
                _copy_bytes(client, server, forward_path)
                return_thread.join()


def _start_thread(run, *arguments) -> threading.Thread:
    thread = threading.Thread(target=run, args=arguments, daemon=True)
    thread.start()
    return thread


def _copy_bytes(
    source: socket.socket, target: socket.socket, path: threading.Event
) -> None:
    """Copy bytes and the end of the stream, waiting while the path is partitioned."""
    while True:
        try:
            data = source.recv(MAX_READ_BYTES)
        except OSError:
            data = b""
        path.wait()
        # The source is not closed when the target is gone: the path on which it
        # would learn of that may be partitioned.
        with contextlib.suppress(OSError):
            if not data:
                target.shutdown(socket.SHUT_WR)
                return
            target.sendall(data)
        if not data:
            return


def main() -> None:
    """Start a daemon whose connections to its peers go through the relays."""
    redirects = [pair.split("=") for pair in sys.argv[1].split(",")]
    relay_by_port = {int(port): int(relay) for port, relay in redirects}
    connect = socket.create_connection

    def connect_through_relay(address, *arguments, **options):
        host, port = address
        return connect((host, relay_by_port.get(port, port)), *arguments, **options)

    socket.create_connection = connect_through_relay
    sys.argv[1:] = sys.argv[2:]
    runpy.run_module("chicorychute", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()

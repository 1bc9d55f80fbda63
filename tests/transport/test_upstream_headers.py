"""Headers of an upstream that no peer may be sent."""

import socket
import threading

import pytest

from chicorychute.core.clock import ManualClock
from chicorychute.core.lines import is_header_value, is_visible_ascii
from chicorychute.core.messages import PeerRequest
from chicorychute.transport.upstream import UpstreamClient

WORK = PeerRequest("GET", "/a", (), "s", "r", "", "", "", 1, 1000.0)


@pytest.mark.parametrize(
    ("line", "kept"),
    [
        (b"X-A: b\r\n c", ("X-A", "b c")),
        (b"X-A: b\x01c", None),
        (b"X-A: b\x00c", None),
        (b"X-A: \xe9", ("X-A", "\xe9")),
        (b": empty", None),
    ],
    ids=["folded", "control", "null", "latin", "nameless"],
)
def test_header_that_no_peer_would_take_is_mended_or_dropped(line, kept):
    answer = b"HTTP/1.1 200 OK\r\n" + line + b"\r\nContent-Length: 2\r\n\r\nok"
    with socket.create_server(("127.0.0.1", 0)) as server:

        def serve():
            connection, _ = server.accept()
            with connection:
                connection.recv(65536)
                connection.sendall(answer)

        thread = threading.Thread(target=serve)
        thread.start()
        url = f"http://127.0.0.1:{server.getsockname()[1]}"
        found = UpstreamClient(url, 1, ManualClock()).send(WORK, b"", 10.0)
        body = b"".join(found.chunks)
        thread.join()
    assert body == b"ok"
    assert all(
        is_visible_ascii(name) and is_header_value(value)
        for name, value in found.headers
    )
    assert [pair for pair in found.headers if pair[0] == "X-A"] == [kept] * bool(kept)

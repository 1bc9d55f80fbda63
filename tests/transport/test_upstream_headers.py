"""Headers of an upstream that are not valid on a link.

Guards against passing such a header to a peer, which would close the link and thereby
fail other requests.
"""

import socket
import threading

import pytest

from chicorychute.core.clock import ManualClock
from chicorychute.core.lines import is_header_value, is_visible_ascii
from chicorychute.core.messages import PeerRequest
from chicorychute.transport.upstream import UpstreamClient

WORK = PeerRequest("GET", "/a", (), "s", "r", "", "", "", 1, 1000.0)


@pytest.mark.parametrize(
    ("line", "expected"),
    [
        (b"X-A: b\x01c", None),
        (b"X-A: b\x00c", None),
        (b"X-A: b\x0bc", None),
        (b"X-A: b\x0c", None),
        (b"X-A: \xe9", ("X-A", "\xe9")),
        (b": empty", None),
    ],
    ids=["control", "null", "vertical tab", "form feed", "latin", "nameless"],
)
def test_header_that_no_peer_would_accept_is_dropped(line, expected):
    response = b"HTTP/1.1 200 OK\r\n" + line + b"\r\nContent-Length: 2\r\n\r\nok"
    with socket.create_server(("127.0.0.1", 0)) as server:

        def serve():
            connection, _ = server.accept()
            with connection:
                connection.recv(65536)
                connection.sendall(response)

        thread = threading.Thread(target=serve)
        thread.start()
        url = f"http://127.0.0.1:{server.getsockname()[1]}"
        answer = UpstreamClient(url, 1, ManualClock()).send(WORK, b"", 10.0)
        body = b"".join(answer.chunks)
        thread.join()
    assert body == b"ok"
    assert all(
        is_visible_ascii(name) and is_header_value(value)
        for name, value in answer.headers
    )
    assert [pair for pair in answer.headers if pair[0] == "X-A"] == [expected] * bool(
        expected
    )

"""A head goes out with the first bytes of its body."""

import pytest

from chicorychute.transport.edge_streams import EdgeWriter


class StingySocket:
    """Takes at most `most` bytes with each send."""

    def __init__(self, most=1 << 20):
        self._most = most
        self.sent = []

    def send(self, data):
        self.sent.append(bytes(data[: self._most]))
        return len(self.sent[-1])


@pytest.mark.parametrize(
    ("parts", "sent"),
    [
        ([], [b"head"]),
        ([b"body"], [b"headbody"]),
        ([b"body", b"rest"], [b"headbody", b"rest"]),
    ],
    ids=["no body", "one part", "two parts"],
)
def test_head_goes_out_with_the_first_part(parts, sent):
    sock = StingySocket()
    writer = EdgeWriter(sock)
    with writer.holding():
        writer.write(b"he")
        writer.write(b"ad")
    assert sock.sent == []
    for part in parts:
        writer.write(part)
    writer.flush()
    writer.flush()
    assert sock.sent == sent


def test_what_the_socket_does_not_take_is_sent_again():
    sock = StingySocket(most=3)
    writer = EdgeWriter(sock)
    writer.write(b"12345678")
    assert sock.sent == [b"123", b"456", b"78"]

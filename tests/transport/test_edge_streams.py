"""The head of an answer is sent with its body, and no byte is lost.

Guards against a separate send of the head, which wakes the caller without need, and
against bytes lost when the socket accepts only some of those given to one send.
"""

import pytest

from chicorychute.transport.edge_streams import EdgeWriter


class ShortSendSocket:
    """Accepts at most `max_bytes` bytes with each send."""

    def __init__(self, max_bytes=1 << 20):
        self._max_bytes = max_bytes
        self.sent = []

    def send(self, data):
        self.sent.append(bytes(data[: self._max_bytes]))
        return len(self.sent[-1])


@pytest.mark.parametrize(
    ("chunks", "sent"),
    [
        ([], [b"head"]),
        ([b"body"], [b"headbody"]),
        ([b"body", b"rest"], [b"headbody", b"rest"]),
    ],
    ids=["no body", "one chunk", "two chunks"],
)
def test_head_goes_out_with_the_first_chunk(chunks, sent):
    sock = ShortSendSocket()
    writer = EdgeWriter(sock)
    with writer.buffering():
        writer.write(b"he")
        writer.write(b"ad")
    assert sock.sent == []
    for chunk in chunks:
        writer.write(chunk)
    writer.flush()
    writer.flush()
    assert sock.sent == sent


def test_bytes_left_by_a_short_send_are_sent_next():
    sock = ShortSendSocket(max_bytes=3)
    writer = EdgeWriter(sock)
    writer.write(b"12345678")
    assert sock.sent == [b"123", b"456", b"78"]

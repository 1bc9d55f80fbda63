"""Encoding and decoding of messages.

Guards against a message class or field that the codec does not restore, and against
malformed frames that raise anything but CodecError.
"""

import cbor2
import pytest

from chicorychute.core import messages
from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.transport.codec import CodecError, decode, encode

WORK = messages.PeerRequest(
    "GET", "/a?b=1", (("accept", "*/*"),), "orders", "order", "t", "", "", 1, 250.0
)
DIGEST = messages.UpstreamDigest(
    "u1", "orders", messages.Verdict.SICK, 4, 1, 2, 10.5, 0.25, 1.0
)
RECORD = messages.MemberRecord(
    "i1", 5, 6, messages.MemberStatus.ALIVE, "127.0.0.1", 1, "a", "r", 3, (DIGEST,)
)
MESSAGES = [
    messages.Hello(1, "i1", 5, "a", "r"),
    messages.Forward(1, 2.5, "u1", WORK, b"body", False),
    messages.Relay(1, 2.5, WORK, b"", False),
    messages.BodyChunk(1, b"x", True),
    messages.Cancel(1),
    messages.AnswerHead(1, 200, (("a", "b"),), 3, b"abc", True, 0, 1),
    messages.AnswerChunk(1, b"x", False),
    messages.AnswerCredit(1, 8),
    messages.Refusal(1, Outcome.NOT_RUN, Reason.OVERLOAD, "full"),
    messages.Gossip("i1", True, (RECORD,)),
    messages.TableRequest(3),
    messages.TableUpdate(4, "text"),
    messages.QuarantineNotice("f", "u1", 30.0),
    messages.DigestUpdate("i1", 5, 6, (DIGEST,)),
    messages.ProbeRequest("i1", "i2"),
    messages.TableAnnounce(4, "00ff"),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
def test_decoded_message_equals_the_encoded_one(message):
    assert decode(encode(message)) == message


@pytest.mark.parametrize(
    "frame",
    [
        b"",
        b"\xff\x00garbage",
        cbor2.dumps("text"),
        cbor2.dumps([999, 1]),
        cbor2.dumps([5]),
        cbor2.dumps([5, "not a number"]),
        cbor2.dumps([9, "i1", True, [["short"]]]),
        encode(MESSAGES[1])[:-3],
    ],
)
def test_malformed_frame_raises_codec_error(frame):
    with pytest.raises(CodecError):
        decode(frame)

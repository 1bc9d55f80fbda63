"""Invalid values in frames from a peer.

Guards against values that would do harm further on, such as a time that is NaN or a
header with a line break, and against frames that raise anything but CodecError.
"""

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chicorychute.core import messages
from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.transport.codec import CodecError, decode, encode

NAN = float("nan")


def work(**changes):
    fields = {
        "method": "GET",
        "target": "/a",
        "headers": (("accept", "*/*"),),
        "service": "s",
        "rank": "r",
        "team": "",
        "key": "",
        "traceparent": "",
        "attempt": 1,
        "remaining_ms": 10.0,
    }
    return messages.PeerRequest(**{**fields, **changes})


BAD_MESSAGES = {
    "nan-time": messages.Forward(1, NAN, "u", work(), b"", False),
    "infinite-time": messages.Relay(1, 1.0, work(remaining_ms=1e400), b"", False),
    "bool-as-number": messages.TableRequest(True),
    "header-with-newline": messages.Forward(
        1, 1.0, "u", work(headers=(("a", "b\r\nc: d"),)), b"", False
    ),
    "header-name-with-newline": messages.Forward(
        1, 1.0, "u", work(headers=(("a\n", "b"),)), b"", False
    ),
    "header-beyond-latin-1": messages.AnswerHead(
        1, 200, (("a", "\u0905"),), 1, b"", True, 0, 0
    ),
    "target-with-space": messages.Forward(
        1, 1.0, "u", work(target="/a HTTP/1.1\r\nx: y"), b"", False
    ),
    "method-with-newline": messages.Forward(
        1, 1.0, "u", work(method="GET /\r\n"), b"", False
    ),
    "traceparent-with-newline": messages.Forward(
        1, 1.0, "u", work(traceparent="a\r\nb: c"), b"", False
    ),
    "key-with-newline": messages.Relay(1, 1.0, work(key="a\nb"), b"", False),
    "status": messages.AnswerHead(1, 7, (), 1, b"", True, 0, 0),
    "length": messages.AnswerHead(1, 200, (), -5, b"", True, 0, 0),
}


@pytest.mark.parametrize("message", BAD_MESSAGES.values(), ids=BAD_MESSAGES)
def test_harmful_value_is_malformed(message):
    with pytest.raises(CodecError):
        decode(encode(message))


def test_integer_beyond_64_bits_is_malformed():
    with pytest.raises(CodecError):
        decode(cbor2.dumps([10, 1 << 80]))


VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
    | st.binary(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=6) | st.dictionaries(st.text(max_size=3), inner)
    ),
    max_leaves=20,
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(VALUES, max_size=12).map(cbor2.dumps) | st.binary(max_size=200))
def test_arbitrary_frame_is_a_message_or_malformed(frame):
    try:
        decode(frame)
    except CodecError:
        return


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.data())
def test_damaged_frame_is_a_message_or_malformed(data):
    message = messages.Refusal(1, Outcome.UNKNOWN, Reason.DEADLINE, "late")
    valid_frame = data.draw(
        st.sampled_from(
            [encode(message), encode(messages.Relay(1, 2.5, work(), b"b", False))]
        )
    )
    index = data.draw(st.integers(0, len(valid_frame) - 1))
    replacement = data.draw(st.binary(min_size=0, max_size=9))
    try:
        decode(valid_frame[:index] + replacement + valid_frame[index + 1 :])
    except CodecError:
        return

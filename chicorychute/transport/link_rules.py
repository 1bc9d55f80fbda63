"""Rules on which messages a side of a link may receive, and when."""

from chicorychute.core.messages import (
    PROTOCOL_VERSION,
    AnswerChunk,
    AnswerHead,
    BodyChunk,
    Cancel,
    Forward,
    Hello,
    Message,
    Refusal,
    Relay,
)
from chicorychute.transport.link import Link, LinkFault

REQUEST_MESSAGES = (Forward, Relay, BodyChunk, Cancel)
ANSWER_MESSAGES = (AnswerHead, AnswerChunk, Refusal)


def protocol_fault(link: Link, message: Message) -> LinkFault | None:
    """Return the fault of a message that is not allowed now, or None.

    Hello must come first and only once. Requests go to the side that accepted the
    link, answers to the side that opened it.
    """
    if isinstance(message, Hello):
        if link.peer is not None:
            return LinkFault.SECOND_HELLO
        return None if message.version == PROTOCOL_VERSION else LinkFault.VERSION
    if link.peer is None:
        return LinkFault.NO_HELLO
    forbidden = REQUEST_MESSAGES if link.address is not None else ANSWER_MESSAGES
    return LinkFault.WRONG_SIDE if isinstance(message, forbidden) else None

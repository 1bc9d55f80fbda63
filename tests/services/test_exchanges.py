"""Answers over a link: complete, at their own request and bounded in memory.

A reader that is slow or reads nothing must not fill the entry's memory, nor block other
answers of the link. Messages that are late, out of order or forged on another link must
not reach an exchange, and an answer that ends early must not look complete.
"""

import threading

import pytest

from chicorychute.core.clock import ManualClock
from chicorychute.core.messages import (
    AnswerChunk,
    AnswerCredit,
    AnswerHead,
    Cancel,
    Refusal,
)
from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.pipeline.values import Answer, AnswerBroken, BufferedBody, Refused
from chicorychute.services.exchanges import CHUNK_BYTES, Exchanges
from chicorychute.services.peers import send_reply
from chicorychute.transport.windows import WINDOW_CHUNKS, AnswerWindows

TIMEOUT_S = 20.0
CHUNK_COUNT = WINDOW_CHUNKS * 10


class LoopbackLink:
    """Link whose two ends are in this process."""

    def __init__(self):
        self.exchanges = Exchanges(ManualClock())
        self.windows = AnswerWindows()
        self.sent = []

    def send(self, message):
        self.sent.append(message)
        match message:
            case AnswerCredit(id, chunks):
                self.windows.credit(id, chunks)
            case Cancel(id):
                self.windows.cancel(id)
            case _:
                self.exchanges.on_answer_message(self, message)


class ChunkedBody(BufferedBody):
    """Body that comes in chunks and records whether it was closed."""

    def __init__(self, body_chunks):
        self._chunks = iter(body_chunks)
        self.closed = False

    def __next__(self):
        return next(self._chunks)

    def close(self):
        self.closed = True


@pytest.fixture
def link():
    return LoopbackLink()


def start_sending(link, id, body):
    reply = Answer(200, (), CHUNK_COUNT * CHUNK_BYTES, body)
    thread = threading.Thread(target=send_reply, args=(link, id, reply), daemon=True)
    thread.start()
    return thread


def body_chunks():
    return [bytes([n % 251]) * CHUNK_BYTES for n in range(CHUNK_COUNT)]


def test_slow_reader_gets_the_complete_answer_with_a_bounded_queue(link):
    exchange = link.exchanges.open(link)
    thread = start_sending(link, exchange.id, ChunkedBody(body_chunks()))
    answer = link.exchanges.wait(exchange, TIMEOUT_S, "u1")
    received, max_queued = [], 0
    for data in answer.chunks:
        max_queued = max(max_queued, exchange.messages.qsize())
        received.append(data)
    thread.join(TIMEOUT_S)
    assert b"".join(received) == b"".join(body_chunks())
    assert max_queued <= WINDOW_CHUNKS


def test_unread_answer_does_not_block_other_answers(link):
    idle, active = link.exchanges.open(link), link.exchanges.open(link)
    body = ChunkedBody(body_chunks())
    sender = start_sending(link, idle.id, body)
    start_sending(link, active.id, ChunkedBody(body_chunks()))
    unread = link.exchanges.wait(idle, TIMEOUT_S, "u1")
    read = link.exchanges.wait(active, TIMEOUT_S, "u1")
    assert b"".join(read.chunks) == b"".join(body_chunks())
    assert idle.messages.qsize() <= WINDOW_CHUNKS
    unread.chunks.close()
    sender.join(TIMEOUT_S)
    assert not sender.is_alive()
    assert body.closed


def test_lost_link_ends_a_sender_that_waits_for_credit(link):
    exchange = link.exchanges.open(link)
    body = ChunkedBody(body_chunks())
    thread = start_sending(link, exchange.id, body)
    link.exchanges.wait(exchange, TIMEOUT_S, "u1")
    link.windows.close()
    thread.join(TIMEOUT_S)
    assert body.closed


HEAD = (200, (), 9, b"abc", False, 0, 0)


def open_answer(link):
    exchange = link.exchanges.open(link)
    link.exchanges.on_answer_message(link, AnswerHead(exchange.id, *HEAD))
    return exchange, link.exchanges.wait(exchange, TIMEOUT_S, "u1")


def test_messages_of_another_link_or_id_are_dropped(link):
    exchange, answer = open_answer(link)
    link.exchanges.on_answer_message(
        LoopbackLink(), AnswerChunk(exchange.id, b"forged", True)
    )
    link.exchanges.on_answer_message(link, AnswerChunk(exchange.id + 1, b"other", True))
    link.exchanges.on_answer_message(link, AnswerChunk(exchange.id, b"defghi", True))
    assert b"".join(answer.chunks) == b"abcdefghi"


def test_messages_after_the_end_reach_no_later_exchange(link):
    exchange, answer = open_answer(link)
    answer.chunks.close()
    later = link.exchanges.open(link)
    link.exchanges.on_answer_message(link, AnswerChunk(exchange.id, b"late", True))
    assert later.id != exchange.id
    assert later.messages.empty()


@pytest.mark.parametrize(
    "make_message",
    [
        lambda id: Refusal(id, Outcome.UNKNOWN, Reason.UPSTREAM_LOST, ""),
        lambda id: AnswerHead(id, *HEAD),
    ],
    ids=["aborted", "second head"],
)
def test_answer_without_its_last_chunk_is_broken(link, make_message):
    exchange, answer = open_answer(link)
    link.exchanges.on_answer_message(link, make_message(exchange.id))
    with pytest.raises(AnswerBroken):
        list(answer.chunks)


def test_link_lost_during_the_body_breaks_the_answer(link):
    _, answer = open_answer(link)
    link.exchanges.on_closed(link)
    with pytest.raises(AnswerBroken):
        list(answer.chunks)


def test_chunk_before_its_head_ends_the_request_as_unknown(link):
    exchange = link.exchanges.open(link)
    link.exchanges.on_answer_message(link, AnswerChunk(exchange.id, b"early", True))
    reply = link.exchanges.wait(exchange, TIMEOUT_S, "u1")
    assert reply == Refused(Outcome.UNKNOWN, Reason.PEER_LOST, "answer out of order")


def test_answer_that_does_not_come_in_time_is_cancelled(link):
    exchange = link.exchanges.open(link)
    reply = link.exchanges.wait(exchange, 0.0, "u1")
    assert reply.outcome is Outcome.UNKNOWN
    assert link.sent == [Cancel(exchange.id)]

"""Answers over a link: whole, to their own request, and never piled up."""

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
from chicorychute.pipeline.values import Answer, AnswerBroken, Refused, WholeBody
from chicorychute.services.exchanges import CHUNK_BYTES, Exchanges
from chicorychute.services.peers import send_reply
from chicorychute.transport.windows import WINDOW_CHUNKS, AnswerWindows

PATIENCE_S = 20.0
CHUNKS = WINDOW_CHUNKS * 10


class Wire:
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
                self.exchanges.on_part(self, message)


class PiecedBody(WholeBody):
    """Body that comes in pieces and notes whether it was given up."""

    def __init__(self, pieces):
        self._pieces = iter(pieces)
        self.closed = False

    def __next__(self):
        return next(self._pieces)

    def close(self):
        self.closed = True


@pytest.fixture
def wire():
    return Wire()


def start_sending(wire, id, body):
    reply = Answer(200, (), CHUNKS * CHUNK_BYTES, body)
    thread = threading.Thread(target=send_reply, args=(wire, id, reply), daemon=True)
    thread.start()
    return thread


def pieces():
    return [bytes([n % 251]) * CHUNK_BYTES for n in range(CHUNKS)]


def test_slow_reader_gets_all_and_bounds_what_is_queued(wire):
    exchange = wire.exchanges.open(wire)
    thread = start_sending(wire, exchange.id, PiecedBody(pieces()))
    answer = wire.exchanges.wait(exchange, PATIENCE_S, "u1")
    received, most = [], 0
    for data in answer.chunks:
        most = max(most, exchange.parts.qsize())
        received.append(data)
    thread.join(PATIENCE_S)
    assert b"".join(received) == b"".join(pieces())
    assert most <= WINDOW_CHUNKS


def test_answer_that_nobody_reads_waits_and_stops_no_other(wire):
    idle, active = wire.exchanges.open(wire), wire.exchanges.open(wire)
    body = PiecedBody(pieces())
    stuck = start_sending(wire, idle.id, body)
    start_sending(wire, active.id, PiecedBody(pieces()))
    unread = wire.exchanges.wait(idle, PATIENCE_S, "u1")
    read = wire.exchanges.wait(active, PATIENCE_S, "u1")
    assert b"".join(read.chunks) == b"".join(pieces())
    assert idle.parts.qsize() <= WINDOW_CHUNKS
    unread.chunks.close()
    stuck.join(PATIENCE_S)
    assert not stuck.is_alive()
    assert body.closed


def test_lost_link_ends_a_sender_that_waits(wire):
    exchange = wire.exchanges.open(wire)
    body = PiecedBody(pieces())
    thread = start_sending(wire, exchange.id, body)
    wire.exchanges.wait(exchange, PATIENCE_S, "u1")
    wire.windows.close()
    thread.join(PATIENCE_S)
    assert body.closed


HEAD = (200, (), 9, b"abc", False, 0, 0)


def opened(wire):
    exchange = wire.exchanges.open(wire)
    wire.exchanges.on_part(wire, AnswerHead(exchange.id, *HEAD))
    return exchange, wire.exchanges.wait(exchange, PATIENCE_S, "u1")


def test_parts_of_another_link_or_id_are_dropped(wire):
    exchange, answer = opened(wire)
    wire.exchanges.on_part(Wire(), AnswerChunk(exchange.id, b"forged", True))
    wire.exchanges.on_part(wire, AnswerChunk(exchange.id + 1, b"other", True))
    wire.exchanges.on_part(wire, AnswerChunk(exchange.id, b"defghi", True))
    assert b"".join(answer.chunks) == b"abcdefghi"


def test_parts_after_the_end_reach_no_later_exchange(wire):
    exchange, answer = opened(wire)
    answer.chunks.close()
    later = wire.exchanges.open(wire)
    wire.exchanges.on_part(wire, AnswerChunk(exchange.id, b"late", True))
    assert later.id != exchange.id
    assert later.parts.empty()


@pytest.mark.parametrize(
    "part",
    [
        lambda id: Refusal(id, Outcome.UNKNOWN, Reason.UPSTREAM_LOST, ""),
        lambda id: AnswerHead(id, *HEAD),
    ],
    ids=["cut", "second head"],
)
def test_answer_that_does_not_end_is_broken(wire, part):
    exchange, answer = opened(wire)
    wire.exchanges.on_part(wire, part(exchange.id))
    with pytest.raises(AnswerBroken):
        list(answer.chunks)


def test_link_lost_in_mid_body_breaks_the_answer(wire):
    _, answer = opened(wire)
    wire.exchanges.on_closed(wire)
    with pytest.raises(AnswerBroken):
        list(answer.chunks)


def test_chunk_before_its_head_is_no_answer(wire):
    exchange = wire.exchanges.open(wire)
    wire.exchanges.on_part(wire, AnswerChunk(exchange.id, b"early", True))
    reply = wire.exchanges.wait(exchange, PATIENCE_S, "u1")
    assert reply == Refused(Outcome.UNKNOWN, Reason.PEER_LOST, "answer out of order")


def test_answer_that_does_not_come_in_time_is_cancelled(wire):
    exchange = wire.exchanges.open(wire)
    reply = wire.exchanges.wait(exchange, 0.0, "u1")
    assert reply.outcome is Outcome.UNKNOWN
    assert wire.sent == [Cancel(exchange.id)]

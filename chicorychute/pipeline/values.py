"""Request and reply as the filters see them."""

from collections.abc import Callable, Iterator
from typing import Protocol

import attrs

from chicorychute.core.messages import Headers
from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.pipeline.cancel import CancelScope
from chicorychute.table.rows import Row


class Body(Protocol):
    """Bytes of an answer, to be read to the end or closed."""

    def __iter__(self) -> Iterator[bytes]:
        """Return the iterator."""

    def __next__(self) -> bytes:
        """Return the next bytes.

        Raises
        ------
        AnswerBroken
            If the rest of the body was lost.
        """

    def close(self) -> None:
        """Discard the rest."""


class BufferedBody:
    """Body that is already in memory."""

    def __init__(self, data: bytes):
        self._data: bytes | None = data

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        if self._data is None:
            raise StopIteration
        data, self._data = self._data, None
        return data

    def close(self) -> None:
        """Drop the data."""
        self._data = None


class ByteCountingBody:
    """Body that reports the size of each chunk read from it, in bytes."""

    def __init__(self, body: Body, on_bytes: Callable[[int], None]):
        self._body = body
        self._on_bytes = on_bytes

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        data = next(self._body)
        self._on_bytes(len(data))
        return data

    def close(self) -> None:
        """Discard the rest."""
        self._body.close()


@attrs.frozen
class AttemptRecord:
    """One send of a request to a gate, and the figures that decided it.

    Attributes
    ----------
    predicted_ms : float
        Predicted time to an answer, by which the gate was chosen.
    risk : float
        Probability of a failure that the gate had reported, 0 to 1.
    may_wait : bool
        Whether the gate was allowed to queue the request.
    elapsed_s : float
        Time from the send to its end.
    end : str
        Status of the answer, or reason and outcome of the refusal.
    """

    upstream: str
    predicted_ms: float
    risk: float
    may_wait: bool
    elapsed_s: float
    end: str


class ConnectionTurn(Protocol):
    """Place of a request among those that its caller sent on the same connection."""

    def wait(self) -> bool:
        """Wait for the answers of earlier requests; return whether its own may follow.

        It may not if one of them closes the connection.
        """

    def read_ahead(self) -> None:
        """Let the next request run before this one is answered."""


class OnlyTurn:
    """Turn of a request with no other on its connection."""

    def wait(self) -> bool:
        """Return True at once."""
        return True

    def read_ahead(self) -> None:
        """Do nothing, as no request follows."""


@attrs.define
class Request:
    """One request at its entry.

    Attributes
    ----------
    target : str
        Path and query as sent.
    deadline_s : float
        Reading of the daemon's clock after which the answer is of no use.
    asked_ms : float, optional
        Time limit that the caller has set for the request.
    attempt : int
        Number of sends to gates so far, counted across hops.
    relayed : bool
        Whether a peer relayed the request.
    scope : CancelScope
        Stops the request if its caller goes away.
    home_decided : bool
        Whether the home of the order has decided on it, or was asked to.
    relayed_for_routing : bool
        Whether a peer without digests of the service's upstreams relayed it, so that
        this daemon only chooses a gate.
    id : str
        Identifies the request in the logs of every daemon.
    host : str
        Host that the caller asked for.
    may_wait : bool
        Whether the gate of the current attempt may queue the request.
    attempt_records : list of AttemptRecord
        Sends to gates so far.
    stopped_by : str
        Why no further gate was tried, for the logs.
    turn : ConnectionTurn
        Place among the requests of its caller's connection.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    team: str
    key: str
    traceparent: str
    received_s: float
    asked_ms: float | None = None
    deadline_s: float = 0.0
    row: Row | None = None
    attempt: int = 0
    relayed: bool = False
    scope: CancelScope = attrs.field(factory=CancelScope)
    home_decided: bool = False
    relayed_for_routing: bool = False
    id: str = ""
    host: str = ""
    may_wait: bool = True
    attempt_records: list[AttemptRecord] = attrs.field(factory=list)
    stopped_by: str = ""
    turn: ConnectionTurn = attrs.field(factory=OnlyTurn)

    @property
    def path(self) -> str:
        """Target without its query."""
        return self.target.partition("?")[0]


@attrs.frozen
class Answer:
    """Upstream's answer; `chunks` raises AnswerBroken if it ends early.

    Attributes
    ----------
    length : int
        Length of the body in bytes, -1 where it is not known.
    """

    status: int
    headers: Headers
    length: int
    chunks: Body
    upstream: str = ""


@attrs.frozen
class Refused:
    """End of a request without an upstream's answer.

    Attributes
    ----------
    retry_s : float
        Time after which a slot is likely to be free, 0 if unknown.
    risk : float
        Probability that a request fails if sent to the gate that refused, 0 to 1.
    """

    outcome: Outcome
    reason: Reason
    detail: str = ""
    retry_s: float = 0.0
    risk: float = 0.0


Reply = Answer | Refused
Handler = Callable[[Request], Reply]
Filter = Callable[[Handler], Handler]


class AnswerBroken(Exception):
    """The rest of an answer's body was lost."""


def chain(filters: list[Filter], last: Handler) -> Handler:
    """Wrap `last` in `filters`, the first of them outermost."""
    handler = last
    for make in reversed(filters):
        handler = make(handler)
    return handler

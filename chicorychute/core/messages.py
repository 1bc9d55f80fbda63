"""Messages that daemons exchange, and the values they carry.

Times on the wire are durations in milliseconds, or readings of the sender's own
monotonic clock that only a link clock of the receiver interprets.
"""

import enum

import attrs

from chicorychute.core.outcomes import Outcome, Reason

PROTOCOL_VERSION = 4

Headers = tuple[tuple[str, str], ...]


class MemberStatus(enum.Enum):
    """State of an instance in the view of a daemon."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


class Verdict(enum.Enum):
    """Judgement of a gate on its own upstream."""

    HEALTHY = "healthy"
    COLD = "cold"
    SICK = "sick"
    PROBING = "probing"


@attrs.frozen
class Hello:
    """First message of each side of a link."""

    version: int
    instance: str
    incarnation: int
    zone: str
    region: str


@attrs.frozen
class PeerRequest:
    """Request as it travels between daemons.

    Attributes
    ----------
    target : str
        Path and query as the caller sent them.
    key : str
        Idempotency key, empty where the request has none.
    attempt : int
        Sends to gates so far, counted across hops, from 1.
    remaining_ms : float
        Time left before the deadline when the message was sent.
    id : str
        Names the request in the logs of every daemon.
    repeatable : bool
        Whether the request may run more than once.
    may_wait : bool
        Whether the request may wait for a slot, or be sent to an upstream in doubt.
    """

    method: str
    target: str
    headers: Headers
    service: str
    rank: str
    team: str
    key: str
    traceparent: str
    attempt: int
    remaining_ms: float
    id: str = ""
    repeatable: bool = True
    may_wait: bool = True


@attrs.frozen
class Forward:
    """Asks a gate to run a request at one of its upstreams."""

    id: int
    sent_s: float
    upstream: str
    request: PeerRequest
    body: bytes
    has_more: bool


@attrs.frozen
class Relay:
    """Asks a daemon to act as the entry, or home, of a request.

    Attributes
    ----------
    route_only : bool
        Whether the receiver shall only choose a gate: the sender holds no detail
        on the service, and the home of an order has ruled on it.
    """

    id: int
    sent_s: float
    request: PeerRequest
    body: bytes
    has_more: bool
    route_only: bool = False


@attrs.frozen
class BodyChunk:
    """Further bytes of a request's body."""

    id: int
    data: bytes
    last: bool


@attrs.frozen
class Cancel:
    """Withdraws a request that is no longer wanted."""

    id: int


@attrs.frozen
class AnswerHead:
    """Status and headers of an upstream's answer, with its first bytes.

    Attributes
    ----------
    length : int
        Length of the whole body in bytes, -1 where it is not known.
    last : bool
        Whether `body` ends the answer.
    """

    id: int
    status: int
    headers: Headers
    length: int
    body: bytes
    last: bool
    queued: int
    in_flight: int


@attrs.frozen
class AnswerChunk:
    """Further bytes of an answer's body."""

    id: int
    data: bytes
    last: bool


@attrs.frozen
class AnswerCredit:
    """Allows the sender of an answer that many further chunks."""

    id: int
    chunks: int


@attrs.frozen
class Refusal:
    """End of a request without a whole answer.

    Attributes
    ----------
    wait_ms : float
        Wait predicted for the request at the gate that refused it.
    risk : float
        Probability that a request sent there now fails, 0 to 1.
    """

    id: int
    outcome: Outcome
    reason: Reason
    detail: str
    wait_ms: float = 0.0
    risk: float = 0.0


@attrs.frozen
class RankWait:
    """Wait that a gate predicts for a request of one rank that came now."""

    rank: str
    wait_ms: float


@attrs.frozen
class RankDigest:
    """Recent results of one rank of work at an upstream.

    Attributes
    ----------
    count : int
        Results seen since the daemon started.
    p50_ms, p90_ms : float
        Percentiles of recent service times, 0 where none is known.
    failure_share, shed_share, empty_share : float
        Shares of recent results, 0 to 1.
    """

    rank: str
    count: int
    p50_ms: float
    p90_ms: float
    failure_share: float
    shed_share: float
    empty_share: float


@attrs.frozen
class UpstreamDigest:
    """Load and health of an upstream as its gate reports them.

    Attributes
    ----------
    latency_ms : float
        Typical service time of recent requests.
    failure_share : float
        Share of recent requests that failed, 0 to 1.
    weight : float
        Share of its slots that a warming upstream may use, 0 to 1.
    suspicion : float
        Evidence against the upstream as a share of what ejects it, 0 to 1.
    ranks : tuple of RankDigest
        Recent results that peers of the service compare themselves with.
    waits : tuple of RankWait
        Wait predicted for each rank, by which entries compare gates.
    risk : float
        Probability that a request sent now fails, 0 to 1.
    """

    upstream: str
    service: str
    verdict: Verdict
    slots: int
    in_flight: int
    queued: int
    latency_ms: float
    failure_share: float
    weight: float
    suspicion: float = 0.0
    ranks: tuple[RankDigest, ...] = attrs.field(
        default=(), metadata={"item": RankDigest}
    )
    waits: tuple[RankWait, ...] = attrs.field(default=(), metadata={"item": RankWait})
    risk: float = 0.0


@attrs.frozen
class MemberRecord:
    """What the fleet knows about one instance.

    The pair (incarnation, heartbeat) orders records of the same instance.

    Attributes
    ----------
    table_hash : str
        Hash of the content of the table in force.
    services : tuple of str
        Services of its upstreams.
    complete : bool
        Whether `upstreams` is given; it is left out for peers that share none
        of the services.
    """

    instance: str
    incarnation: int
    heartbeat: int
    status: MemberStatus
    host: str
    peer_port: int
    zone: str
    region: str
    table_version: int
    upstreams: tuple[UpstreamDigest, ...] = attrs.field(
        metadata={"item": UpstreamDigest}
    )
    table_hash: str = ""
    services: tuple[str, ...] = ()
    complete: bool = True


@attrs.frozen
class Gossip:
    """Records that the sender holds; `wants_reply` asks for the receiver's own."""

    sender: str
    wants_reply: bool
    records: tuple[MemberRecord, ...] = attrs.field(metadata={"item": MemberRecord})


@attrs.frozen
class DigestUpdate:
    """Tells a peer the digests of the services that both sides host.

    Attributes
    ----------
    incarnation, heartbeat : int
        Of the sender, whose digests these are.
    """

    sender: str
    incarnation: int
    heartbeat: int
    upstreams: tuple[UpstreamDigest, ...] = attrs.field(
        metadata={"item": UpstreamDigest}
    )


@attrs.frozen
class Beat:
    """Sender's own record, and the last one that it heard from the receiver.

    Attributes
    ----------
    echo, echo_incarnation : int
        Heartbeat and incarnation of the receiver's record; 0 where none was heard.
    """

    record: MemberRecord
    echo: int
    echo_incarnation: int


@attrs.frozen
class Pulse:
    """Short beat to a peer that knows the rest of the sender's record.

    Attributes
    ----------
    heartbeat : int
        Of the sender, whom the link names.
    echo : int
        Heartbeat of the receiver's last record, 0 where none was heard.
    upstreams : tuple of UpstreamDigest
        Without the summaries of ranks, which change slowly.
    """

    heartbeat: int
    echo: int
    upstreams: tuple[UpstreamDigest, ...] = attrs.field(
        metadata={"item": UpstreamDigest}
    )


@attrs.frozen
class ProbeRequest:
    """Asks a peer to find out whether another instance lives."""

    sender: str
    target: str


@attrs.frozen
class TableAnnounce:
    """Says which table the sender has in force."""

    version: int
    hash: str


@attrs.frozen
class TableRequest:
    """Asks a peer for the table if it holds a newer one."""

    known_version: int
    known_hash: str = ""


@attrs.frozen
class TableUpdate:
    """Carries a whole table."""

    version: int
    text: str


@attrs.frozen
class QuarantineNotice:
    """Spreads the fingerprint of a request in flight at a crash.

    Attributes
    ----------
    remaining_s : float
        Time for which the crash still counts.
    instance : str
        Instance whose upstream crashed.
    crash_id : str
        Names the crash in the whole fleet.
    sole : bool
        Whether no other request was in flight.
    """

    fingerprint: str
    upstream: str
    remaining_s: float
    instance: str = ""
    crash_id: str = ""
    sole: bool = False


@attrs.frozen
class Recall:
    """Asks a gate, mostly through a third instance, for the end of a request.

    Attributes
    ----------
    gate, gate_incarnation
        Process that the request was sent to; a later one knows nothing of it.
    entry, entry_incarnation, id
        Process that sent it, and its number there.
    until_deadline_ms : float
        Time until its deadline.
    request_id : str
        Id of the caller's request, for the logs.
    """

    gate: str
    gate_incarnation: int
    entry: str
    entry_incarnation: int
    id: int
    until_deadline_ms: float
    request_id: str


@attrs.frozen
class RecallNoted:
    """Tells an entry that the request runs and its end will be told."""

    entry: str
    entry_incarnation: int
    id: int


@attrs.frozen
class RecalledAnswer:
    """Tells an entry the answer to a request that it recalled."""

    entry: str
    entry_incarnation: int
    head: AnswerHead


@attrs.frozen
class RecalledRefusal:
    """Tells an entry the refusal of a request that it recalled."""

    entry: str
    entry_incarnation: int
    refusal: Refusal


Message = (
    Hello
    | Forward
    | Relay
    | BodyChunk
    | Cancel
    | AnswerHead
    | AnswerChunk
    | Refusal
    | Gossip
    | TableRequest
    | TableUpdate
    | QuarantineNotice
    | ProbeRequest
    | TableAnnounce
    | AnswerCredit
    | DigestUpdate
    | Beat
    | Recall
    | RecallNoted
    | RecalledAnswer
    | RecalledRefusal
    | Pulse
)

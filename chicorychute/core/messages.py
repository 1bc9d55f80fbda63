"""Messages that daemons exchange, and the values they carry.

A message travels as a CBOR array of its fields by position, so that fields and
members of enumerations may be renamed but not moved.

Times on the wire are durations, or readings of the sender's own monotonic clock
(``sent_s``), which only the receiver's clock of that link can interpret.
"""

import enum

import attrs

from chicorychute.core.outcomes import Outcome, Reason

PROTOCOL_VERSION = 5

Headers = tuple[tuple[str, str], ...]


class MemberStatus(enum.Enum):
    """State of an instance as seen by a daemon."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


class Verdict(enum.Enum):
    """Decision of a gate on the health of its own upstream."""

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
    """Request of a caller as it travels between daemons.

    Attributes
    ----------
    target : str
        Path and query as the caller sent them.
    key : str
        Idempotency key, empty where the request has none.
    attempt : int
        Number of sends to gates so far, counted across hops, from 1.
    remaining_ms : float
        Time left before the deadline when the message was sent.
    id : str
        Id of the request in the logs of every daemon.
    repeatable : bool
        Whether the request may run more than once.
    may_wait : bool
        Whether the request may wait for a slot, or be sent to an upstream at risk.
    target_ms : float
        Time for which the answer was still wanted when the message was sent, 0 or
        less if it is late already.
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
    target_ms: float = 0.0


@attrs.frozen
class Forward:
    """Asks a gate to run a request at one of its upstreams.

    Attributes
    ----------
    id : int
        Number of the request at the sender; all messages about it carry it.
    sent_s : float
        Sender's monotonic clock when the message was sent.
    has_more : bool
        Whether further chunks of the body follow.
    """

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
        Whether the receiver only chooses a gate: the sender has no digests of
        the service's upstreams, and the home of an order has already decided that
        it may run.
    """

    id: int
    sent_s: float
    request: PeerRequest
    body: bytes
    has_more: bool
    route_only: bool = False


@attrs.frozen
class BodyChunk:
    """Next bytes of a request's body."""

    id: int
    data: bytes
    last: bool


@attrs.frozen
class Cancel:
    """Cancels a request that is no longer wanted."""

    id: int


@attrs.frozen
class AnswerHead:
    """Status and headers of an upstream's answer, with its first bytes.

    Attributes
    ----------
    length : int
        Length of the complete body in bytes, -1 where it is not known.
    last : bool
        Whether `body` ends the answer.
    queued, in_flight : int
        Requests that wait for, and that run at, the upstream.
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
    """Next bytes of an answer's body."""

    id: int
    data: bytes
    last: bool


@attrs.frozen
class AnswerCredit:
    """Flow control: lets the sender of an answer send that many more chunks."""

    id: int
    chunks: int


@attrs.frozen
class Refusal:
    """End of a request without a complete answer.

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
    """Wait that a gate predicts for a request of one rank that arrives now."""

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
        Fractions of recent results, 0 to 1.
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
        Fraction of recent requests that failed, 0 to 1.
    weight : float
        Fraction of its slots that an upstream may use while it warms up, 0 to 1.
    suspicion : float
        Evidence against the upstream as a fraction of what ejects it, 0 to 1.
    ranks : tuple of RankDigest
        Recent results, with which other upstreams of the service are compared.
    waits : tuple of RankWait
        Wait predicted for each rank; entries compare gates by it.
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
    """State of one instance as the fleet knows it.

    The pair (incarnation, heartbeat) orders records of the same instance.

    Attributes
    ----------
    table_hash : str
        Hash of the content of the table in force.
    services : tuple of str
        Services of its upstreams.
    complete : bool
        Whether `upstreams` is filled in; it is empty for peers that host none of
        the services.
    list_revision : int
        Revision of the platform's list that the instance has read from the platform,
        0 if it does not read the list.
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
    list_revision: int = 0


@attrs.frozen
class Gossip:
    """Records known to the sender; `wants_reply` asks for the receiver's."""

    sender: str
    wants_reply: bool
    records: tuple[MemberRecord, ...] = attrs.field(metadata={"item": MemberRecord})


@attrs.frozen
class DigestUpdate:
    """Sends a peer the digests of the services that both sides host.

    Attributes
    ----------
    incarnation, heartbeat : int
        Incarnation and heartbeat of the sender, to which the digests belong.
    """

    sender: str
    incarnation: int
    heartbeat: int
    upstreams: tuple[UpstreamDigest, ...] = attrs.field(
        metadata={"item": UpstreamDigest}
    )


@attrs.frozen
class Beat:
    """Heartbeat with the sender's record and an echo of the receiver's last one.

    Attributes
    ----------
    echo, echo_incarnation : int
        Heartbeat and incarnation of the last record received from the receiver;
        0 where none was received.
    """

    record: MemberRecord
    echo: int
    echo_incarnation: int


@attrs.frozen
class Pulse:
    """Short heartbeat to a peer that knows the rest of the sender's record.

    Attributes
    ----------
    heartbeat : int
        Heartbeat of the sender; the link identifies the sender.
    echo : int
        Heartbeat of the receiver's last record, 0 where none was received.
    upstreams : tuple of UpstreamDigest
        Digests without `ranks`, which change slowly.
    list_revision : int
        As in the record of the sender.
    """

    heartbeat: int
    echo: int
    upstreams: tuple[UpstreamDigest, ...] = attrs.field(
        metadata={"item": UpstreamDigest}
    )
    list_revision: int = 0


@attrs.frozen
class ProbeRequest:
    """Indirect probe: asks a peer whether another instance is alive."""

    sender: str
    target: str


@attrs.frozen
class TableAnnounce:
    """Announces the table that the sender has in force."""

    version: int
    hash: str


@attrs.frozen
class TableRequest:
    """Asks a peer for its table if that is newer than the known one."""

    known_version: int
    known_hash: str = ""


@attrs.frozen
class TableUpdate:
    """Complete text of a table."""

    version: int
    text: str


@attrs.frozen
class QuarantineNotice:
    """Publishes the fingerprint of a request that was in flight at a crash.

    Attributes
    ----------
    remaining_s : float
        Time in seconds for which the crash still counts.
    instance : str
        Instance whose upstream crashed.
    crash_id : str
        Id of the crash, unique in the fleet.
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
    """Asks a gate, usually through a third instance, for the end of a request.

    Attributes
    ----------
    gate : str
    gate_incarnation : int
        Process that the request was sent to; a later process at the same gate
        knows nothing of the request.
    entry : str
    entry_incarnation, id : int
        Process that sent the request, and the number of the request there.
    until_deadline_ms : float
        Time until the deadline of the request.
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
    """Confirms to an entry that the request runs and its end will be sent."""

    entry: str
    entry_incarnation: int
    id: int


@attrs.frozen
class RecalledAnswer:
    """Sends an entry the answer to a request that it recalled."""

    entry: str
    entry_incarnation: int
    head: AnswerHead


@attrs.frozen
class RecalledRefusal:
    """Sends an entry the refusal of a request that it recalled."""

    entry: str
    entry_incarnation: int
    refusal: Refusal


@attrs.frozen
class ListedUpstream:
    """Incarnation of an upstream on the platform's instance list.

    Attributes
    ----------
    id : str
        Identifies this incarnation of the upstream, and no other.
    address : str
        ``host:port`` at which it listens; a later upstream may reuse it.
    leaving : bool
        Whether it accepts no new work.
    cold_s : float
        Seconds for which it is still slow after its start.
    started_ms : int
        Its start in milliseconds of Unix time, 0 if unknown.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool
    cold_s: float
    started_ms: int


@attrs.frozen
class ListRequest:
    """Asks a peer for the changes of the platform's list since a revision."""

    known_revision: int


@attrs.frozen
class ListUpdate:
    """Changes of the platform's list.

    Attributes
    ----------
    since : int
        Revision that the changes follow; 0 if `changed` is the whole list.
    revision : int
        Revision up to which the list is complete with them.
    removed : tuple of str
        Ids of the upstreams that are no longer listed.
    """

    since: int
    revision: int
    changed: tuple[ListedUpstream, ...] = attrs.field(metadata={"item": ListedUpstream})
    removed: tuple[str, ...]


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
    | ListRequest
    | ListUpdate
)

"""Outcomes that a caller receives, and the reasons for a refusal."""

import enum

import attrs


class Outcome(enum.Enum):
    """What is known about whether an upstream ran a request."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(enum.Enum):
    """Cause of a refusal: a response that no upstream gave.

    The values are sent to callers and peers; they stay when a member is renamed.
    """

    BAD_REQUEST = "bad-request"
    NO_ROUTE = "no-route"
    NO_TABLE = "no-table"
    TOO_LARGE = "too-large"
    SLOW_REQUEST = "slow-request"
    INTERNAL = "internal"
    DEADLINE = "deadline"
    OVERLOAD = "overload"
    RATE = "rate"
    NO_UPSTREAM = "no-upstream"
    RETRY_BUDGET = "retry-budget"
    UPSTREAM_REFUSED = "upstream-refused"
    UPSTREAM_LOST = "upstream-lost"
    PEER_LOST = "peer-lost"
    LEAVING = "leaving"
    CANCELLED = "cancelled"
    QUARANTINED = "quarantined"
    KEY_REQUIRED = "key-required"
    KEY_EXPIRED = "key-expired"
    KEY_MISMATCH = "key-mismatch"
    KEY_CLOSED = "key-closed"
    HOME_LOST = "home-lost"
    HOME_UNREACHABLE = "home-unreachable"
    LEDGER_FULL = "ledger-full"
    ALREADY_RUNNING = "already-running"
    ANSWER_NOT_KEPT = "answer-not-kept"
    REGION_BUDGET = "region-budget"
    UPSTREAM_BUSY = "upstream-busy"
    UPSTREAM_AT_RISK = "upstream-doubted"
    NO_FREE_SLOT = "no-free-slot"
    UPSTREAM_REPLACED = "upstream-replaced"


@attrs.frozen
class ReasonSpec:
    """HTTP status and remedy of one reason."""

    status: int
    remedy: str


REASON_SPECS: dict[Reason, ReasonSpec] = {
    Reason.BAD_REQUEST: ReasonSpec(400, "correct the request and send it again"),
    Reason.NO_ROUTE: ReasonSpec(404, "use a path that a row of the table names"),
    Reason.NO_TABLE: ReasonSpec(503, "send it again once the daemon is ready"),
    Reason.TOO_LARGE: ReasonSpec(413, "send a smaller body"),
    Reason.SLOW_REQUEST: ReasonSpec(408, "send the whole request without pauses"),
    Reason.INTERNAL: ReasonSpec(500, "ask again with the same key, and report it"),
    Reason.DEADLINE: ReasonSpec(504, "send it again with more time"),
    Reason.OVERLOAD: ReasonSpec(503, "send it again later"),
    Reason.RATE: ReasonSpec(429, "slow down, then send it again"),
    Reason.NO_UPSTREAM: ReasonSpec(503, "send it again later"),
    Reason.RETRY_BUDGET: ReasonSpec(503, "send it again later"),
    Reason.UPSTREAM_REFUSED: ReasonSpec(503, "send it again later"),
    Reason.UPSTREAM_LOST: ReasonSpec(502, "ask again with the same key"),
    Reason.PEER_LOST: ReasonSpec(502, "ask again with the same key"),
    Reason.LEAVING: ReasonSpec(503, "send it to another instance"),
    Reason.CANCELLED: ReasonSpec(499, "send it again if it is still wanted"),
    Reason.QUARANTINED: ReasonSpec(422, "change the request: it crashes upstreams"),
    Reason.KEY_REQUIRED: ReasonSpec(
        428, "send it again with Idempotency-Key: <Chute-Home>/<unique part>"
    ),
    Reason.KEY_EXPIRED: ReasonSpec(
        409, "find out whether the order ran before placing it under a new key"
    ),
    Reason.KEY_MISMATCH: ReasonSpec(
        422, "use a new unique part: this key names a different request"
    ),
    Reason.KEY_CLOSED: ReasonSpec(
        409, "place it under a new key: Idempotency-Key: <Chute-Home>/<unique part>"
    ),
    Reason.HOME_UNREACHABLE: ReasonSpec(
        502, "ask again with the same key, through another instance if this stays"
    ),
    Reason.HOME_LOST: ReasonSpec(
        502, "find out whether the order ran before placing it under a new key"
    ),
    Reason.LEDGER_FULL: ReasonSpec(503, "send it again later"),
    Reason.ALREADY_RUNNING: ReasonSpec(409, "ask again with the same key later"),
    Reason.ANSWER_NOT_KEPT: ReasonSpec(
        410, "it ran: look its result up at the service, don't place it again"
    ),
    Reason.UPSTREAM_AT_RISK: ReasonSpec(503, "send it again later"),
    Reason.NO_FREE_SLOT: ReasonSpec(503, "send it again later"),
    Reason.UPSTREAM_BUSY: ReasonSpec(503, "send it again later"),
    Reason.UPSTREAM_REPLACED: ReasonSpec(503, "send it again later"),
    Reason.REGION_BUDGET: ReasonSpec(
        503, "send it again later, or raise cross_region_kbps of its row"
    ),
}

"""Failure of a request at its upstream, and the headers that are not passed on."""

from chicorychute.core.outcomes import Outcome, Reason

# Headers that concern one connection. `host` and `content-length` are set anew for
# each connection.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
    }
)


class UpstreamFailure(Exception):
    """A request ended at the upstream without a complete answer.

    Parameters
    ----------
    outcome : Outcome
        NOT_RUN only if no byte of the request reached the upstream, or the upstream
        itself reports that it did not run the request.
    """

    def __init__(self, outcome: Outcome, reason: Reason, detail: str):
        super().__init__(detail)
        self.outcome = outcome
        self.reason = reason
        self.detail = detail

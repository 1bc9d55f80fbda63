"""End of a request at its upstream without a whole answer."""

from chicorychute.core.outcomes import Outcome, Reason

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
    """A request ended at the upstream without a whole answer.

    Parameters
    ----------
    outcome : Outcome
        NOT_RUN only where no byte of the request reached the upstream, or the
        upstream itself says that it did not run it.
    """

    def __init__(self, outcome: Outcome, reason: Reason, detail: str):
        super().__init__(detail)
        self.outcome = outcome
        self.reason = reason
        self.detail = detail

"""Decides after each attempt at a request whether to make another.

Events are the ends of attempts, actions are `Retry` or `Stop`. This module sends
nothing; the entry drives the object and carries its actions out.
"""

import attrs

from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.routing.budget import RetryBudget
from chicorychute.table.rows import Repeat

MAX_ATTEMPTS = 3
# Attempts that may fail to reach an upstream, refused by a gate or lost on the path to
# it, before a request is given up.
MAX_UNREACHED_ATTEMPTS = 12
SERVER_ERROR = 500

FINAL_REASONS = frozenset(
    {
        Reason.BAD_REQUEST,
        Reason.CANCELLED,
        Reason.DEADLINE,
        Reason.QUARANTINED,
        Reason.RATE,
        Reason.TOO_LARGE,
    }
)
# Refusals by a gate, or failures of the network path to it: no upstream was reached.
UNREACHED_REASONS = frozenset(
    {
        Reason.LEAVING,
        Reason.NO_FREE_SLOT,
        Reason.NO_UPSTREAM,
        Reason.OVERLOAD,
        Reason.PEER_LOST,
        Reason.UPSTREAM_AT_RISK,
        Reason.UPSTREAM_REFUSED,
    }
)
SEVERITY_BY_OUTCOME = {Outcome.NOT_RUN: 0, Outcome.UNKNOWN: 1, Outcome.RAN: 2}


@attrs.frozen
class Answered:
    """An upstream answered with this status."""

    status: int


@attrs.frozen
class Unanswered:
    """An attempt ended without an answer."""

    outcome: Outcome
    reason: Reason


AttemptEnd = Answered | Unanswered


@attrs.frozen
class Retry:
    """The request may be sent to another upstream, if one can answer in time."""


@attrs.frozen
class Stop:
    """The request ends with its last attempt."""


Action = Retry | Stop


class Attempts:
    """Attempts at one request.

    Parameters
    ----------
    repeat : Repeat
        Whether the request may run more than once.
    budget : RetryBudget
        Retries that the service has left.
    deadline_s : float
        Reading of the monotonic clock after which no attempt starts.
    sent : int
        Attempts made on earlier hops, before the request came here.
    max_attempts : int
        Attempts that may reach an upstream. Those that end before one are not
        counted, and cost no budget.
    """

    def __init__(
        self,
        repeat: Repeat,
        budget: RetryBudget,
        deadline_s: float,
        sent: int = 0,
        max_attempts: int = MAX_ATTEMPTS,
    ):
        self._max_attempts = max_attempts
        self._unreached_attempts = 0
        self._retry_paid = False
        self._repeat = repeat
        self._budget = budget
        self._deadline_s = deadline_s
        self._worst_outcome = Outcome.NOT_RUN
        self.sent = sent

    @property
    def outcome(self) -> Outcome:
        """Worst outcome of all attempts so far."""
        return self._worst_outcome

    def is_next_final(self) -> bool:
        """Return whether a failure of the next attempt ends the request."""
        if self._repeat is not Repeat.IDEMPOTENT:
            return True
        if self.sent + 1 >= self._max_attempts:
            return True
        pays_next = self.sent > 0 and not self._retry_paid
        return not self._budget.allows(2 if pays_next else 1)

    def try_start(self, now_s: float, predicted_s: float) -> bool:
        """Return whether an attempt may be sent, and count it if so.

        A retry needs time for the predicted answer, and takes from the budget of its
        service unless the attempts since the last withdrawal reached no upstream.
        """
        if self._is_exhausted() or now_s >= self._deadline_s:
            return False
        is_retry = self.sent or self._unreached_attempts
        if is_retry and now_s + predicted_s > self._deadline_s:
            return False
        if self.sent and not self._retry_paid and not self._budget.withdraw():
            return False
        self._retry_paid = self.sent > 0
        self.sent += 1
        return True

    def on_end(self, end: AttemptEnd, now_s: float) -> Action:
        """Record the end of an attempt and return what to do next."""
        self._record(end)
        if self._is_exhausted() or now_s >= self._deadline_s:
            return Stop()
        return Retry() if self._is_repeatable(end) else Stop()

    def combined_outcome(self, outcome: Outcome) -> Outcome:
        """Return the worst of `outcome` and those of earlier attempts."""
        return max(self._worst_outcome, outcome, key=SEVERITY_BY_OUTCOME.__getitem__)

    def _is_exhausted(self) -> bool:
        return (
            self.sent >= self._max_attempts
            or self._unreached_attempts > MAX_UNREACHED_ATTEMPTS
        )

    def _record(self, end: AttemptEnd) -> None:
        match end:
            case Answered():
                self._retry_paid = False
                self._worst_outcome = Outcome.RAN
            case Unanswered(Outcome.NOT_RUN, reason) if reason in UNREACHED_REASONS:
                self.sent -= 1
                self._unreached_attempts += 1
            case Unanswered(outcome):
                self._retry_paid = False
                self._worst_outcome = self.combined_outcome(outcome)

    def _is_repeatable(self, end: AttemptEnd) -> bool:
        idempotent = self._repeat is Repeat.IDEMPOTENT
        match end:
            case Answered(status):
                return idempotent and status >= SERVER_ERROR
            case Unanswered(Outcome.NOT_RUN, reason):
                return reason not in FINAL_REASONS
            case Unanswered():
                return idempotent

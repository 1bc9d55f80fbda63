"""Limits the request rate of each team at one gate."""

from collections import OrderedDict

import attrs

from chicorychute.core.clock import Clock

# A quiet team may save up as many requests as its rate allows in this time.
BURST_S = 1.0
# A bucket that is full again equals a new one, so that it need not be kept.
BUCKET_LIMIT = 4096


@attrs.define
class _Bucket:
    tokens: float
    refilled_s: float


class TeamRates:
    """Token buckets by rank and team, the least recently used dropped first."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._bucket_by_team: OrderedDict[tuple[str, str], _Bucket] = OrderedDict()

    def __len__(self) -> int:
        return len(self._bucket_by_team)

    def try_consume(self, rank: str, team: str, rate: float) -> bool:
        """Consume a token of a team's bucket; return False if it is empty.

        Parameters
        ----------
        rate : float
            Requests per second that the team may send, 0 for no limit.
        """
        if rate <= 0:
            return True
        now_s = self._clock.monotonic()
        burst = max(1.0, rate * BURST_S)
        bucket = self._bucket_by_team.pop((rank, team), None)
        if bucket is None:
            bucket = _Bucket(burst, now_s)
            if len(self._bucket_by_team) >= BUCKET_LIMIT:
                self._bucket_by_team.popitem(last=False)
        self._bucket_by_team[rank, team] = bucket
        refilled = (now_s - bucket.refilled_s) * rate
        bucket.tokens = min(bucket.tokens + refilled, burst)
        bucket.refilled_s = now_s
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True

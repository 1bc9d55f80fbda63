"""Picks instances to route a request when the entry has no detail on its service."""

import random
from collections.abc import Iterable

from chicorychute.core.messages import MemberRecord
from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.routing.attempts import Unanswered
from chicorychute.routing.candidates import distance_between

MAX_HOSTS = 2
# Refusals by a host for reasons that need not hold for another host. An overload
# concerns the whole service, so it is not listed.
OTHER_HOST_REASONS = frozenset({Reason.LEAVING, Reason.NO_UPSTREAM, Reason.PEER_LOST})


def nearest_hosts(
    own: MemberRecord, hosts: Iterable[MemberRecord], rng: random.Random
) -> list[MemberRecord]:
    """Return the hosts to try, nearest first, in random order at equal distance."""
    sort_rows = [(distance_between(own, host), rng.random(), host) for host in hosts]
    sort_rows.sort(key=lambda item: item[:2])
    return [host for _, _, host in sort_rows[:MAX_HOSTS]]


def may_try_another_host(end: Unanswered) -> bool:
    """Return whether another host may route a request that one host refused."""
    return end.outcome is Outcome.NOT_RUN and end.reason in OTHER_HOST_REASONS

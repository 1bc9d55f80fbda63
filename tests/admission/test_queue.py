"""The ranked queue keeps its slots, its order and the deadlines.

Guards against requests that run beyond the slots or past their deadline, are lost or
decided twice, above all when a new table changes slots and ranks while they wait, and
against a burst in which every request waits until its answer is late.
"""

import heapq
import math
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from chicorychute.admission.queue import (
    Granted,
    Queued,
    RankPolicy,
    Refused,
    Ticket,
    UpstreamQueue,
)
from chicorychute.core.clock import ManualClock
from chicorychute.core.outcomes import Reason

WANTED_S = 1.5
LATE_WORTH = 0.3
POLICIES = (RankPolicy("order", 1, 0.3), RankPolicy("check", 9, 0.1))


@pytest.fixture
def clock():
    return ManualClock()


def grants(decisions):
    return [d.ticket for d in decisions if isinstance(d, Granted)]


def reasons(decisions):
    return [d.reason for d in decisions if isinstance(d, Refused)]


def fill(queue, count, rank="check", deadline_s=100.0):
    tickets = [Ticket(rank, deadline_s) for _ in range(count)]
    return tickets, [queue.submit(ticket) for ticket in tickets]


def test_urgent_request_is_served_before_queued_less_urgent_ones(clock):
    queue = UpstreamQueue(1, POLICIES, clock)
    running = fill(queue, 20)[0][0]
    urgent = Ticket("order", 100.0)
    assert queue.submit(urgent) == Queued(urgent)
    assert grants(queue.release(running)) == [urgent]


def test_ticket_whose_deadline_has_passed_when_a_slot_frees_is_refused(clock):
    queue = UpstreamQueue(1, POLICIES, clock)
    running = fill(queue, 1)[0][0]
    expired, in_time = Ticket("check", 5.0), Ticket("check", 100.0)
    queue.submit(expired)
    queue.submit(in_time)
    clock.advance(6.0)
    decisions = queue.release(running)
    assert decisions == [Refused(expired, Reason.DEADLINE), Granted(in_time)]


def test_predicted_wait_past_the_deadline_is_refused_on_arrival(clock):
    queue = UpstreamQueue(1, POLICIES, clock)
    (running, *_), _ = fill(queue, 11)
    clock.advance(1.0)
    queue.release(running)
    near_deadline, far_deadline = Ticket("check", 6.0), Ticket("check", 100.0)
    assert queue.submit(near_deadline) == Refused(near_deadline, Reason.OVERLOAD)
    assert queue.submit(far_deadline) == Queued(far_deadline)


def test_outdated_service_time_estimate_does_not_refuse_requests(clock):
    queue = UpstreamQueue(1, POLICIES, clock)
    slow = fill(queue, 1, deadline_s=1000.0)[0][0]
    clock.advance(60.0)
    queue.release(slow)
    clock.advance(10.0)
    assert isinstance(queue.submit(Ticket("order", 100.0)), Granted)
    assert isinstance(queue.submit(Ticket("check", 100.0)), Queued)


def test_fewer_slots_in_a_new_table_take_effect_before_the_next_grant(clock):
    queue = UpstreamQueue(4, POLICIES, clock)
    tickets, _ = fill(queue, 8)
    queue.configure(2, POLICIES)
    for ticket in tickets[:2]:
        assert queue.release(ticket) == []
    assert len(grants(queue.release(tickets[2]))) == 1
    assert queue.in_flight == 2


def test_more_slots_in_a_new_table_are_filled_on_advance(clock):
    queue = UpstreamQueue(1, POLICIES, clock)
    tickets, _ = fill(queue, 3)
    queue.configure(3, POLICIES)
    assert grants(queue.advance()) == tickets[1:]


def test_waiting_rank_removed_from_the_table_keeps_its_position_and_priority(clock):
    urgent, other = RankPolicy("order", 1, 0.3), RankPolicy("check", 9, 0.1)
    queue = UpstreamQueue(1, (urgent, other), clock)
    (running,) = fill(queue, 1)[0]
    check, order = Ticket("check", 100.0), Ticket("order", 100.0)
    queue.submit(check)
    queue.submit(order)
    queue.configure(1, (other, RankPolicy("order-2", 1, 0.3)))
    assert queue.advance() == []
    assert grants(queue.release(running)) == [order]
    queue.configure(1, (other,))  # second table while `order` runs
    assert grants(queue.release(order)) == [check]
    assert queue.queued == 0


def test_rank_of_the_previous_table_is_still_served(clock):
    """An entry that has not received the new table still uses the old one."""
    queue = UpstreamQueue(1, POLICIES, clock)
    queue.configure(1, POLICIES[:1])
    assert isinstance(queue.submit(Ticket(POLICIES[1].rank, 100.0)), Granted)
    assert queue.resolve(POLICIES[1].rank) == POLICIES[1].rank


def test_unknown_rank_is_served_as_the_least_urgent(clock):
    policies = (RankPolicy("check", 9, 0.1), RankPolicy("order", 1, 0.3))
    queue = UpstreamQueue(1, policies, clock)
    assert queue.resolve("newer") == "check"
    assert queue.resolve("order") == "order"


def test_retired_ranks_are_removed_with_the_next_table_once_empty(clock):
    queue = UpstreamQueue(1, POLICIES, clock)
    queue.configure(1, POLICIES[:1])
    queue.configure(1, POLICIES[:1])
    assert list(queue._waiting_by_rank) == [POLICIES[0].rank]


def test_waiting_request_of_a_service_removed_from_the_table_is_refused(clock):
    queue = UpstreamQueue(1, POLICIES, clock)
    fill(queue, 3)
    queue.configure(0, ())
    assert reasons(queue.advance()) == [Reason.NO_UPSTREAM] * 2
    assert queue.queued == 0
    refusal = queue.submit(Ticket(POLICIES[0].rank, 100.0))
    assert refusal.reason is Reason.NO_UPSTREAM


def test_rank_stays_within_its_own_slots(clock):
    policies = (RankPolicy("order", 1, 0.3), RankPolicy("check", 9, 0.1, slots=1))
    queue = UpstreamQueue(3, policies, clock)
    (first, second), _ = fill(queue, 2)
    assert (queue.in_flight, queue.queued) == (1, 1)
    assert isinstance(queue.submit(Ticket("order", 100.0)), Granted)
    assert grants(queue.release(first)) == [second]


def test_no_other_request_runs_while_a_ticket_runs_alone(clock):
    queue = UpstreamQueue(2, POLICIES, clock)
    (first, second), _ = fill(queue, 2)
    suspect = Ticket("order", 100.0, alone=True)
    other = Ticket("order", 100.0)
    queue.submit(suspect)
    queue.submit(other)
    assert queue.release(first) == []
    assert grants(queue.release(second)) == [suspect]
    assert queue.advance() == []
    assert grants(queue.release(suspect)) == [other]


def test_deadlines_of_cancelled_tickets_do_not_accumulate(clock):
    queue = UpstreamQueue(1, POLICIES, clock)
    fill(queue, 1)
    for _ in range(5000):
        ticket = Ticket("check", 1e6)
        queue.submit(ticket)
        assert queue.cancel(ticket)
    assert len(queue._deadlines) < 200


STEP = st.tuples(
    st.sampled_from(["submit", "release", "cancel", "advance", "slots"]),
    st.sampled_from(["order", "check"]),
    st.integers(0, 5),
    st.booleans(),
)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.lists(STEP, max_size=60))
def test_slots_are_never_exceeded_and_every_ticket_ends_once(steps):
    clock = ManualClock()
    queue = UpstreamQueue(2, POLICIES, clock)
    running, waiting, ended = [], [], set()

    def apply(decisions, slot_limit):
        for decision in decisions:
            ticket = decision.ticket
            assert ticket not in ended and ticket not in running
            if isinstance(decision, Queued):
                waiting.append(ticket)
                continue
            if ticket in waiting:
                waiting.remove(ticket)
            if isinstance(decision, Refused):
                ended.add(ticket)
                continue
            assert clock.monotonic() < ticket.deadline_s
            assert len(running) < slot_limit
            assert not any(other.alone for other in running)
            assert not (ticket.alone and running)
            running.append(ticket)

    for action, rank, number, alone in steps:
        clock.advance(number * 0.25)
        match action:
            case "submit":
                ticket = Ticket(rank, clock.monotonic() + number, alone=alone)
                apply([queue.submit(ticket)], queue.slots)
            case "release" if running:
                ticket = running.pop(number % len(running))
                ended.add(ticket)
                apply(queue.release(ticket), queue.slots)
            case "cancel" if waiting:
                ticket = waiting.pop(number % len(waiting))
                assert queue.cancel(ticket)
                ended.add(ticket)
            case "advance":
                apply(queue.advance(), queue.slots)
            case "slots":
                queue.configure(1 + number % 4, POLICIES)
        assert queue.in_flight == len(running)
        assert queue.queued == len(waiting)


def test_eviction_refuses_waiting_requests_and_keeps_running_ones(clock):
    queue = UpstreamQueue(1, POLICIES, clock)
    fill(queue, 3)
    fill(queue, 1, "order")
    evicted = queue.evict(Reason.UPSTREAM_AT_RISK)
    assert reasons(evicted) == [Reason.UPSTREAM_AT_RISK] * 3
    assert (queue.in_flight, queue.queued) == (1, 0)
    assert queue.release() == []
    _, decisions = fill(queue, 1)
    assert len(grants(decisions)) == 1


def play(target_s, load, burst_s=12.0, slots=4, service_s=0.3, deadline_s=8.0):
    """Play a burst of one rank, with a lull behind it, at one upstream.

    Returns
    -------
    tuple of int
        Requests answered within the time that callers want, and by their deadline.
    """
    clock = ManualClock()
    rng = random.Random(7)
    queue = UpstreamQueue(slots, POLICIES, clock)
    ends: list = []
    arrived_s_by_ticket = {}
    ended_s_by_ticket = {}

    def run(decisions):
        for ticket in grants(decisions):
            end_s = clock.monotonic() + rng.lognormvariate(-0.125, 0.5) * service_s
            heapq.heappush(ends, (end_s, id(ticket), ticket))

    next_s = 0.0
    while True:
        rate = (load if clock.monotonic() < burst_s else 0.4) * slots / service_s
        step_s = min(next_s, ends[0][0] if ends else math.inf) - clock.monotonic()
        clock.advance(max(step_s, 0.0))
        now_s = clock.monotonic()
        if now_s > burst_s + 2 * deadline_s:
            break
        while ends and ends[0][0] <= now_s:
            ticket = heapq.heappop(ends)[2]
            ended_s_by_ticket[ticket] = now_s
            run(queue.release(ticket))
        if now_s >= next_s:
            ticket = Ticket("order", now_s + deadline_s, target_s=now_s + target_s)
            arrived_s_by_ticket[ticket] = now_s
            run([queue.submit(ticket)])
            next_s = now_s + rng.expovariate(rate)
    times_s = [ended_s_by_ticket[t] - arrived_s_by_ticket[t] for t in ended_s_by_ticket]
    in_time = sum(time_s <= WANTED_S for time_s in times_s)
    return in_time, sum(time_s <= deadline_s for time_s in times_s)


@pytest.mark.parametrize("load", [1.3, 1.6, 2.0, 3.0])
def test_a_burst_is_answered_in_time_as_far_as_the_slots_go(load):
    """A late answer is worth 0.3 of one in time, as on the sheet of the third user."""
    in_order, by_target = (
        in_time + LATE_WORTH * (answered - in_time)
        for in_time, answered in (play(math.inf, load), play(WANTED_S, load))
    )
    assert by_target >= 1.2 * in_order


@pytest.mark.parametrize("load", [0.5, 0.8])
def test_late_work_gives_way_to_none_where_the_slots_suffice(load):
    assert play(WANTED_S, load) == play(math.inf, load)


def test_late_request_is_served_once_none_waits_that_can_meet_its_target(clock):
    queue = UpstreamQueue(1, POLICIES, clock)
    running = fill(queue, 1, "order")[0][0]
    late = Ticket("order", 100.0, target_s=1.0)
    queue.submit(late)
    clock.advance(2.0)
    fresh = Ticket("order", 100.0, target_s=50.0)
    queue.submit(fresh)
    assert grants(queue.release(running)) == [fresh]
    assert grants(queue.release(fresh)) == [late]


def test_request_that_comes_late_goes_behind_all_that_can_be_in_time(clock):
    queue = UpstreamQueue(1, POLICIES, clock)
    running = fill(queue, 1, "order")[0][0]
    first = Ticket("order", 100.0, target_s=50.0)
    late = Ticket("order", 100.0, target_s=-1.0)
    last = Ticket("order", 100.0, target_s=50.0)
    for ticket in (first, late, last):
        queue.submit(ticket)
    served = []
    for _ in range(3):
        clock.advance(0.1)
        (running,) = grants(queue.release(running))
        served.append(running)
    assert served == [first, last, late]


def test_late_request_is_refused_once_it_is_too_late_to_start_it(clock):
    queue = UpstreamQueue(1, POLICIES, clock)
    first = fill(queue, 1, "order")[0][0]
    late = Ticket("order", 8.0, target_s=1.5)
    queue.submit(late)
    clock.advance(2.0)
    queue.submit(Ticket("order", 100.0, target_s=50.0))
    queue.release(first)  # The service time of 2 s is known from here on.
    clock.advance(3.5)
    assert queue.advance() == []
    clock.advance(1.0)
    assert queue.advance() == [Refused(late, Reason.OVERLOAD)]


def test_of_many_late_requests_those_that_will_not_start_are_refused_at_once(clock):
    queue = UpstreamQueue(1, POLICIES, clock)
    first = fill(queue, 1, "order")[0][0]
    late = [Ticket("order", 9.0, target_s=1.5) for _ in range(6)]
    in_time = Ticket("order", 9.0, target_s=9.0)
    for ticket in (*late, in_time):
        assert isinstance(queue.submit(ticket), Queued)
    clock.advance(2.0)
    decisions = queue.release(first)  # The service time of 2 s is known from here on.
    assert decisions == [
        *(Refused(ticket, Reason.OVERLOAD) for ticket in late[1:]),
        Granted(in_time),
    ]


def test_upstream_that_is_slower_than_the_target_serves_as_many_as_it_can(clock):
    """Where every answer is late, late requests give way to none."""
    queue = UpstreamQueue(1, POLICIES, clock)
    running = fill(queue, 1, "order")[0][0]
    late = [Ticket("order", 13.5, target_s=0.5) for _ in range(8)]
    for ticket in late:
        queue.submit(ticket)
    served = []
    for _ in range(8):
        clock.advance(2.0)
        for ticket in grants(queue.release(running)):
            served.append(ticket)
            running = ticket
        if clock.monotonic() >= 12.0:
            break
    assert served == late[:5]  # The sixth would end at 14 s.


def test_late_request_is_refused_rather_than_one_that_can_be_in_time(clock):
    queue = UpstreamQueue(1, POLICIES, clock)
    first = fill(queue, 2, "order")[0][0]
    clock.advance(1.0)
    queue.release(first)  # The service time of 1 s is known from here on.
    late = [Ticket("order", 100.0, target_s=1.5) for _ in range(6)]
    assert [type(queue.submit(ticket)) for ticket in late] == [Queued] * 6
    in_time = Ticket("order", 6.0, target_s=5.0)
    too_late = Ticket("order", 6.0, target_s=1.5)
    assert queue.submit(too_late) == Refused(too_late, Reason.OVERLOAD)
    assert queue.submit(in_time) == Queued(in_time)
    assert queue.advance() == [Refused(late[0], Reason.OVERLOAD)]

"""Verdicts of one judge, event by event.

Guards against ejections on the wrong evidence, such as a pause of the daemon or a
cause common to the peers, and against a sick upstream that stays in rotation or
returns without proof.
"""

import attrs
import pytest

from chicorychute.core.clock import ManualClock
from chicorychute.core.messages import RankDigest, UpstreamDigest, Verdict
from chicorychute.health.evidence import Observation, Result
from chicorychute.health.judge import UpstreamJudge
from chicorychute.health.probe import PROBE_PERIOD_S, PROBE_RANK

TICK_S = 0.05
OK = Observation("lookup", Result.OK, 0.02, 100)
FAILED = Observation("lookup", Result.FAILED, 0.005)


def peer(name, shed=0.0, empty=0.0, suspicion=0.0):
    ranks = tuple(
        RankDigest(rank, 500, 20.0, 60.0, 0.0, shed, empty)
        for rank in ("lookup", PROBE_RANK)
    )
    return UpstreamDigest(
        name, "s", Verdict.HEALTHY, 4, 0, 0, 20.0, 0.0, 1.0, suspicion, ranks
    )


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def judge(clock):
    judge = UpstreamJudge(clock)
    judge.update_peers([peer("b"), peer("c"), peer("d")])
    return judge


def wait(judge, clock, seconds):
    for _ in range(round(seconds / TICK_S)):
        clock.advance(TICK_S)
        judge.tick()


def send(judge, clock, observation, seconds):
    for _ in range(round(seconds / TICK_S)):
        attempt = judge.begin(observation.rank)
        clock.advance(TICK_S)
        judge.tick()
        judge.observe(observation, attempt)


def eject(judge, clock):
    send(judge, clock, FAILED, 3)
    assert judge.verdict() is Verdict.SICK


def test_hanging_requests_count_while_they_run(judge, clock):
    for _ in range(6):
        judge.begin("lookup")
    wait(judge, clock, 10)
    assert judge.ejections == 1
    assert judge.reason == "requests stand still" or "slower" in judge.reason


def test_one_extreme_latency_does_not_eject(judge, clock):
    judge.begin("lookup")
    wait(judge, clock, 30)
    assert judge.verdict() is Verdict.HEALTHY


def test_timeout_of_a_deadline_shortened_by_queueing_is_no_failure(judge, clock):
    timed_out = Observation("lookup", Result.TIMED_OUT, 0.005)
    send(judge, clock, timed_out, 20)
    assert judge.verdict() is Verdict.HEALTHY
    assert judge.suspicion == 0


def test_timeouts_after_a_long_run_eject(judge, clock):
    send(judge, clock, Observation("lookup", Result.TIMED_OUT, 2.0), 5)
    assert judge.ejections


def test_evidence_from_a_pause_of_the_daemon_is_discarded(judge, clock):
    attempts = [judge.begin("lookup") for _ in range(8)]
    judge.tick()
    clock.advance(60)
    for attempt in attempts:
        judge.observe(Observation("lookup", Result.FAILED, 60.0), attempt)
    wait(judge, clock, 5)
    assert judge.verdict() is Verdict.HEALTHY
    assert judge.suspicion == 0


def test_evidence_from_before_an_ejection_does_not_eject_again(judge, clock):
    old_attempts = [judge.begin("lookup") for _ in range(8)]
    eject(judge, clock)
    wait(judge, clock, 3)
    assert judge.verdict() is Verdict.PROBING
    for attempt in old_attempts:
        judge.observe(FAILED, attempt)
    wait(judge, clock, 2)
    assert judge.ejections == 1


def test_upstream_returns_after_good_results_with_a_rising_weight(judge, clock):
    eject(judge, clock)
    assert judge.weight == 0
    wait(judge, clock, 3)
    assert judge.verdict() is Verdict.PROBING
    assert 0 < judge.weight < 0.1
    send(judge, clock, OK, 1)
    assert judge.verdict() is Verdict.HEALTHY
    assert judge.weight < 0.5
    send(judge, clock, OK, 10)
    assert judge.weight == 1


def test_each_ejection_of_a_flapping_upstream_lasts_longer_up_to_a_limit(judge, clock):
    ejection_times_s = []
    for _ in range(7):
        while judge.verdict() is Verdict.HEALTHY:
            send(judge, clock, FAILED, TICK_S)
        start_s = clock.monotonic()
        while judge.verdict() is Verdict.SICK:
            wait(judge, clock, TICK_S)
        ejection_times_s.append(round(clock.monotonic() - start_s))
        send(judge, clock, OK, 1)
        assert judge.verdict() is Verdict.HEALTHY
    assert ejection_times_s == sorted(ejection_times_s)
    assert ejection_times_s[-1] > 10 * ejection_times_s[0]
    assert max(ejection_times_s) <= 61


def test_good_probes_do_not_restore_an_upstream_that_failed_requests(judge, clock):
    eject(judge, clock)
    wait(judge, clock, 3)
    send(judge, clock, Observation(PROBE_RANK, Result.OK, 0.02), 5)
    assert judge.verdict() is Verdict.PROBING


@pytest.mark.parametrize("peer_samples", [0, 10, 50])
def test_failing_probe_of_an_idle_upstream_ejects(judge, clock, peer_samples):
    probes = (RankDigest(PROBE_RANK, peer_samples, 5.0, 8.0, 0.0, 0.0, 0.0),)
    judge.update_peers(attrs.evolve(peer(name), ranks=probes) for name in "bcd")
    due_s = None
    while judge.verdict() is Verdict.HEALTHY and clock.monotonic() < 60:
        wait(judge, clock, TICK_S)
        if judge.probe_due():
            due_s = due_s or clock.monotonic()
            judge.observe(
                Observation(PROBE_RANK, Result.FAILED, 0.01), judge.begin(PROBE_RANK)
            )
    assert due_s <= PROBE_PERIOD_S + TICK_S * 2
    assert clock.monotonic() <= PROBE_PERIOD_S + 3


def test_busy_upstream_is_not_probed(judge, clock):
    for _ in range(200):
        send(judge, clock, OK, TICK_S)
        assert not judge.probe_due()


@pytest.mark.parametrize("share, ejected", [(0.0, True), (0.9, False)])
def test_shedding_is_sickness_only_where_peers_do_not_shed(clock, share, ejected):
    judge = UpstreamJudge(clock)
    judge.update_peers([peer(name, shed=share) for name in "bcd"])
    send(judge, clock, Observation("lookup", Result.SHED, 0.001), 5)
    assert bool(judge.ejections) is ejected


@pytest.mark.parametrize("share, ejected", [(0.0, True), (1.0, False)])
def test_empty_answers_count_only_where_peers_answer_in_full(clock, share, ejected):
    judge = UpstreamJudge(clock)
    judge.update_peers([peer(name, empty=share) for name in "bcd"])
    send(judge, clock, Observation("lookup", Result.OK, 0.02, bytes=0), 5)
    assert bool(judge.ejections) is ejected


def test_no_ejection_while_most_peers_are_suspicious_too(clock):
    judge = UpstreamJudge(clock)
    judge.update_peers([peer("b", suspicion=0.8), peer("c", suspicion=0.8), peer("d")])
    send(judge, clock, FAILED, 4)
    assert judge.verdict() is Verdict.HEALTHY


def test_cold_upstream_is_not_judged_by_latency(clock):
    judge = UpstreamJudge(clock, cold=True)
    judge.update_peers([peer("b"), peer("c"), peer("d")])
    assert judge.verdict() is Verdict.COLD
    slow = Observation("lookup", Result.OK, 1.0, 100)
    send(judge, clock, slow, 9)
    assert judge.ejections == 0
    send(judge, clock, slow, 5)
    assert judge.ejections == 1


def test_higher_sensitivity_ejects_no_later(clock):
    times = []
    for sensitivity in (0.5, 1.0, 4.0):
        clock = ManualClock()
        judge = UpstreamJudge(clock, sensitivity)
        judge.update_peers([peer("b"), peer("c"), peer("d")])
        while judge.verdict() is Verdict.HEALTHY:
            send(judge, clock, FAILED, TICK_S)
        times.append(clock.monotonic())
    assert times == sorted(times, reverse=True)

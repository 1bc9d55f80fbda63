"""Orders run at most once while their home fails, between separate processes.

Orders are repeated with the same key through several entries while the home is slow,
killed, paused, partitioned in one direction or leaving.
"""

import itertools
import signal
import threading

import pytest

from standins.fleet import TABLE_HEADER, Fleet

pytestmark = pytest.mark.processes

ROW = "orders,order,POST /orders,1,0.3,300,3000,once,0.1,4,0.5,1,0,1000"
INSTANCES = [
    ("r1", "r1-a", "orders"),
    ("r1", "r1-b", "orders"),
    ("r2", "r2-a", "orders"),
]
TIMEOUT_S = 30.0
SLOW = {"slow_factor": 50.0}


@pytest.fixture
def fleet():
    with Fleet(INSTANCES, f"{TABLE_HEADER}\n{ROW}\n") as running:
        yield running


def send(fleet, node, key="", deadline_ms=3000):
    headers = {"Idempotency-Key": key, "Chute-Deadline-Ms": str(deadline_ms)}
    url = node.edge_url + "/orders"
    return fleet.http.request(
        "POST", url, body=b"{}", headers=headers, timeout=TIMEOUT_S
    )


def new_key(fleet, node):
    return send(fleet, node).headers["Chute-Home"] + "/order-1"


def outcome_and_reason(answer):
    return answer.headers["Chute-Outcome"], answer.headers.get("Chute-Reason", "")


def count_runs(fleet, key):
    return sum(fleet.counts(node)["runs_by_key"].get(key, 0) for node in fleet.nodes)


def in_thread(call):
    answers = []
    thread = threading.Thread(target=lambda: answers.append(call()), daemon=True)
    thread.start()
    return thread, answers


def slow_down(fleet):
    for node in fleet.nodes:
        fleet.set_faults(node, **SLOW)


def running_somewhere(fleet):
    return any(
        upstream["in_flight"]
        for node in fleet.nodes
        for member in fleet.status(node)["instances"]
        for upstream in member["upstreams"]
    )


def test_repeated_sends_through_every_entry_get_one_answer(fleet):
    slow_down(fleet)
    key = new_key(fleet, fleet.nodes[0])
    calls = [
        in_thread(lambda node=node: send(fleet, node, key)) for node in fleet.nodes * 2
    ]
    for thread, _ in calls:
        thread.join(TIMEOUT_S)
    answers = [answers[0] for _, answers in calls]
    assert {outcome_and_reason(answer) for answer in answers} == {("ran", "")}
    assert len({answer.data for answer in answers}) == 1
    assert count_runs(fleet, key) == 1


def test_caller_that_gave_up_gets_the_answer_by_asking_again(fleet):
    slow_down(fleet)
    key = new_key(fleet, fleet.nodes[0])
    early = send(fleet, fleet.nodes[1], key, deadline_ms=50)
    assert outcome_and_reason(early)[0] == "unknown"
    fleet.wait_for(
        lambda: outcome_and_reason(send(fleet, fleet.nodes[2], key)) == ("ran", ""),
        "the answer",
    )
    assert count_runs(fleet, key) == 1


def test_killed_and_restarted_home_answers_unknown_and_order_runs_at_most_once(fleet):
    slow_down(fleet)
    home, *others = fleet.nodes
    key = new_key(fleet, home)
    thread, first = in_thread(lambda: send(fleet, others[0], key))
    fleet.wait_for(lambda: running_somewhere(fleet), "the order to run")
    home.daemon.send_signal(signal.SIGKILL)
    home.daemon.wait(TIMEOUT_S)
    thread.join(TIMEOUT_S)
    assert outcome_and_reason(first[0])[0] == "unknown"
    assert {outcome_and_reason(send(fleet, node, key))[0] for node in others} == {
        "unknown"
    }
    fleet.start_daemon(home)
    fleet.wait_ready(home)
    home_lost = ("unknown", "home-lost")
    for node in fleet.nodes:
        fleet.wait_for(
            lambda node=node: outcome_and_reason(send(fleet, node, key)) == home_lost,
            "the home to be reported as lost",
        )
    assert count_runs(fleet, key) <= 1


def test_paused_home_runs_nothing_late_when_it_resumes(fleet):
    home, *others = fleet.nodes
    key = new_key(fleet, home)
    home.daemon.send_signal(signal.SIGSTOP)
    try:
        answers_while_paused = [
            send(fleet, node, key, deadline_ms=300) for node in others
        ]
    finally:
        home.daemon.send_signal(signal.SIGCONT)
    assert {outcome_and_reason(answer)[0] for answer in answers_while_paused} == {
        "unknown"
    }
    fleet.wait_for(
        lambda: (
            outcome_and_reason(send(fleet, others[0], key))[0] in ("ran", "not-run")
        ),
        "a final outcome",
    )
    end = outcome_and_reason(send(fleet, others[1], key))[0]
    assert count_runs(fleet, key) == (1 if end == "ran" else 0)


@pytest.fixture
def partitionable_fleet():
    long_deadline_row = ROW.replace(",3000,", ",30000,")
    with Fleet(
        INSTANCES, f"{TABLE_HEADER}\n{long_deadline_row}\n", partitionable=True
    ) as running:
        yield running


def block_path(fleet, entry, home, blocks_answers):
    """Block the path from the entry to the home, or from the home to the entry."""
    path = (home, entry) if blocks_answers else (entry, home)
    fleet.paths.partition_path(*(node.peer_port for node in path))


def set_held(fleet, held):
    for node in fleet.nodes:
        fleet.set_faults(node, paused=held)


@pytest.mark.parametrize("blocks_answers", [False, True])
def test_order_whose_home_is_partitioned_one_way_runs_once(
    partitionable_fleet, blocks_answers
):
    fleet = partitionable_fleet
    home, entry, other = fleet.nodes
    key = new_key(fleet, home)
    set_held(fleet, True)
    entry_deadline_ms = 2_000 if blocks_answers else 30_000
    thread, first = in_thread(lambda: send(fleet, entry, key, entry_deadline_ms))
    fleet.wait_for(lambda: running_somewhere(fleet), "the order to run")
    block_path(fleet, entry, home, blocks_answers)
    set_held(fleet, False)
    repeated = send(fleet, other, key, 30_000), send(fleet, entry, key, 500)
    thread.join(TIMEOUT_S)
    fleet.paths.heal()
    assert outcome_and_reason(first[0])[0] == ("unknown" if blocks_answers else "ran")
    assert [outcome_and_reason(answer)[0] for answer in repeated] == ["ran", "unknown"]
    for node in fleet.nodes:
        fleet.wait_for(
            lambda node=node: outcome_and_reason(send(fleet, node, key)) == ("ran", ""),
            "the answer",
        )
    assert count_runs(fleet, key) == 1


@pytest.mark.parametrize("blocks_answers", [False, True])
def test_order_sent_into_a_one_way_partition_has_one_outcome_everywhere(
    partitionable_fleet, blocks_answers
):
    fleet = partitionable_fleet
    home, entry, other = fleet.nodes
    key = new_key(fleet, home)
    block_path(fleet, entry, home, blocks_answers)
    early = [send(fleet, entry, key, deadline_ms=300) for _ in range(2)]
    assert {outcome_and_reason(answer)[0] for answer in early} == {"unknown"}
    fleet.paths.heal()
    for node in (entry, other):
        fleet.wait_for(
            lambda node=node: (
                outcome_and_reason(send(fleet, node, key))[0] in ("ran", "not-run")
            ),
            "a final outcome",
        )
    ends = {outcome_and_reason(send(fleet, node, key))[0] for node in fleet.nodes}
    assert ends == {"ran" if count_runs(fleet, key) else "not-run"}
    assert count_runs(fleet, key) <= 1


def test_leaving_home_completes_its_order_and_accepts_no_new_one(fleet):
    slow_down(fleet)
    home, *others = fleet.nodes
    key = new_key(fleet, home)
    numbers = itertools.count(2)

    def send_another_order():
        return send(fleet, others[1], f"{home_of(key)}/order-{next(numbers)}")

    thread, first = in_thread(lambda: send(fleet, others[0], key))
    fleet.wait_for(lambda: running_somewhere(fleet), "the order to run")
    home.daemon.send_signal(signal.SIGTERM)
    fleet.wait_for(
        lambda: outcome_and_reason(send_another_order()) == ("not-run", "leaving"),
        "the home to refuse new orders",
    )
    thread.join(TIMEOUT_S)
    home.daemon.wait(TIMEOUT_S)
    assert outcome_and_reason(first[0]) == ("ran", "")
    assert count_runs(fleet, key) == 1


def home_of(key):
    return key.partition("/")[0]

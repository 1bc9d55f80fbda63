"""Orders under faults of their home, as separate processes."""

import itertools
import signal
import threading

import pytest

from standins.fleet import TABLE_HEADER, Fleet

pytestmark = pytest.mark.processes

ROW = "orders,order,POST /orders,1,0.3,300,3000,once,0.1,4,0.5,1,0,1000"
PLACES = [("r1", "r1-a", "orders"), ("r1", "r1-b", "orders"), ("r2", "r2-a", "orders")]
PATIENCE_S = 30.0
SLOW = {"slow_factor": 50.0}


@pytest.fixture
def fleet():
    with Fleet(PLACES, f"{TABLE_HEADER}\n{ROW}\n") as running:
        yield running


def send(fleet, node, key="", deadline_ms=3000):
    headers = {"Idempotency-Key": key, "Chute-Deadline-Ms": str(deadline_ms)}
    url = node.edge_url + "/orders"
    return fleet.http.request(
        "POST", url, body=b"{}", headers=headers, timeout=PATIENCE_S
    )


def new_key(fleet, node):
    return send(fleet, node).headers["Chute-Home"] + "/order-1"


def told(answer):
    return answer.headers["Chute-Outcome"], answer.headers.get("Chute-Reason", "")


def runs(fleet, key):
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


def test_sends_through_every_entry_while_it_runs_get_one_answer(fleet):
    slow_down(fleet)
    key = new_key(fleet, fleet.nodes[0])
    calls = [
        in_thread(lambda node=node: send(fleet, node, key)) for node in fleet.nodes * 2
    ]
    for thread, _ in calls:
        thread.join(PATIENCE_S)
    answers = [answers[0] for _, answers in calls]
    assert {told(answer) for answer in answers} == {("ran", "")}
    assert len({answer.data for answer in answers}) == 1
    assert runs(fleet, key) == 1


def test_caller_that_gave_up_gets_the_answer_by_asking_again(fleet):
    slow_down(fleet)
    key = new_key(fleet, fleet.nodes[0])
    early = send(fleet, fleet.nodes[1], key, deadline_ms=50)
    assert told(early)[0] == "unknown"
    fleet.wait_for(
        lambda: told(send(fleet, fleet.nodes[2], key)) == ("ran", ""), "the answer"
    )
    assert runs(fleet, key) == 1


def test_killed_and_replaced_home_leaves_unknown_and_one_run(fleet):
    slow_down(fleet)
    home, *others = fleet.nodes
    key = new_key(fleet, home)
    thread, first = in_thread(lambda: send(fleet, others[0], key))
    fleet.wait_for(lambda: running_somewhere(fleet), "the order to run")
    home.daemon.send_signal(signal.SIGKILL)
    home.daemon.wait(PATIENCE_S)
    thread.join(PATIENCE_S)
    assert told(first[0])[0] == "unknown"
    assert {told(send(fleet, node, key))[0] for node in others} == {"unknown"}
    fleet.start_daemon(home)
    fleet.wait_ready(home)
    lost = ("unknown", "home-lost")
    for node in fleet.nodes:
        fleet.wait_for(lambda node=node: told(send(fleet, node, key)) == lost, "truth")
    assert runs(fleet, key) <= 1


def test_frozen_home_runs_nothing_late_when_it_wakes(fleet):
    home, *others = fleet.nodes
    key = new_key(fleet, home)
    home.daemon.send_signal(signal.SIGSTOP)
    try:
        frozen = [send(fleet, node, key, deadline_ms=300) for node in others]
    finally:
        home.daemon.send_signal(signal.SIGCONT)
    assert {told(answer)[0] for answer in frozen} == {"unknown"}
    fleet.wait_for(
        lambda: told(send(fleet, others[0], key))[0] in ("ran", "not-run"), "an end"
    )
    end = told(send(fleet, others[1], key))[0]
    assert runs(fleet, key) == (1 if end == "ran" else 0)


@pytest.fixture
def cuttable():
    patient = ROW.replace(",3000,", ",30000,")
    with Fleet(PLACES, f"{TABLE_HEADER}\n{patient}\n", partitionable=True) as running:
        yield running


def cut(fleet, entry, home, answers):
    """Cut one entry from the home, or the home's answers from the entry."""
    path = (home, entry) if answers else (entry, home)
    fleet.paths.partition_path(*(node.peer_port for node in path))


def hold(fleet, held):
    for node in fleet.nodes:
        fleet.set_faults(node, paused=held)


@pytest.mark.parametrize("answers", [False, True])
def test_order_whose_home_is_cut_off_one_way_runs_once(cuttable, answers):
    fleet = cuttable
    home, entry, other = fleet.nodes
    key = new_key(fleet, home)
    hold(fleet, True)
    patience_ms = 2_000 if answers else 30_000
    thread, first = in_thread(lambda: send(fleet, entry, key, patience_ms))
    fleet.wait_for(lambda: running_somewhere(fleet), "the order to run")
    cut(fleet, entry, home, answers)
    hold(fleet, False)
    again = send(fleet, other, key, 30_000), send(fleet, entry, key, 500)
    thread.join(PATIENCE_S)
    fleet.paths.heal()
    assert told(first[0])[0] == ("unknown" if answers else "ran")
    assert [told(answer)[0] for answer in again] == ["ran", "unknown"]
    for node in fleet.nodes:
        fleet.wait_for(
            lambda node=node: told(send(fleet, node, key)) == ("ran", ""), "the answer"
        )
    assert runs(fleet, key) == 1


@pytest.mark.parametrize("answers", [False, True])
def test_order_sent_into_a_one_way_cut_ends_alike_everywhere(cuttable, answers):
    fleet = cuttable
    home, entry, other = fleet.nodes
    key = new_key(fleet, home)
    cut(fleet, entry, home, answers)
    early = [send(fleet, entry, key, deadline_ms=300) for _ in range(2)]
    assert {told(answer)[0] for answer in early} == {"unknown"}
    fleet.paths.heal()
    for node in (entry, other):
        fleet.wait_for(
            lambda node=node: told(send(fleet, node, key))[0] in ("ran", "not-run"),
            "an end",
        )
    ends = {told(send(fleet, node, key))[0] for node in fleet.nodes}
    assert ends == {"ran" if runs(fleet, key) else "not-run"}
    assert runs(fleet, key) <= 1


def test_leaving_home_ends_its_order_and_takes_no_new_one(fleet):
    slow_down(fleet)
    home, *others = fleet.nodes
    key = new_key(fleet, home)
    uniques = itertools.count(2)

    def place_another():
        return send(fleet, others[1], f"{home_of(key)}/order-{next(uniques)}")

    thread, first = in_thread(lambda: send(fleet, others[0], key))
    fleet.wait_for(lambda: running_somewhere(fleet), "the order to run")
    home.daemon.send_signal(signal.SIGTERM)
    fleet.wait_for(
        lambda: told(place_another()) == ("not-run", "leaving"), "leaving to begin"
    )
    thread.join(PATIENCE_S)
    home.daemon.wait(PATIENCE_S)
    assert told(first[0]) == ("ran", "")
    assert runs(fleet, key) == 1


def home_of(key):
    return key.partition("/")[0]

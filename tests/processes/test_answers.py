"""Large answers and requests over two hops, between separate processes.

Bodies that are larger than the buffers of a link could be truncated, a slow reader
could block other requests, and the answer of a killed upstream could end as if it were
complete.
"""

import hashlib
import signal

import pytest
import urllib3

from standins.fleet import TABLE_HEADER, Fleet

pytestmark = pytest.mark.processes

MEBIBYTE = 1 << 20
ROWS = (
    (
        "scores,score,GET /scores/*;PUT /scores/*,1,0.5,500,20000,"
        "idempotent,0.1,4,0.5,1,0,0"
    ),
    "other,other,GET /other/*,1,0.5,500,20000,idempotent,0.1,4,0.5,1,0,0",
)
INSTANCES = [("r1", "r1-a", "scores"), ("r1", "r1-a", "other")]


@pytest.fixture(scope="module")
def fleet():
    with Fleet(INSTANCES, "\n".join([TABLE_HEADER, *ROWS]) + "\n") as running:
        yield running


def request_scores(fleet, method="GET", **options):
    url = fleet.nodes[1].edge_url + "/scores/1"
    return fleet.http.request(method, url, timeout=30.0, **options)


def test_large_answer_is_complete_over_two_hops(fleet):
    fleet.set_faults(fleet.nodes[0], answer_bytes=8 * MEBIBYTE)
    answer = request_scores(fleet)
    expected = hashlib.sha256(b"x" * 8 * MEBIBYTE).hexdigest()
    assert hashlib.sha256(answer.data).hexdigest() == expected
    assert answer.headers["Chute-Outcome"] == "ran"


def test_large_request_runs_over_two_hops(fleet):
    fleet.set_faults(fleet.nodes[0], answer_bytes=0)
    answer = request_scores(fleet, "PUT", body=b"y" * 8 * MEBIBYTE)
    assert (answer.status, answer.headers["Chute-Outcome"]) == (200, "ran")


def test_answer_to_head_keeps_its_connection_usable(fleet):
    fleet.set_faults(fleet.nodes[0], answer_bytes=0)
    assert request_scores(fleet, "HEAD").status in (200, 404)
    assert request_scores(fleet).status == 200


def test_slow_reader_blocks_no_other_and_a_killed_upstream_aborts_its_answer(fleet):
    home = fleet.nodes[0]
    fleet.set_faults(home, answer_bytes=64 * MEBIBYTE)
    slow_answer = request_scores(fleet, preload_content=False)
    assert slow_answer.read(1000) == b"x" * 1000
    fleet.set_faults(home, answer_bytes=0)
    assert request_scores(fleet).status == 200
    home.upstream.send_signal(signal.SIGKILL)
    home.upstream.wait()
    with pytest.raises(urllib3.exceptions.HTTPError):
        while slow_answer.read(MEBIBYTE):
            pass

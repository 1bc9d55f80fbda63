"""The table in force on real daemons: one is cut from the store, all have seeds."""

import json
import signal

import pytest
import urllib3

from standins.demo import make_table
from standins.fleet import Fleet, signal_process

pytestmark = pytest.mark.processes

PLACES = [
    ("r1", "r1-a", "orders"),
    ("r1", "r1-a", "orders"),
    ("r2", "r2-a", "orders"),
    ("r2", "r2-b", "orders"),
]


class CutFleet(Fleet):
    """Fleet whose last daemon can't reach the platform."""

    def _settings_text(self, node):
        seeds = " ".join(f"127.0.0.1:{other.peer_port}" for other in self.nodes)
        text = (
            super()._settings_text(node).replace("[peer]", f"[peer]\nseeds = {seeds}")
        )
        if node is self.nodes[-1]:
            return text.replace(self.platform_url, "http://127.0.0.1:9")
        return text

    def versions(self):
        return {self.status(node)["table_version"] for node in self.nodes}

    def reads(self):
        return self.http.request("GET", self.platform_url + "/reads").json()

    def refusals(self):
        """Count the bad cells that every daemon logged; the table has one."""
        logs = self.path.glob("chicorychute-*.log")
        return sum(log.read_text("utf-8").count("was refused") for log in logs)

    def set_outage(self, down):
        url = self.platform_url + "/outage"
        self.http.request("PUT", url, body=json.dumps(down))

    def publish_and_wait(self, version, text):
        self.publish_table(version, text)
        self.wait_for(lambda: self.versions() == {version}, f"version {version}")


@pytest.fixture(scope="module")
def fleet():
    with CutFleet(PLACES, make_table(5000)) as running:
        yield running


def test_change_reaches_the_daemon_that_is_cut_from_the_store(fleet):
    fleet.publish_and_wait(2, make_table(5002))


def test_bad_table_is_refused_without_a_loop_of_reads(fleet):
    before = fleet.reads()
    fleet.publish_table(3, make_table("never"))
    fleet.wait_for(lambda: "refused" in fleet.logs(), "a refusal in a log")
    fleet.wait_for(lambda: fleet.reads() > before + 10, "further reads")
    assert fleet.versions() == {2}
    fleet.publish_and_wait(4, make_table(5004))
    assert fleet.refusals() <= len(fleet.nodes)


def test_store_restored_from_an_older_copy_takes_nothing_back(fleet):
    fleet.publish_table(2, make_table(5002))
    before = fleet.reads()
    fleet.wait_for(lambda: fleet.reads() > before + 10, "further reads")
    assert fleet.versions() == {4}
    fleet.publish_and_wait(5, make_table(5005))


def test_daemon_that_starts_while_the_store_is_down_serves_by_its_peers_table(fleet):
    fleet.set_outage(True)
    node = fleet.nodes[1]
    signal_process(node.daemon, signal.SIGKILL)
    node.daemon.wait()
    fleet.start_daemon(node)
    fleet.wait_ready(node)
    assert fleet.versions() == {5}
    fleet.set_outage(False)
    fleet.publish_and_wait(6, make_table(5006))


def test_daemon_without_peers_and_store_says_that_it_is_not_ready():
    class AloneFleet(Fleet):
        def start(self):
            self.start_daemon(self.nodes[0])
            self.wait_for(lambda: "daemon: serving" in self.logs(), "its edge")

    with AloneFleet(PLACES[:1], make_table(5000)) as alone:
        url = alone.nodes[0].operator_url + "/ready"
        answer = alone.http.request("GET", url)
        assert (answer.status, b"no table" in answer.data) == (503, True)
        entry = alone.nodes[0].edge_url + "/catalogue/1"
        refused = alone.http.request("GET", entry, timeout=urllib3.Timeout(10))
        assert refused.headers["Chute-Outcome"] == "not-run"

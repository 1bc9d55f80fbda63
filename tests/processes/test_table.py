"""The table in force on real daemons, one of which cannot reach the store.

All daemons have seeds, so that a table also comes from peers. A bad table could be read
and refused in a loop, and an older copy of the store could revert the version.
"""

import json
import signal

import pytest
import urllib3

from standins.demo import make_table
from standins.fleet import Fleet, signal_process

pytestmark = pytest.mark.processes

INSTANCES = [
    ("r1", "r1-a", "orders"),
    ("r1", "r1-a", "orders"),
    ("r2", "r2-a", "orders"),
    ("r2", "r2-b", "orders"),
]


class StorePartitionedFleet(Fleet):
    """Fleet whose last daemon can't reach the platform."""

    def _settings_text(self, node):
        seeds = " ".join(f"127.0.0.1:{other.peer_port}" for other in self.nodes)
        text = (
            super()._settings_text(node).replace("[peer]", f"[peer]\nseeds = {seeds}")
        )
        if node is self.nodes[-1]:
            return text.replace(self.platform_url, "http://127.0.0.1:9")
        return text

    def table_versions(self):
        return {self.status(node)["table_version"] for node in self.nodes}

    def count_reads(self):
        return self.http.request("GET", self.platform_url + "/reads").json()

    def count_refusals(self):
        """Count the bad cells logged by all daemons; the bad table has one."""
        logs = self.path.glob("chicorychute-*.log")
        return sum(log.read_text("utf-8").count("was refused") for log in logs)

    def set_outage(self, down):
        url = self.platform_url + "/outage"
        self.http.request("PUT", url, body=json.dumps(down))

    def publish_and_wait(self, version, text):
        self.publish_table(version, text)
        self.wait_for(
            lambda: self.table_versions() == {version},
            f"table version {version} on every daemon",
        )


@pytest.fixture(scope="module")
def fleet():
    with StorePartitionedFleet(INSTANCES, make_table(5000)) as running:
        yield running


def test_change_reaches_the_daemon_that_cannot_reach_the_store(fleet):
    fleet.publish_and_wait(2, make_table(5002))


def test_bad_table_is_refused_without_a_loop_of_reads(fleet):
    reads_before = fleet.count_reads()
    fleet.publish_table(3, make_table("never"))
    fleet.wait_for(lambda: "refused" in fleet.logs(), "a refusal in a log")
    fleet.wait_for(
        lambda: fleet.count_reads() > reads_before + 10, "10 more reads of the store"
    )
    assert fleet.table_versions() == {2}
    fleet.publish_and_wait(4, make_table(5004))
    assert fleet.count_refusals() <= len(fleet.nodes)


def test_store_restored_from_an_older_copy_reverts_nothing(fleet):
    fleet.publish_table(2, make_table(5002))
    reads_before = fleet.count_reads()
    fleet.wait_for(
        lambda: fleet.count_reads() > reads_before + 10, "10 more reads of the store"
    )
    assert fleet.table_versions() == {4}
    fleet.publish_and_wait(5, make_table(5005))


def test_daemon_that_starts_while_the_store_is_down_serves_by_its_peers_table(fleet):
    fleet.set_outage(True)
    node = fleet.nodes[1]
    signal_process(node.daemon, signal.SIGKILL)
    node.daemon.wait()
    fleet.start_daemon(node)
    fleet.wait_ready(node)
    assert fleet.table_versions() == {5}
    fleet.set_outage(False)
    fleet.publish_and_wait(6, make_table(5006))


def test_daemon_without_peers_and_store_reports_that_it_is_not_ready():
    class SingleDaemonFleet(Fleet):
        def start(self):
            self.start_daemon(self.nodes[0])
            self.wait_for(
                lambda: "daemon: serving" in self.logs(), "the daemon to serve"
            )

    with SingleDaemonFleet(INSTANCES[:1], make_table(5000)) as single:
        url = single.nodes[0].operator_url + "/ready"
        answer = single.http.request("GET", url)
        assert (answer.status, b"no table" in answer.data) == (503, True)
        entry_url = single.nodes[0].edge_url + "/catalogue/1"
        refused = single.http.request("GET", entry_url, timeout=urllib3.Timeout(10))
        assert refused.headers["Chute-Outcome"] == "not-run"

"""Starts a small fleet on loopback: stand-ins and a daemon beside each upstream."""

import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import attrs
import urllib3

from standins.oneway import OneWayPaths

START_TIMEOUT_S = 120.0  # a loaded machine takes long to start processes
STOP_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.05
SERVER_PORTS = range(12_000, 32_000)  # below those of outgoing connections
# A server may close a kept connection at the moment at which it is used again.
READ_RETRY = urllib3.Retry(total=2, connect=0, redirect=0, allowed_methods=["GET"])
ROOT = Path(__file__).resolve().parent.parent

TABLE_HEADER = (
    "service,rank,routes,priority,share,target_ms,deadline_ms,repeat,retry_share,"
    "slots,floor,sensitivity,team_rate,cross_region_kbps"
)


class FleetError(Exception):
    """The fleet did not start or stop as it should."""


@attrs.define
class Node:
    """One instance: an upstream and the daemon beside it."""

    instance: str
    zone: str
    region: str
    service: str
    upstream_port: int
    edge_port: int
    peer_port: int
    operator_port: int
    upstream: subprocess.Popen | None = None
    daemon: subprocess.Popen | None = None

    @property
    def edge_url(self) -> str:
        """URL for callers."""
        return f"http://127.0.0.1:{self.edge_port}"

    @property
    def upstream_url(self) -> str:
        """URL of the upstream itself."""
        return f"http://127.0.0.1:{self.upstream_port}"

    @property
    def operator_url(self) -> str:
        """URL for operators."""
        return f"http://127.0.0.1:{self.operator_port}"


def free_ports(count: int) -> list[int]:
    """Return ports that were free a moment ago, and that no connection takes.

    The system picks the ports of outgoing connections from the range above, so that
    a port from there may be taken again before its server listens.
    """
    ports = []
    for port in random.SystemRandom().sample(SERVER_PORTS, len(SERVER_PORTS)):
        if _is_free(port):
            ports.append(port)
        if len(ports) == count:
            return ports
    raise FleetError(f"only {len(ports)} of {count} ports are free: stop some servers")


def _is_free(port: int) -> bool:
    try:
        socket.create_server(("127.0.0.1", port)).close()
    except OSError:
        return False
    return True


class Fleet:
    """Processes of one fleet; use as a context manager.

    Parameters
    ----------
    places : list of (region, zone, service)
        One instance for each.
    table : str
        CSV published as version 1.
    service_ms : float
        Service time of the upstreams.
    extra_ini : str
        Further settings for every daemon.
    edge_threads : int
        Threads with which each daemon answers callers.
    cuttable : bool
        Whether `paths` can cut the peer links in one direction.
    """

    def __init__(
        self,
        instances: list[tuple[str, str, str]],
        table: str,
        service_ms: float = 10.0,
        extra_ini: str = "",
        edge_threads: int = 360,
        partitionable: bool = False,
    ):
        self._service_ms = service_ms
        self._extra_ini = extra_ini
        self._edge_threads = edge_threads
        self._directory = tempfile.TemporaryDirectory(prefix="chute-fleet-")
        self.path = Path(self._directory.name)
        self.http = urllib3.PoolManager(maxsize=64, retries=False)
        self._retrying_http = urllib3.PoolManager(maxsize=8, retries=READ_RETRY)
        ports = free_ports(1 + 4 * len(instances))
        self.platform_port = ports.pop()
        self.platform: subprocess.Popen | None = None
        self.table = table
        self.nodes = [
            Node(
                f"{zone}-{number}",
                zone,
                region,
                service,
                ports.pop(),
                ports.pop(),
                ports.pop(),
                ports.pop(),
            )
            for number, (region, zone, service) in enumerate(instances, start=1)
        ]
        peer_ports = [node.peer_port for node in self.nodes]
        self.paths = OneWayPaths(peer_ports) if partitionable else None

    def __enter__(self) -> "Fleet":
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *exc_info) -> None:
        self.stop()

    @property
    def platform_url(self) -> str:
        """URL of the platform stand-in."""
        return f"http://127.0.0.1:{self.platform_port}"

    def start(self) -> None:
        """Start every process and wait until every daemon is ready."""
        self.platform = self.spawn("standins.platform", "--port", self.platform_port)
        for node in self.nodes:
            self.start_upstream(node)
        self.wait_for(lambda: self._responds(self.platform_url + "/reads"), "platform")
        self.publish_table(1, self.table)
        self.publish_instances(self.nodes)
        for node in self.nodes:
            self.wait_for(
                lambda node=node: self._responds(node.upstream_url + "/counts"),
                f"upstream of {node.instance}",
            )
            self.start_daemon(node)
        for node in self.nodes:
            self.wait_ready(node)
        self.wait_for(self._has_full_view, "a full view on every daemon")

    def stop(self) -> None:
        """End every process of the fleet."""
        daemons = [node.daemon for node in self.nodes if node.daemon]
        for process in daemons:
            signal_process(process, signal.SIGTERM)
        for process in daemons:
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
        stand_ins = [node.upstream for node in self.nodes if node.upstream]
        if self.platform:
            stand_ins.append(self.platform)
        for process in stand_ins:
            signal_process(process, signal.SIGKILL)
            process.wait()
        if self.paths:
            self.paths.close()
        self.http.clear()
        self._retrying_http.clear()
        self._directory.cleanup()

    def spawn(self, module: str, *arguments: object) -> subprocess.Popen:
        """Start a module of this checkout as a process."""
        command = [sys.executable, "-m", module, *map(str, arguments)]
        name = f"{module}-{time.monotonic_ns()}.log"
        log = (self.path / name).open("wb")
        environment = {**os.environ, "PYTHONPATH": str(ROOT)}
        with log:
            return subprocess.Popen(
                command, stdout=log, stderr=log, cwd=self.path, env=environment
            )

    def start_upstream(self, node: Node) -> None:
        """Start the upstream of a node."""
        node.upstream = self.spawn(
            "standins.upstream",
            "--name",
            node.instance,
            "--port",
            node.upstream_port,
            "--service-ms",
            self._service_ms,
            "--seed",
            node.upstream_port,
        )

    def start_daemon(self, node: Node) -> None:
        """Write the settings of a node's daemon and start it."""
        path = self.path / f"{node.instance}.ini"
        path.write_text(self._settings_text(node), "utf-8")
        command = ["chicorychute", "run", "-c", path]
        if self.paths:
            relay_argument = self.paths.relay_argument(node.peer_port)
            command = ["standins.oneway", relay_argument, *command[1:]]
        node.daemon = self.spawn(*command)

    def wait_ready(self, node: Node) -> None:
        """Wait until a daemon answers that it is ready."""
        url = node.operator_url + "/ready"
        self.wait_for(lambda: self._responds(url), f"daemon of {node.instance}")

    def publish_table(self, version: int, text: str) -> None:
        """Publish a table on the platform."""
        self.table = text
        self._put("/config/table", {"version": version, "text": text})

    def publish_instances(self, nodes: list[Node]) -> None:
        """Publish the platform's list of instances."""
        listed_instances = [
            {
                "instance": node.instance,
                "host": "127.0.0.1",
                "peer_port": node.peer_port,
                "leaving": False,
            }
            for node in nodes
        ]
        self._put("/instances", listed_instances)

    def set_faults(self, node: Node, **faults: object) -> None:
        """Set faults of a node's upstream."""
        self.http.request("POST", node.upstream_url + "/control", json=faults)

    def counts(self, node: Node) -> dict:
        """Return what a node's upstream ran."""
        return self._retrying_http.request("GET", node.upstream_url + "/counts").json()

    def status(self, node: Node) -> dict:
        """Return the status of a node's daemon."""
        return self._retrying_http.request("GET", node.operator_url + "/status").json()

    def wait_for(
        self, condition, awaited: str, timeout_s: float = START_TIMEOUT_S
    ) -> float:
        """Poll until `holds()`; returns the seconds it took.

        Raises
        ------
        FleetError
            If it does not hold in time.
        """
        start_s = time.monotonic()
        while not condition():
            if time.monotonic() - start_s > timeout_s:
                raise FleetError(f"waited {timeout_s:g} s for {awaited}: {self.logs()}")
            time.sleep(POLL_INTERVAL_S)
        return time.monotonic() - start_s

    def logs(self) -> str:
        """Return the ends of the daemons' logs."""
        tails = [
            f"{path.name}: {path.read_text('utf-8', 'replace')[-2000:]}"
            for path in sorted(self.path.glob("*.log"))
            if path.stat().st_size
        ]
        return "\n".join(tails)

    def _put(self, path: str, value: object) -> None:
        self.http.request("PUT", self.platform_url + path, body=json.dumps(value))

    def _responds(self, url: str) -> bool:
        try:
            return self.http.request("GET", url, timeout=2.0).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def _has_full_view(self) -> bool:
        for node in self.nodes:
            status = self.status(node)
            alive = [
                member
                for member in status["instances"]
                if member["status"] == "alive"
                and any(upstream["slots"] for upstream in member["upstreams"])
            ]
            if len(alive) < len(self.nodes):
                return False
        return True

    def _settings_text(self, node: Node) -> str:
        return f"""
[instance]
id = {node.instance}
zone = {node.zone}
region = {node.region}
[edge]
port = {node.edge_port}
threads = {self._edge_threads}
[peer]
port = {node.peer_port}
[operator]
port = {node.operator_port}
[platform]
url = {self.platform_url}
poll_s = 1
[gossip]
interval_s = 0.2
[upstream:{node.instance}]
service = {node.service}
url = {node.upstream_url}
{self._extra_ini}
"""


def signal_process(process: subprocess.Popen, signal_number: int) -> None:
    """Signal a process of this fleet if it still runs."""
    if process.poll() is None:
        process.send_signal(signal_number)

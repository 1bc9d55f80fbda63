"""Starts a small fleet on loopback: stand-ins, and a daemon for each upstream."""

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

# Processes start slowly on a loaded machine.
START_TIMEOUT_S = 120.0
STOP_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.05
# Below the range from which the system picks the ports of outgoing connections.
SERVER_PORTS = range(12_000, 32_000)
# A server may close a kept-alive connection just as the next request is sent on it.
READ_RETRY = urllib3.Retry(total=2, connect=0, redirect=0, allowed_methods=["GET"])
ROOT = Path(__file__).resolve().parent.parent

TABLE_HEADER = (
    "service,rank,routes,priority,share,target_ms,deadline_ms,repeat,retry_share,"
    "slots,floor,sensitivity,team_rate,cross_region_kbps"
)


class FleetError(Exception):
    """Too few ports were free, or an awaited condition did not come in time."""


@attrs.define
class Node:
    """One instance: an upstream and its local daemon."""

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
    """Return ports that are free now and that no outgoing connection will take.

    The system picks the ports of outgoing connections from above `SERVER_PORTS`. A port
    from there could be taken again before its server listens.

    Raises
    ------
    FleetError
        If fewer than `count` ports are free.
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
    """Processes of one fleet, used as a context manager.

    Parameters
    ----------
    instances : list of (str, str, str)
        Region, zone and service of each instance.
    table : str
        CSV published as version 1.
    service_ms : float
        Mean service time of the upstreams, in milliseconds.
    extra_ini : str
        Settings appended to the INI file of every daemon, first to its upstream's
        section.
    edge_threads : int
        Number of threads with which each daemon answers callers.
    partitionable : bool
        Whether the links between daemons run through relays, so that `paths` can
        partition them in one direction.
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
        """Return the counts of requests of a node's upstream."""
        return self._retrying_http.request("GET", node.upstream_url + "/counts").json()

    def status(self, node: Node) -> dict:
        """Return the status of a node's daemon."""
        return self._retrying_http.request("GET", node.operator_url + "/status").json()

    def wait_for(
        self, condition, awaited: str, timeout_s: float = START_TIMEOUT_S
    ) -> float:
        """Poll until `condition()` is true; return the seconds it took.

        Raises
        ------
        FleetError
            If it is not true within `timeout_s`; the message names what was `awaited`
            and quotes the logs.
        """
        start_s = time.monotonic()
        while not condition():
            if time.monotonic() - start_s > timeout_s:
                raise FleetError(f"waited {timeout_s:g} s for {awaited}: {self.logs()}")
            time.sleep(POLL_INTERVAL_S)
        return time.monotonic() - start_s

    def logs(self) -> str:
        """Return the last 2000 characters of the log of each process."""
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
    """Send a signal to a process if it is still running."""
    if process.poll() is None:
        process.send_signal(signal_number)

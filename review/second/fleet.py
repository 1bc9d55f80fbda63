"""Starts daemons as the deploy file does, each on a loopback address of its own."""

import os
import random
import re
import signal
import socket
import subprocess
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TEMPLATE = ROOT / "deploy" / "daemon.ini"
# Below the range from which the system picks the ports of outgoing connections.
PORTS = range(12_000, 30_000)
STOP_TIMEOUT_S = 10.0

HOST = "shop.example"
SAFE_PATH = "/look/"
UNSAFE_PATH = "/order/"
RETRY_SLACK = 58
MIN_SHARE = 0.7
GRACE_S = 6
DRAIN_S = 2.5
CONFIG_S = 2.5


def loopback_addresses(count: int) -> list[str]:
    """Return loopback addresses, different ones in each run."""
    block = f"127.{random.SystemRandom().randrange(20, 250)}.7"
    return [f"{block}.{number}" for number in range(1, count + 1)]


def free_ports(addresses: list[str], count: int) -> list[int]:
    """Return ports that are free on every address."""
    ports = []
    for port in random.SystemRandom().sample(PORTS, 200):
        try:
            for address in addresses:
                socket.create_server((address, port)).close()
        except OSError:
            continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise OSError("too few free ports")


def make_config(
    version: int, routes: list[list[object]], services: list[str]
) -> dict[str, object]:
    """Return a configuration as the operator writes it."""
    columns = "name host path_prefix kind timeout goal priority service attempts split"
    return {
        "revision": f"r{version}",
        "routes": {"columns": columns.split(), "rows": routes},
        "services": {
            "columns": ["name", "health_path", "max_conns", "protocol", "tls"],
            "rows": [[name, "/healthz", 330, "h1", False] for name in services],
        },
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        },
    }


class Daemon:
    """A daemon beside one backend.

    Attributes
    ----------
    outbound, ready, app : tuple of (str, int)
        Addresses for callers, for the platform, and of the backend.
    """

    def __init__(
        self,
        directory: Path,
        ip: str,
        zone: str,
        region_by_zone: dict[str, str],
        service: str,
        store: tuple[str, int],
        ports: list[int],
    ):
        outbound, inbound, ready, app = ports
        self.ip = ip
        self.outbound = (ip, outbound)
        self.ready = (ip, ready)
        self.app = (ip, app)
        self._directory = directory
        self._path = directory / f"{ip}.ini"
        self.process: subprocess.Popen | None = None
        values = {
            "ip": ip,
            "zone": zone,
            "region": region_by_zone[zone],
            "listen.outbound": f"{ip}:{outbound}",
            "listen.inbound": f"{ip}:{inbound}",
            "listen.ready": f"{ip}:{ready}",
            "provider.address": "{}:{}".format(*store),
            "bounds.retry_slack": RETRY_SLACK,
            "bounds.min_share": MIN_SHARE,
            "bounds.grace": f"{GRACE_S}s",
            "service": service,
            "app_addr": f"{ip}:{app}",
        }
        regions = ",".join(f"{z}:{r}" for z, r in region_by_zone.items())
        text = re.sub(
            r"\{\{#zones\}\}.*\{\{/zones\}\}", regions, TEMPLATE.read_text("utf-8")
        )
        text = re.sub(r"\{\{([a-z_.]+)\}\}", lambda m: str(values[m[1]]), text)
        self._path.write_text(text, "utf-8")

    def start(self) -> None:
        """Start the process with the `run` line of the deploy file."""
        command = ["python3", "-m", "chicorychute", "run", "-c", str(self._path)]
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment = {**kept, "PYTHONPATH": str(ROOT / "target" / "deps")}
        with (self._directory / f"{self.ip}.log").open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number: int) -> None:
        """Send a signal, if the process still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait(STOP_TIMEOUT_S)

    def resident_mb(self) -> int:
        """Return the memory of the process in megabytes, 0 if it does not run."""
        if self.process is None or self.process.poll() is not None:
            return 0
        status = Path(f"/proc/{self.process.pid}/status").read_text("utf-8")
        matched = re.search(r"VmRSS:\s+([0-9]+) kB", status)
        return int(matched[1]) // 1024 if matched else 0

    def log_text(self) -> str:
        """Return what the daemon has logged."""
        path = self._directory / f"{self.ip}.log"
        return path.read_text("utf-8", "replace") if path.exists() else ""

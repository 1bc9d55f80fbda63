"""Starts the project's daemon with the command and template of the deploy file."""

import os
import re
import signal
import socket
import subprocess
import sys
import time
import tomllib
import urllib.error
import urllib.request
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
ROLE = DEPLOY["roles"]["sidecar"]
SETTINGS_PATH = "/etc/chicorychute/boot.yaml"
BOUND_BY_NAME = {"retry_slack": 58, "min_share": 0.7, "grace": "6s"}
READY_TIMEOUT_S = 15.0


def free_ports(hosts: list[str], count: int) -> list[int]:
    """Return ports that are free on every host."""
    ports: list[int] = []
    while len(ports) < count:
        with socket.create_server((hosts[0], 0)) as first:
            port = first.getsockname()[1]
        if port in ports:
            continue
        try:
            for host in hosts:
                socket.create_server((host, port)).close()
        except OSError:
            continue
        ports.append(port)
    return ports


class Machine:
    """One machine with a daemon.

    Parameters
    ----------
    ip : str
        Loopback address of the machine.
    ports : tuple of int
        Ports of outbound, inbound, ready and the backend, the same on all machines.
    """

    def __init__(self, record, folder, ip, ports, zone, region_by_zone, service, store):
        self.ip = ip
        self.outbound, self.inbound, self.ready, self.backend_port = ports
        self.process: subprocess.Popen | None = None
        self._record = record
        self._folder = Path(folder)
        self._text = self._settings(zone, region_by_zone, service, store)

    def _settings(self, zone, region_by_zone, service, store) -> str:
        text = (ROOT / ROLE["template"]).read_text()
        zones = ",".join(f"{name}:{region}" for name, region in region_by_zone.items())
        text = re.sub(r"\{\{#zones\}\}.*?\{\{/zones\}\}", zones, text)
        value_by_name = {
            "ip": self.ip,
            "zone": zone,
            "region": region_by_zone[zone],
            "listen.outbound": f"{self.ip}:{self.outbound}",
            "listen.inbound": f"{self.ip}:{self.inbound}",
            "listen.ready": f"{self.ip}:{self.ready}",
            "provider.address": store,
            "service": service,
            "app_addr": f"{self.ip}:{self.backend_port}",
            **{f"bounds.{name}": value for name, value in BOUND_BY_NAME.items()},
        }
        return re.sub(
            r"\{\{([a-z_.]+)\}\}", lambda match: str(value_by_name[match[1]]), text
        )

    def start(self) -> None:
        """Start the daemon by the `run` line of the deploy file."""
        path = self._folder / f"{self.ip}.ini"
        path.write_text(self._text)
        words = ROLE["run"].split()
        words = [str(path) if word == SETTINGS_PATH else word for word in words]
        words[0] = sys.executable if words[0] == "python3" else words[0]
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["CHICORYCHUTE_CONFIG"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        self.log_path = self._folder / f"{self.ip}.log"
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record.write(self.ip, "daemon started")

    def wait_ready(self) -> None:
        """Wait until the daemon says that it is ready."""
        url = f"http://{self.ip}:{self.ready}/ready"
        ends_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < ends_s:
            try:
                with urllib.request.urlopen(url, timeout=1) as answer:
                    if answer.status == 200:
                        return
            except (urllib.error.URLError, OSError):
                time.sleep(0.1)
        raise TimeoutError(f"{self.ip} is not ready, see its log")

    def signal(self, number: signal.Signals) -> float:
        """Send a signal to the daemon; return its time since the start."""
        self.process.send_signal(number)
        return self._record.write(self.ip, f"daemon gets {number.name}")

    def end(self) -> None:
        """Kill the daemon if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

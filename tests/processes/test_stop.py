"""The process of a daemon exits while a thread still connects to a peer.

The peer accepts no connection, so the thread waits longer than the exit may take.
"""

import contextlib
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest

pytestmark = pytest.mark.processes

TIMEOUT_S = 60  # a process that waits for its peer takes longer
SYN_SENT = "02"
# Without a connect timeout the daemon waits forever for an unreachable peer.
SCRIPT = """
import sys
from chicorychute.core.management import main
from chicorychute.transport import links
links.CONNECT_TIMEOUT_S = None
sys.exit(main(["run", "-c", sys.argv[1]]))
"""
SETTINGS = """[instance]
id = a
zone = z
region = r
[edge]
port = 0
[peer]
port = 0
seeds = 127.0.0.1:{seed}
[operator]
port = 0
[platform]
backend = none
[log]
format = json
[upstream:u1]
service = s
url = http://127.0.0.1:9
"""


def unreachable_peer(stack):
    """Return the port of a listener whose backlog is full, so that connects hang."""
    listener = stack.enter_context(socket.socket())
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    port = listener.getsockname()[1]
    for _ in range(4):
        filler = stack.enter_context(socket.socket())
        filler.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            filler.connect(("127.0.0.1", port))
    return port


def is_connecting(pid, port):
    """Return whether a process is connecting to a port of this machine."""
    sockets = set()
    for fd in Path(f"/proc/{pid}/fd").iterdir():
        with contextlib.suppress(FileNotFoundError):  # closed since the listing
            sockets.add(os.readlink(fd))
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        is_pending = fields[2].endswith(f":{port:04X}") and fields[3] == SYN_SENT
        if is_pending and f"socket:[{fields[9]}]" in sockets:
            return True
    return False


def test_thread_waiting_for_a_peer_does_not_delay_the_exit(tmp_path):
    path = tmp_path / "daemon.ini"
    with contextlib.ExitStack() as stack:
        port = unreachable_peer(stack)
        path.write_text(SETTINGS.format(seed=port))
        daemon = subprocess.Popen(
            [sys.executable, "-c", SCRIPT, path],
            stdout=subprocess.PIPE,
            text=True,
        )
        stack.callback(daemon.kill)
        deadline_s = time.monotonic() + TIMEOUT_S
        while not is_connecting(daemon.pid, port):
            assert time.monotonic() < deadline_s, (
                f"no connect to the peer within {TIMEOUT_S} s"
            )
            time.sleep(0.05)
        daemon.send_signal(signal.SIGTERM)
        assert daemon.wait(TIMEOUT_S) == 0
        assert "daemon: stopped" in daemon.stdout.read()

"""A backend is taken away shortly after its machine was cut off from the store."""

import socket
import threading
import time

from review.common.backend import Backend
from review.common.case import Case, run_case
from review.common.machine import free_ports
from review.common.store import Store, make_config
from review.common.wire import read_answer, request_bytes

IPS = ("127.0.72.1", "127.0.72.2")
ZONE = "bagmati-a"
REGION_BY_ZONE = {ZONE: "bagmati"}
SERVICE = "orders"
HOST = "orders.example"
WORK_S = 0.35
CALLERS = 6
PAUSE_S = 0.1
# Bounds of the site.
DRAIN_S = 2.5
STABLE_S = 4.0
# The site cuts single machines off from the store for 5.5 s.
CUT_S = 5.5
REMOVED_AFTER_HEAL_S = 1.8
# "It continues serving for `drain` [...] and a little longer (at times many seconds)."
SERVES_ON_S = DRAIN_S + 8.0


def work(backend: Backend, connection: socket.socket, head, request_id: str) -> bool:
    """Answer after a short time."""
    backend.wait(connection, WORK_S)
    backend.respond(connection, head, "200 OK", b"order taken")
    return True


def send_requests(case: Case, port: int, caller: int, ends: threading.Event) -> None:
    """Send unsafe requests to the first machine, one after the other."""
    number = 0
    with socket.create_connection((IPS[0], port), timeout=10) as sock:
        while not ends.wait(PAUSE_S):
            number += 1
            id = f"q{caller}-{number}"
            header_by_name = {
                "Host": HOST,
                "X-Request-Id": id,
                "X-Deadline-Ms": "8000",
            }
            sock.sendall(request_bytes("POST", "/order/1", header_by_name, b"jar"))
            answer = read_answer(sock, "POST")
            case.record.write("client", f"{id} got status {answer.status}")


def play(case: Case) -> bool:
    """Return whether the removed backend got no request after its drain time."""
    ports = free_ports(list(IPS), 4)
    store = Store(case.record)
    rows = [["r1", HOST, "/order/", "unsafe", "4000ms", "1200ms", 1, SERVICE, 2]]
    store.put("op/config", make_config(1, rows, [SERVICE]))
    backends = [
        Backend(case.record, store, f"i-{ip}", SERVICE, ZONE, (ip, ports[3]), work)
        for ip in IPS
    ]
    for backend in backends:
        backend.start()
    machines = [
        case.machine(ip, ports, ZONE, REGION_BY_ZONE, SERVICE, store.serve(ip))
        for ip in IPS
    ]
    for machine in machines:
        machine.start()
    for machine in machines:
        machine.wait_ready()
    time.sleep(STABLE_S)
    ends = threading.Event()
    clients = [
        threading.Thread(
            target=send_requests, args=(case, ports[0], caller, ends), daemon=True
        )
        for caller in range(CALLERS)
    ]
    for client in clients:
        client.start()
    if case.has_trouble:
        store.cut(IPS[0])
    time.sleep(CUT_S)
    if case.has_trouble:
        store.heal(IPS[0])
    healed_s = case.record.now_s()
    time.sleep(REMOVED_AFTER_HEAL_S)
    leaver = backends[0]
    leaver.deregister()
    removed_s = case.record.now_s()
    time.sleep(SERVES_ON_S)
    leaver.crash()
    time.sleep(1)
    ends.set()
    for client in clients:
        client.join(10)
    # The machine is in touch `STABLE_S` after the cut.
    bound_s = max(removed_s + DRAIN_S, healed_s + STABLE_S)
    late = [id for arrived_s, id in leaver.arrivals if arrived_s > bound_s]
    before = [id for arrived_s, id in leaver.arrivals if arrived_s < removed_s]
    case.record.write(
        "case",
        f"removed at {removed_s:.3f} s, bound {bound_s:.3f} s: {len(late)} requests "
        f"reached {leaver.id} later, {len(before)} before its removal",
    )
    if not before:
        raise RuntimeError("the backend that leaves got no request before")
    return not late


if __name__ == "__main__":
    run_case(play)

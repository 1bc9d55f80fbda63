"""The store answers nothing for some seconds; later the configuration changes."""

import socket
import time

from review.common.backend import Backend
from review.common.case import Case, run_case
from review.common.machine import free_ports
from review.common.store import Store, make_config
from review.common.wire import ClientAnswer, read_answer, request_bytes

IPS = ("127.0.76.1", "127.0.76.2")
ZONE = "bagmati-a"
REGION_BY_ZONE = {ZONE: "bagmati"}
SERVICE = "orders"
HOST = "orders.example"
# Bounds of the site.
CONFIG_S = 2.5
STABLE_S = 4.0
# The site's store is down for 4.5 s.
SILENT_S = 4.5
CHANGE_BEFORE_S = 0.3
LATER_S = 8.0
PAUSE_S = 0.2


def work(backend: Backend, connection: socket.socket, head, request_id: str) -> bool:
    """Answer at once."""
    backend.respond(connection, head, "200 OK", b"order taken")
    return True


def route(name: str) -> list:
    """Return the cells of one route."""
    return [name, HOST, f"/{name}/", "unsafe", "4000ms", "1200ms", 1, SERVICE, 2]


def ask(case: Case, ip: str, port: int, id: str, path: str) -> ClientAnswer:
    """Send one request to a machine and return its answer."""
    header_by_name = {"Host": HOST, "X-Request-Id": id, "X-Deadline-Ms": "8000"}
    with socket.create_connection((ip, port), timeout=10) as sock:
        sock.sendall(request_bytes("POST", path, header_by_name, b"jar"))
        answer = read_answer(sock, "POST")
    case.record.write("client", f"{id} {path} at {ip} got status {answer.status}")
    return answer


def play(case: Case) -> bool:
    """Return whether the last configuration is in force after its bound."""
    ports = free_ports(list(IPS), 4)
    store = Store(case.record)
    kept, first, second = route("kept"), route("first"), route("second")
    store.put("op/config", make_config(1, [kept], [SERVICE]))
    for ip in IPS:
        address = (ip, ports[3])
        Backend(case.record, store, f"i-{ip}", SERVICE, ZONE, address, work).start()
        case.machine(ip, ports, ZONE, REGION_BY_ZONE, SERVICE, store.serve(ip))
    for machine in case.machines:
        machine.start()
    for machine in case.machines:
        machine.wait_ready()
    time.sleep(STABLE_S)
    store.put("op/config", make_config(2, [kept, first], [SERVICE]))
    time.sleep(CHANGE_BEFORE_S)
    if case.has_trouble:
        store.fall_silent()
    time.sleep(SILENT_S)
    if case.has_trouble:
        store.speak_again()
    time.sleep(STABLE_S)
    for ip in IPS:
        if ask(case, ip, ports[0], "before", "/first/1").status != 200:
            raise RuntimeError("the second configuration is not in force")
    store.put("op/config", make_config(3, [kept, second], [SERVICE]))
    time.sleep(CONFIG_S)
    count = stale = 0
    ends_s = time.monotonic() + LATER_S
    while time.monotonic() < ends_s:
        for ip in IPS:
            count += 1
            id = f"q{count}"
            dropped = ask(case, ip, ports[0], f"{id}-dropped", "/first/1")
            added = ask(case, ip, ports[0], f"{id}-added", "/second/1")
            stale += dropped.status == 200 or added.status == 404
        time.sleep(PAUSE_S)
    case.record.write(
        "case",
        f"{stale} of {count} pairs of requests were handled as only r2 allows, later "
        "than `config` after r3",
    )
    return not stale


if __name__ == "__main__":
    run_case(play)

"""A configuration names a service whose backends are registered already."""

import socket
import time

from review.common.backend import Backend
from review.common.case import Case, run_case
from review.common.machine import free_ports
from review.common.store import Store, make_config
from review.common.wire import ClientAnswer, read_answer, request_bytes

IPS = tuple(f"127.0.77.{number}" for number in range(1, 7))
ZONE = "bagmati-a"
REGION_BY_ZONE = {ZONE: "bagmati"}
FIRST_SERVICE = "orders"
ADDED_SERVICE = "stock"
SERVICE_BY_IP = {
    ip: ADDED_SERVICE if number % 3 == 1 else FIRST_SERVICE
    for number, ip in enumerate(IPS)
}
HOST = "shop.example"
# Bounds of the site.
CONFIG_S = 2.5
STABLE_S = 4.0
# "A backend that has just started is slow for some seconds"; its entry says so.
COLD_LEFT = "3000ms"
COLD_S = 3.0
LATER_S = 14.0
PAUSE_S = 0.5
# The rule applies from this number of requests on, and to less than this share.
MIN_REQUESTS = 20
MIN_SHARE = 0.25


def work(backend: Backend, connection: socket.socket, head, request_id: str) -> bool:
    """Answer at once."""
    backend.respond(connection, head, "200 OK", b"done")
    return True


def route(prefix: str, service: str) -> list:
    """Return the cells of one route."""
    name = prefix.strip("/")
    return [name, HOST, prefix, "unsafe", "4000ms", "1200ms", 1, service, 2]


def ask(case: Case, ip: str, port: int, request_id: str, path: str) -> ClientAnswer:
    """Send one request to a machine and return its answer."""
    header_by_name = {
        "Host": HOST,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": "8000",
    }
    with socket.create_connection((ip, port), timeout=10) as sock:
        sock.sendall(request_bytes("POST", path, header_by_name, b"jar"))
        answer = read_answer(sock, "POST")
    case.record.write(
        "client", f"{request_id} {path} at {ip} got status {answer.status}"
    )
    return answer


def play(case: Case) -> bool:
    """Return whether the route that was added is served like the first one."""
    ports = free_ports(list(IPS), 4)
    store = Store(case.record)
    first = route("/order/", FIRST_SERVICE)
    added = route("/stock/", ADDED_SERVICE)
    services = [FIRST_SERVICE, ADDED_SERVICE]
    rows = [first] if case.has_trouble else [first, added]
    first_services = [FIRST_SERVICE] if case.has_trouble else services
    store.put("op/config", make_config(1, rows, first_services))
    backends = []
    for ip, service in SERVICE_BY_IP.items():
        address = (ip, ports[3])
        backend = Backend(case.record, store, f"i-{ip}", service, ZONE, address, work)
        backend.start(COLD_LEFT)
        backends.append(backend)
        case.machine(ip, ports, ZONE, REGION_BY_ZONE, service, store.serve(ip))
    for machine in case.machines:
        machine.start()
    for machine in case.machines:
        machine.wait_ready()
    time.sleep(COLD_S)
    for backend in backends:
        backend.register()
    time.sleep(STABLE_S)
    store.put("op/config", make_config(2, [first, added], services))
    time.sleep(CONFIG_S)
    served_by_path = {"/order/1": 0, "/stock/1": 0}
    count = 0
    ends_s = time.monotonic() + LATER_S
    while time.monotonic() < ends_s:
        for ip in IPS:
            count += 1
            for path in served_by_path:
                request_id = f"q{count}{path[1]}"
                answer = ask(case, ip, ports[0], request_id, path)
                served_by_path[path] += answer.status == 200
        time.sleep(PAUSE_S)
    case.record.write("case", f"of {count} requests each: served {served_by_path}")
    if count < MIN_REQUESTS or not served_by_path["/order/1"]:
        raise RuntimeError("too few requests, or the first route is not served")
    return served_by_path["/stock/1"] >= MIN_SHARE * served_by_path["/order/1"]


if __name__ == "__main__":
    run_case(play)

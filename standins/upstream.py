"""Upstream stand-in: slots, service times and faults that can be set.

``POST /control`` takes JSON with any of the fields of `Faults`; ``GET /counts`` returns
the counts of requests. Every other request is served as work.
"""

import argparse
import json
import os
import random
import threading
import time
from collections import Counter, deque

import attrs
from cheroot import wsgi

SERVER_THREADS = 360
MAX_RECENT_PATHS = 10_000


@attrs.define
class Faults:
    """Faults of the upstream, all off at first.

    Attributes
    ----------
    slow_factor : float
        Factor by which the service time is multiplied.
    fail_share, hang_share, shed_share, empty_share : float
        Fractions of the requests, 0 to 1, that are answered with status 500, never,
        with status 503, or with status 200 and no body.
    cold_s : float
        Seconds after the start in which the service time is four times as long.
    crash_marker : str
        Text in a request body that makes the process exit at once with code 1.
    answer_bytes : int
        Length of the answer's body in bytes; 0 for a short JSON text.
    paused : bool
        Whether requests wait before they are served, until this is set to false.
    """

    slow_factor: float = 1.0
    fail_share: float = 0.0
    hang_share: float = 0.0
    shed_share: float = 0.0
    empty_share: float = 0.0
    cold_s: float = 0.0
    crash_marker: str = "crash-upstream"
    answer_bytes: int = 0
    paused: bool = False


class UpstreamApplication:
    """WSGI application of one upstream stand-in."""

    def __init__(self, name: str, service_ms: float, slots: int, seed: int):
        self._name = name
        self._service_s = service_ms / 1000
        self._slots = slots
        self._rng = random.Random(seed)
        self._lock = threading.Lock()
        self._faults = Faults()
        self._started_s = time.monotonic()
        self._running = 0
        self._counts: Counter[str] = Counter()
        self._runs_by_key: Counter[str] = Counter()
        self._trace_ids: set[str] = set()
        self._max_running = 0
        self._request_count = 0
        self._recent_paths: deque[str] = deque(maxlen=MAX_RECENT_PATHS)
        self._resumed = threading.Event()
        self._resumed.set()

    def __call__(self, environ, start_response):
        """Answer one request."""
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length) if length else b""
        path = environ["PATH_INFO"]
        if path == "/control":
            return self._change_faults(json.loads(body), start_response)
        if path == "/counts":
            return self._respond_json(start_response, "200 OK", self._snapshot())
        return self._serve_request(environ, body, start_response)

    def _change_faults(self, changes: dict, start_response):
        with self._lock:
            self._faults = attrs.evolve(self._faults, **changes)
        if self._faults.paused:
            self._resumed.clear()
        else:
            self._resumed.set()
        return self._respond_json(start_response, "200 OK", {})

    def _serve_request(self, environ, body: bytes, start_response):
        faults = self._faults
        with self._lock:
            self._request_count += 1
            self._recent_paths.append(environ["PATH_INFO"])
            self._running += 1
            self._max_running = max(self._max_running, self._running)
            draw = self._rng.random()
            jitter = self._rng.expovariate(1.0)
            traceparent = environ.get("HTTP_TRACEPARENT")
            if traceparent and len(self._trace_ids) < 1000:
                self._trace_ids.add(traceparent.split("-")[1])
        try:
            if faults.crash_marker.encode() in body:
                os._exit(1)
            if draw < faults.hang_share:
                time.sleep(3600)
            self._resumed.wait()
            time.sleep(self._service_time_s(faults, jitter))
            if draw < faults.shed_share:
                self._count("shed")
                return self._respond_json(start_response, "503 Busy", {"shed": True})
            if draw < faults.fail_share:
                self._count("failed")
                return self._respond_json(
                    start_response, "500 Broken", {"failed": True}
                )
            self._record_run(environ)
            if draw < faults.empty_share:
                return self._respond(start_response, "200 OK", b"")
            if faults.answer_bytes:
                return self._respond(
                    start_response, "200 OK", b"x" * faults.answer_bytes
                )
            answer = {"upstream": self._name, "path": environ["PATH_INFO"]}
            return self._respond_json(start_response, "200 OK", answer)
        finally:
            with self._lock:
                self._running -= 1

    def _service_time_s(self, faults: Faults, jitter: float) -> float:
        age_s = time.monotonic() - self._started_s
        cold_factor = 4.0 if age_s < faults.cold_s else 1.0
        return self._service_s * (0.7 + 0.3 * jitter) * faults.slow_factor * cold_factor

    def _record_run(self, environ) -> None:
        with self._lock:
            self._counts["ran"] += 1
            key = environ.get("HTTP_IDEMPOTENCY_KEY")
            if key:
                self._runs_by_key[key] += 1

    def _count(self, name: str) -> None:
        with self._lock:
            self._counts[name] += 1

    def _snapshot(self) -> dict:
        with self._lock:
            return {
                "upstream": self._name,
                "counts": dict(self._counts),
                "runs_by_key": dict(self._runs_by_key),
                "sends": self._request_count,
                "arrived": list(self._recent_paths),
                "running": self._running,
                "most_running": self._max_running,
                "slots": self._slots,
                "trace_ids": sorted(self._trace_ids),
            }

    def _respond_json(self, start_response, status: str, value: dict):
        return self._respond(start_response, status, json.dumps(value).encode())

    def _respond(self, start_response, status: str, body: bytes):
        headers = [
            ("Content-Type", "application/octet-stream"),
            ("Content-Length", str(len(body))),
        ]
        start_response(status, headers)
        return [body]


def main() -> None:
    """Serve until the process is terminated."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--service-ms", type=float, default=10.0)
    parser.add_argument("--slots", type=int, default=4)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    application = UpstreamApplication(
        options.name, options.service_ms, options.slots, options.seed
    )
    server = wsgi.Server(
        ("127.0.0.1", options.port),
        application,
        numthreads=SERVER_THREADS,
        request_queue_size=512,
    )
    server.safe_start()


if __name__ == "__main__":
    main()

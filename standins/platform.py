"""Platform stand-in: a configuration service and a list of instances.

Daemons read ``GET /config/table?after=V&wait=S``, a long poll of up to S seconds for
a version above V, and ``GET /instances``. A demo or test writes ``PUT /config/table``
(JSON with version and text), ``PUT /instances`` and ``PUT /outage`` (JSON true or
false; reads are answered 503 during an outage). ``GET /reads`` returns the number of
reads so far.
"""

import argparse
import json
import threading
from urllib.parse import parse_qs

from cheroot import wsgi

SERVER_THREADS = 256


class PlatformApplication:
    """WSGI application of the platform stand-in."""

    def __init__(self):
        self._changed = threading.Condition()
        self._table = {"version": 0, "text": ""}
        self._instances: list[dict] = []
        self._outage = False
        self._read_count = 0

    def __call__(self, environ, start_response):
        """Answer one HTTP request."""
        path = environ["PATH_INFO"]
        if environ["REQUEST_METHOD"] == "PUT":
            length = int(environ.get("CONTENT_LENGTH") or 0)
            self._put(path, json.loads(environ["wsgi.input"].read(length)))
            return _respond_json(start_response, "200 OK", {})
        if path == "/reads":
            return _respond_json(start_response, "200 OK", self._read_count)
        with self._changed:
            self._read_count += 1
            if self._outage:
                return _respond_json(start_response, "503 Outage", {})
        if path == "/instances":
            return _respond_json(start_response, "200 OK", self._instances)
        return self._watch(parse_qs(environ["QUERY_STRING"]), start_response)

    def _put(self, path: str, value) -> None:
        with self._changed:
            match path:
                case "/config/table":
                    self._table = value
                case "/instances":
                    self._instances = value
                case "/outage":
                    self._outage = value
            self._changed.notify_all()

    def _watch(self, query: dict, start_response):
        after = int(query.get("after", ["0"])[0])
        wait_s = float(query.get("wait", ["0"])[0])
        with self._changed:
            self._changed.wait_for(
                lambda: self._outage or self._table["version"] > after, wait_s
            )
            if self._outage:
                return _respond_json(start_response, "503 Outage", {})
            if self._table["version"] > after:
                return _respond_json(start_response, "200 OK", self._table)
        start_response("304 Not Modified", [])
        return []


def _respond_json(start_response, status: str, value):
    body = json.dumps(value).encode()
    start_response(
        status,
        [("Content-Type", "application/json"), ("Content-Length", str(len(body)))],
    )
    return [body]


def main() -> None:
    """Serve until the process is terminated."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    options = parser.parse_args()
    server = wsgi.Server(
        ("127.0.0.1", options.port),
        PlatformApplication(),
        numthreads=SERVER_THREADS,
        request_queue_size=512,
    )
    server.safe_start()


if __name__ == "__main__":
    main()

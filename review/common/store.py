"""Stand-in for the platform's store: items, pages, watches."""

import base64
import json
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

PAGE_SIZE = 500
BEAT_S = 1.5


class Store:
    """Store with one address for each machine, so that a cut can hit one alone."""

    def __init__(self, record):
        self._record = record
        self._changed = threading.Condition()
        self._revision = 100
        self._item_by_key: dict[str, dict] = {}
        self._events: list[dict] = []
        self._servers: list[ThreadingHTTPServer] = []
        self._cut_number_by_label: dict[str, int] = {}
        self._cut_labels: set[str] = set()
        self._is_silent = False
        self._never = threading.Event()

    def serve(self, label: str) -> str:
        """Open an address for a machine and return it as ``host:port``."""
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            wbufsize = -1

            def do_GET(self):  # noqa: N802, the name that the library calls
                """Answer one call."""
                store._answer(self, label)

            def log_message(self, *arguments):
                """Log nothing."""

        server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        server.daemon_threads = True
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self._servers.append(server)
        self._cut_number_by_label[label] = 0
        return f"127.0.0.1:{server.server_address[1]}"

    def put(self, key: str, value: object) -> int:
        """Write a value and return its length in bytes."""
        data = json.dumps(value).encode()
        with self._changed:
            self._revision += 1
            created = self._item_by_key.get(key, {}).get("created", self._revision)
            item = {
                "key": key,
                "value": base64.b64encode(data).decode(),
                "rev": self._revision,
                "created": created,
                "lease": 0,
            }
            self._item_by_key[key] = item
            self._events.append(item)
            self._changed.notify_all()
            self._record.write("store", f"{key} written, revision {self._revision}")
            return len(data)

    def remove(self, key: str) -> None:
        """Remove an item."""
        with self._changed:
            self._revision += 1
            del self._item_by_key[key]
            self._events.append({"key": key, "rev": self._revision, "removed": True})
            self._changed.notify_all()
            self._record.write("store", f"{key} removed, revision {self._revision}")

    def cut(self, label: str) -> None:
        """Close the connections of a machine, and each that it opens, until `heal`."""
        with self._changed:
            self._cut_labels.add(label)
            self._cut_number_by_label[label] += 1
            self._changed.notify_all()
        self._record.write("store", f"{label} is cut off")

    def heal(self, label: str) -> None:
        """Serve a machine again that was cut off."""
        with self._changed:
            self._cut_labels.discard(label)
        self._record.write("store", f"{label} is served again")

    def fall_silent(self) -> None:
        """Answer no call; one that falls into this time is never answered."""
        self._is_silent = True
        self._record.write("store", "answers no calls from here on")

    def speak_again(self) -> None:
        """Answer the calls that come from here on."""
        self._is_silent = False
        self._record.write("store", "answers calls again")

    def _answer(self, handler: BaseHTTPRequestHandler, label: str) -> None:
        parts = urlsplit(handler.path)
        if label in self._cut_labels:
            handler.close_connection = True
            return
        if self._is_silent:
            self._record.write("store", f"{handler.path} of {label} gets no answer")
            self._never.wait()
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        match parts.path.rpartition("/")[2]:
            case "kv-key":
                answer = self._read_key(query)
            case "kv-range":
                answer = self._read_range(query)
            case "kv-watch":
                answer = self._watch(query, label)
            case _:
                answer = (404, {})
        if answer is None:
            handler.close_connection = True
            return
        if self._is_silent:
            self._record.write("store", f"the answer to {handler.path} is lost")
            self._never.wait()
        status, body = answer
        data = json.dumps(body).encode()
        handler.send_response(status)
        handler.send_header("Content-Type", "application/json")
        handler.send_header("Content-Length", str(len(data)))
        handler.end_headers()
        handler.wfile.write(data)

    def _read_key(self, query: dict[str, str]) -> tuple[int, dict]:
        with self._changed:
            item = self._item_by_key.get(query["key"])
            if item is None:
                return 404, {}
            return 200, {**item, "current_rev": self._revision}

    def _read_range(self, query: dict[str, str]) -> tuple[int, dict]:
        with self._changed:
            keys = sorted(
                key
                for key in self._item_by_key
                if key.startswith(query["path_prefix"]) and key > query.get("after", "")
            )
            items = [self._item_by_key[key] for key in keys[:PAGE_SIZE]]
            return 200, {
                "items": items,
                "truncated": len(keys) > PAGE_SIZE,
                "current_rev": self._revision,
            }

    def _watch(self, query: dict[str, str], label: str) -> tuple[int, dict] | None:
        after, prefix = int(query["after"]), query["path_prefix"]

        def events() -> list[dict]:
            return [
                event
                for event in self._events
                if event["rev"] > after and event["key"].startswith(prefix)
            ]

        with self._changed:
            cut_number = self._cut_number_by_label[label]
            self._changed.wait_for(
                lambda: events() or self._cut_number_by_label[label] != cut_number,
                int(query["wait_ms"]) / 1000,
            )
            if self._cut_number_by_label[label] != cut_number:
                return None
            return 200, {"events": events(), "current_rev": self._revision}


def make_config(
    version: int, rows: list[list], services: list[str], idle: str = "15000ms"
) -> dict:
    """Return a configuration.

    Parameters
    ----------
    rows : list
        Routes as name, host, path_prefix, kind, timeout, goal, priority, service,
        attempts.
    """
    columns = [
        "name",
        "host",
        "path_prefix",
        "kind",
        "timeout",
        "goal",
        "priority",
        "service",
        "attempts",
    ]
    return {
        "revision": f"r{version}",
        "routes": {"columns": columns, "rows": rows},
        "services": {
            "columns": ["name", "health_path", "max_conns", "protocol", "tls"],
            "rows": [[name, "/healthz", 330, "h1", False] for name in services],
        },
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout": "3000ms",
            "idle_timeout": idle,
        },
    }

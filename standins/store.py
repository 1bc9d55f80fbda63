"""Stand-in for the users' key-value store: items, paged ranges, watches, faults."""

import base64
import json
import threading
import time
from urllib.parse import parse_qs

import attrs
from cheroot import wsgi

SERVER_THREADS = 32
JSON_HEADERS = [("Content-Type", "application/json")]


@attrs.define
class StoreFaults:
    """Faults of the store, all off at first.

    Attributes
    ----------
    status : int
        HTTP status with which every call fails; 0 to answer normally.
    history_from : int
        Oldest revision whose changes are kept; a watch from before it gets 410.
    fail_after : int
        Number of calls after which every call fails with 503; 0 for no limit.
    delay_s : float
        Time before every call is answered.
    """

    status: int = 0
    oldest_known_revision: int = 0
    fail_after: int = 0
    delay_s: float = 0.0


class StoreApplication:
    """WSGI application of the store; tests write with `put` and `remove`.

    Parameters
    ----------
    page_size : int
        Maximum number of items in the answer to a range.
    """

    def __init__(self, page_size: int = 500):
        self._page_size = page_size
        self._changed = threading.Condition()
        self._revision = 1
        self._item_by_key: dict[str, dict] = {}
        self._events: list[dict] = []
        self.faults = StoreFaults()
        self.calls: list[str] = []
        self.stale_calls = 0
        # Newest revision that a watch of each prefix has known.
        self.known_revision_by_prefix: dict[str, int] = {}
        self._is_silent = False
        self._silence_ended = threading.Event()
        self._stale_item_by_key: dict[str, dict] | None = None
        self._stale_from_key = ""

    def put(self, key: str, value: object) -> int:
        """Write a value, as JSON unless it is bytes; return the new revision."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self._changed:
            self._revision += 1
            previous = self._item_by_key.get(key, {})
            item = {
                "key": key,
                "value": base64.b64encode(data).decode(),
                "rev": self._revision,
                "created": previous.get("created", self._revision),
                "lease": 0,
            }
            self._item_by_key[key] = item
            self._events.append(item)
            self._changed.notify_all()
            return self._revision

    def remove(self, key: str) -> None:
        """Remove an item."""
        with self._changed:
            self._revision += 1
            del self._item_by_key[key]
            event = {"key": key, "rev": self._revision, "removed": True}
            self._events.append(event)
            self._changed.notify_all()

    def drop_history(self) -> None:
        """Drop all changes so far, as a store that compacts its history."""
        with self._changed:
            self.faults.oldest_known_revision = self._revision + 1
            self._events.clear()

    def freeze_stale_reads(self, from_key: str = "") -> None:
        """Answer stale reads that begin at `from_key` with the present items."""
        with self._changed:
            self._stale_item_by_key = dict(self._item_by_key)
            self._stale_from_key = from_key

    def fall_silent(self) -> None:
        """Answer no call that arrives, or would be answered, from now on."""
        self._is_silent = True

    def speak_again(self) -> None:
        """Answer the calls that arrive from now on; earlier ones stay unanswered."""
        self._is_silent = False

    def release_unanswered(self) -> None:
        """End the calls that got no answer, so that the server can stop."""
        self._silence_ended.set()

    def __call__(self, environ, start_response):
        """Answer one HTTP request."""
        query = {k: v[0] for k, v in parse_qs(environ["QUERY_STRING"]).items()}
        name = environ["PATH_INFO"].rpartition("/")[2]
        self.calls.append(name)
        self.stale_calls += query.get("allow_stale") == "1"
        faults = self.faults
        if self._is_silent:
            self._silence_ended.wait()
        if faults.delay_s:
            time.sleep(faults.delay_s)
        if faults.status or 0 < faults.fail_after < len(self.calls):
            start_response(f"{faults.status or 503} Fault", JSON_HEADERS)
            return [b"{}"]
        handler = {
            "kv-key": self._read_item,
            "kv-range": self._list_range,
            "kv-watch": self._watch,
        }[name]
        status, body = handler(query)
        if self._is_silent:
            self._silence_ended.wait()
        start_response(status, JSON_HEADERS)
        return [json.dumps(body).encode()]

    def _read_item(self, query):
        with self._changed:
            item = self._item_by_key.get(query["key"])
            if item is None:
                return "404 Not Found", {}
            return "200 OK", {**item, "current_rev": self._revision}

    def _list_range(self, query):
        with self._changed:
            item_by_key = self._item_by_key
            is_stale = (
                query.get("allow_stale") == "1"
                and self._stale_item_by_key is not None
                and query.get("after", "") >= self._stale_from_key
            )
            if is_stale:
                item_by_key = self._stale_item_by_key
            keys = sorted(
                key
                for key in item_by_key
                if key.startswith(query["path_prefix"]) and key > query.get("after", "")
            )
            page = keys[: self._page_size]
            return "200 OK", {
                "items": [item_by_key[key] for key in page],
                "truncated": len(keys) > len(page),
                "current_rev": self._revision,
            }

    def _watch(self, query):
        after = int(query["after"])
        prefix = query["path_prefix"]
        self.known_revision_by_prefix[prefix] = after

        def events():
            return [
                event
                for event in self._events
                if event["rev"] > after and event["key"].startswith(prefix)
            ]

        with self._changed:
            if after < self.faults.oldest_known_revision:
                return "410 Gone", {}
            self._changed.wait_for(events, int(query["wait_ms"]) / 1000)
            return "200 OK", {"events": events(), "current_rev": self._revision}


def make_config(version: int, service: str = "orders", **changes) -> dict:
    """Return a configuration with a safe route and an unsafe one."""
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
        "split",
    ]
    rows = [
        ["read", "h.example", "/read/", "safe", "3s", "1000ms", 0, service, 2, None],
        ["buy", "h.example", "/buy/", "unsafe", "4000ms", "1.2s", 1, service, 2, None],
    ]
    return {
        "revision": f"r{version}",
        "routes": {"columns": columns, "rows": rows},
        "services": {
            "columns": ["name", "health_path", "max_conns", "protocol", "tls"],
            "rows": [[service, "/healthz", 330, "h1", False]],
        },
        "limits": {"idle_timeout": "15000ms"},
        **changes,
    }


def make_registration(address: str, service: str = "orders", **changes) -> dict:
    """Return the record with which an upstream registers itself."""
    status = {"state": "ready", "seq": 1, "cold_left": "0ms"}
    info = {"service": service, "revision": "v1", "zone": "z1", "slots": 4}
    return {"address": address, "info": info, "status": status, "born": 1, **changes}


def serve(application) -> wsgi.Server:
    """Start a server for an application on a free loopback port."""
    server = wsgi.Server(("127.0.0.1", 0), application, numthreads=SERVER_THREADS)
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    return server

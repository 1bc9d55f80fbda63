"""Stand-in for the platform's store: items, ranges and watches, all linearizable."""

import asyncio
import base64
import contextlib
import json
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

from review.second.http1 import read_message, render

PAGE_ITEMS = 500
POLL_S = 0.01
STATUS_LINE = {200: "HTTP/1.1 200 OK", 404: "HTTP/1.1 404 Not Found"}

# A handler is also cancelled at the end of the case.
CONNECTION_ENDS = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)


def _loses_none(wait_ms: int) -> bool:
    """Return False for every watch."""
    return False


class Store:
    """The platform's store; the case writes with `put` and `remove`."""

    def __init__(self):
        self.revision = 1
        self.lost_answers = 0
        self._item_by_key: dict[str, dict] = {}
        self._events: list[dict] = []
        self._waiting: set[asyncio.StreamWriter] = set()
        self._loses_answer: Callable[[int], bool] = _loses_none
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def stop(self) -> None:
        """Stop listening."""
        self._server.close()

    def put(self, key: str, value: object) -> None:
        """Write a value as JSON; the return acknowledges it."""
        self.revision += 1
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        created = self._item_by_key.get(key, {}).get("created", self.revision)
        item = {
            "key": key,
            "value": base64.b64encode(data).decode(),
            "rev": self.revision,
            "created": created,
            "lease": 0,
        }
        self._item_by_key[key] = item
        self._events.append(item)

    def remove(self, key: str) -> None:
        """Remove an item."""
        self.revision += 1
        del self._item_by_key[key]
        self._events.append({"key": key, "rev": self.revision, "removed": True})

    def cut_waiting_watches(self) -> int:
        """Close the connection of each watch that waits; return their number."""
        waiting = tuple(self._waiting)
        for writer in waiting:
            writer.close()
        return len(waiting)

    def lose_answers(self, loses_answer: Callable[[int], bool]) -> None:
        """Lose the answers to the watches whose wait in milliseconds is chosen.

        A connection on which an answer is lost returns nothing further.
        """
        self._loses_answer = loses_answer

    def lose_no_answers(self) -> None:
        """Answer again, on other connections than those that lost an answer."""
        self._loses_answer = _loses_none

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(*CONNECTION_ENDS):
            while True:
                request = await read_message(reader, is_answer=False)
                url = urlsplit(request.start_line[1])
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                status, body = await self._answer(url.path, query, writer)
                if self._loses_answer(int(query.get("wait_ms", 0))):
                    self.lost_answers += 1
                    await reader.read()
                    break
                headers = {"Content-Type": "application/json"}
                data = json.dumps(body).encode()
                writer.write(render(STATUS_LINE[status], headers, data))
                await writer.drain()
        writer.close()

    async def _answer(
        self, path: str, query: dict[str, str], writer: asyncio.StreamWriter
    ) -> tuple[int, dict]:
        match path.rpartition("/")[2]:
            case "kv-key":
                item = self._item_by_key.get(query["key"])
                found = {} if item is None else {**item, "current_rev": self.revision}
                return (200 if found else 404), found
            case "kv-range":
                return 200, self._range(query)
            case "kv-watch":
                self._waiting.add(writer)
                try:
                    return 200, await self._watch(query)
                finally:
                    self._waiting.discard(writer)
        return 404, {}

    def _range(self, query: dict[str, str]) -> dict:
        keys = sorted(
            key
            for key in self._item_by_key
            if key.startswith(query["path_prefix"]) and key > query.get("after", "")
        )
        return {
            "items": [self._item_by_key[key] for key in keys[:PAGE_ITEMS]],
            "truncated": len(keys) > PAGE_ITEMS,
            "current_rev": self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> dict:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + int(query["wait_ms"]) / 1000
        after, prefix = int(query["after"]), query["path_prefix"]
        while True:
            events = [
                event
                for event in self._events
                if event["rev"] > after and event["key"].startswith(prefix)
            ]
            if events or loop.time() >= end_s:
                return {"events": events, "current_rev": self.revision}
            await asyncio.sleep(POLL_S)

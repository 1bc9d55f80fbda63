"""Stand-in for an application backend, as the platform's pages describe it."""

import asyncio
import contextlib
import random
import time
from collections.abc import Callable

from review.second.http1 import Message, read_body, read_head, render
from review.second.record import Record
from review.second.store import Store

STATUS_LINE = {
    200: "HTTP/1.1 200 OK",
    400: "HTTP/1.1 400 Bad Request",
    421: "HTTP/1.1 421 Misdirected Request",
    500: "HTTP/1.1 500 Error",
    503: "HTTP/1.1 503 Busy",
    504: "HTTP/1.1 504 Timeout",
}
POLL_S = 0.02
HEALTH_S = 0.025
QUICK_S = 0.002
HEALTH_PATH = "/healthz"

# A handler is also cancelled at the end of the case.
CONNECTION_ENDS = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)


class Backend:
    """Serves requests in its slots, queues a few more and rejects the rest.

    Parameters
    ----------
    work_s : callable
        Returns the time in seconds that the run of a path takes.
    error_share : float
        Fraction of the runs that end with status 500.
    queue : int
        Requests that may wait for a slot.
    """

    def __init__(
        self,
        id: str,
        service: str,
        zone: str,
        address: tuple[str, int],
        store: Store,
        record: Record,
        work_s: Callable[[str], float],
        rng: random.Random,
        slots: int = 4,
        queue: int = 8,
        error_share: float = 0.0,
    ):
        self.id = id
        self.service = service
        self.address = address
        self._zone = zone
        self._store = store
        self._record = record
        self._work_s = work_s
        self._rng = rng
        self._slots = slots
        self._queue = queue
        self._error_share = error_share
        self._free_slots = asyncio.Semaphore(slots)
        self._taken = 0
        self._seq = 0
        self._born_ms = int(time.time() * 1000)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._restart: asyncio.Task | None = None

    async def start(self) -> None:
        """Listen, and register in the store."""
        self._server = await asyncio.start_server(self._serve, *self.address)
        self.register()

    def register(self, state: str = "ready", cold_left: str = "0ms") -> None:
        """Write the entry; heartbeats, which only raise `seq`, do not change it."""
        self._seq += 1
        entry = {
            "address": "{}:{}".format(*self.address),
            "info": {
                "service": self.service,
                "revision": "v1",
                "zone": self._zone,
                "slots": self._slots,
            },
            "status": {"state": state, "seq": self._seq, "cold_left": cold_left},
            "born": self._born_ms,
        }
        self._store.put(f"servers/{self.id}", entry)

    def unregister(self) -> None:
        """Remove the entry, without having reported to be draining."""
        self._store.remove(f"servers/{self.id}")

    def crash(self, back_after_s: float) -> None:
        """End at once, and start again under the same id after some time."""
        self.stop()
        self._restart = asyncio.create_task(self._start_again(back_after_s))

    async def _start_again(self, after_s: float) -> None:
        await asyncio.sleep(after_s)
        self._taken = 0
        self._free_slots = asyncio.Semaphore(self._slots)
        self._born_ms = int(time.time() * 1000)
        await self.start()

    def stop(self) -> None:
        """End at once, with every connection."""
        if self._restart is not None:
            self._restart.cancel()
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            with contextlib.suppress(*CONNECTION_ENDS):
                while True:
                    start_line, header_by_name = await read_head(reader)
                    self.on_next_request(writer)
                    body = await read_body(reader, header_by_name)
                    request = Message(start_line, header_by_name, body)
                    answer = await self._handle(request, reader)
                    if answer is None:
                        break
                    writer.write(answer)
                    await writer.drain()
                    self.on_answered(writer, answer)
        finally:
            self._writers.discard(writer)
            writer.close()

    def failing_share(self) -> float:
        """Return the fraction of the runs that fail now, quickly."""
        return self._error_share

    def on_next_request(self, writer: asyncio.StreamWriter) -> None:
        """Do nothing as the head of a further request comes."""

    def on_answered(self, writer: asyncio.StreamWriter, answer: bytes) -> None:
        """Do nothing after an answer."""

    async def _handle(
        self, request: Message, reader: asyncio.StreamReader
    ) -> bytes | None:
        """Return the answer, or None if the caller has gone."""
        headers = request.header_by_name
        request_id = headers.get("x-request-id", "")
        is_probe = request.start_line[1] == HEALTH_PATH
        if headers.get("x-expect-instance", self.id) != self.id:
            return self._reject(421, request_id)
        if not is_probe and not request_id:
            return self._reject(400, request_id)
        if self._taken >= self._slots + self._queue:
            self._record.add("rejected", backend=self.id, id=request_id)
            return self._reject(503, request_id)
        deadline_s = time.monotonic() + float(headers.get("x-deadline-ms", 60e3)) / 1000
        self._taken += 1
        try:
            return await self._run(request, reader, deadline_s, is_probe)
        finally:
            self._taken -= 1

    async def _run(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        deadline_s: float,
        is_probe: bool,
    ) -> bytes | None:
        request_id = request.header_by_name.get("x-request-id", "")
        async with self._free_slots:
            if reader.at_eof():
                return None
            if time.monotonic() >= deadline_s:
                return self._reject(503, request_id)
            if not is_probe:
                self._record.add(
                    "run",
                    backend=self.id,
                    service=self.service,
                    id=request_id,
                    path=request.start_line[1],
                    caller=request.header_by_name.get("x-caller", ""),
                    body=request.body.decode("latin-1")[:80],
                )
            path = request.start_line[1]
            fails = not is_probe and self._rng.random() < self.failing_share()
            work_s = HEALTH_S if is_probe else QUICK_S if fails else self._work_s(path)
            end_s = time.monotonic() + work_s
            while (now_s := time.monotonic()) < min(end_s, deadline_s):
                if reader.at_eof():
                    return None
                await asyncio.sleep(min(POLL_S, end_s - now_s))
        if is_probe:
            return render(STATUS_LINE[200], {"X-Instance-Id": self.id})
        status = 200
        if time.monotonic() >= deadline_s:
            status = 504
        elif fails:
            status = 500
        stamp = f"{self.id}.{request_id}.{status}"
        headers = {"X-Request-Id": request_id, "X-Response-Stamp": stamp}
        return render(STATUS_LINE[status], headers, f"body of {request_id}".encode())

    def _reject(self, status: int, request_id: str) -> bytes:
        headers = {"X-Not-Run": "1", "X-Instance-Id": self.id}
        if request_id:
            headers["X-Request-Id"] = request_id
        return render(STATUS_LINE[status], headers)

"""Stand-in for a client: sends one request and reads its answer."""

import asyncio
import contextlib
import time

import attrs

from review.second.http1 import read_message, render
from review.second.record import Record

CONNECT_TIMEOUT_S = 1.0
ORDER_DEADLINE_S = 8.0
ORDER_INTERVAL_S = 0.05


@attrs.frozen
class Call:
    """End of a client attempt.

    Attributes
    ----------
    status : int
        Status of the answer, 0 if there was none.
    sent_s, ended_s : float
        Times of the record.
    """

    id: str
    status: int
    header_by_name: dict[str, str]
    body: bytes
    sent_s: float
    ended_s: float


async def call(
    record: Record,
    address: tuple[str, int],
    id: str,
    method: str,
    path: str,
    host: str,
    deadline_s: float,
    body: bytes = b"",
    leaves_after_s: float | None = None,
) -> Call:
    """Send a request on a new connection and return how it ended.

    Parameters
    ----------
    leaves_after_s : float, optional
        Time after which the client closes the connection; its deadline if left out.
    """
    sent_s = record.add("sent", id=id, method=method, path=path, to=address[0])
    headers = {
        "Host": host,
        "X-Request-Id": id,
        "X-Deadline-Ms": f"{deadline_s * 1000:.0f}",
    }
    status, header_by_name, data = 0, {}, b""
    writer = None
    with contextlib.suppress(
        OSError, asyncio.IncompleteReadError, TimeoutError, ValueError
    ):
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(*address), CONNECT_TIMEOUT_S
        )
        writer.write(render(f"{method} {path} HTTP/1.1", headers, body))
        waits_s = deadline_s if leaves_after_s is None else leaves_after_s
        message = await asyncio.wait_for(read_message(reader, True), waits_s)
        status, header_by_name, data = (
            message.status,
            message.header_by_name,
            message.body,
        )
    if writer is not None:
        writer.close()
    ended_s = record.add(
        "answered", id=id, status=status, stamp=header_by_name.get("x-response-stamp")
    )
    return Call(id, status, header_by_name, data, sent_s, ended_s)


async def send_in_turn(
    record: Record,
    addresses: list[tuple[str, int]],
    path: str,
    host: str,
    stopped: asyncio.Event,
) -> list[Call]:
    """Send orders to all machines in turn until `stopped` is set."""
    calls: list[asyncio.Task] = []
    while not stopped.is_set():
        number = len(calls)
        address = addresses[number % len(addresses)]
        attempt = call(
            record,
            address,
            f"order-{number}",
            "POST",
            f"{path}{number}",
            host,
            ORDER_DEADLINE_S,
            b"jars",
        )
        calls.append(asyncio.create_task(attempt))
        await asyncio.sleep(ORDER_INTERVAL_S)
    return await asyncio.gather(*calls)


async def wait_ready(address: tuple[str, int], timeout_s: float = 30.0) -> None:
    """Wait until a daemon answers that it is ready.

    Raises
    ------
    TimeoutError
        If it doesn't within the time.
    """
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(render("GET /ready HTTP/1.1", {"Host": "ready"}))
            message = await asyncio.wait_for(read_message(reader, True), 2.0)
            writer.close()
            if message.status == 200:
                return
        await asyncio.sleep(0.1)
    raise TimeoutError(f"the daemon at {address[0]} did not become ready")

"""Records inputs and results of the gate's decisions, one JSON line per event."""

import threading
from pathlib import Path
from typing import TextIO

import structlog

from chicorychute.core.clock import Clock
from chicorychute.core.messages import UpstreamDigest, Verdict
from chicorychute.health.evidence import BYTES_UNKNOWN, Observation, Result
from chicorychute.replay.trace import (
    EndEvent,
    Event,
    PeersEvent,
    RequestEvent,
    StartEvent,
    TableEvent,
    VerdictEvent,
    to_line,
)

NEVER_RAN_MS = -1.0
END_LINE_RESERVE_BYTES = 64  # Kept free for the line that marks the end.

logger = structlog.get_logger()


class RecordError(Exception):
    """The trace can't be written."""


class NoRecorder:
    """Recorder that records nothing."""

    def record_table(self, text: str) -> None:
        """Write a table that came into force."""

    def record_arrival(self, upstream: str, rank: str, deadline_s: float) -> None:
        """Remember the arrival of a request, which is written when it ends."""

    def record_end(
        self, upstream: str, deadline_s: float, observation: Observation
    ) -> None:
        """Write a request that ran."""

    def record_refusal(self, upstream: str, rank: str, deadline_s: float) -> None:
        """Write a request that was refused and never ran."""

    def record_peers(self, service: str, digests: list[UpstreamDigest]) -> None:
        """Write the digests of a service's upstreams on other instances."""

    def record_verdict(self, upstream: str, verdict: Verdict, reason: str) -> None:
        """Write a verdict if it has changed."""

    def close(self) -> None:
        """End the trace."""


class Recorder(NoRecorder):
    """Recorder that writes to a file, up to a maximum size.

    Parameters
    ----------
    services : tuple of (str, str)
        Id and service of each local upstream.
    max_bytes : int
        Size at which the recording stops.

    Raises
    ------
    RecordError
        If the file can't be opened for writing.
    """

    def __init__(
        self,
        path: Path,
        services: tuple[tuple[str, str], ...],
        clock: Clock,
        max_bytes: int,
    ):
        self._clock = clock
        self._start_s = clock.monotonic()
        self._remaining_bytes = max_bytes
        self._lock = threading.Lock()
        self._file: TextIO | None = _open(path)
        self._arrived_by_key: dict[tuple[str, str, float], float] = {}
        self._verdict_by_upstream: dict[str, Verdict] = {}
        self._write(self._start_s, StartEvent(services, False))

    def record_table(self, text: str) -> None:
        """Write a table that came into force."""
        self._write(self._clock.monotonic(), TableEvent(text))

    def record_arrival(self, upstream: str, rank: str, deadline_s: float) -> None:
        """Remember the arrival of a request, which is written when it ends."""
        if self._file is None:
            return
        with self._lock:
            key = (upstream, rank, deadline_s)
            self._arrived_by_key[key] = self._clock.monotonic()

    def record_end(
        self, upstream: str, deadline_s: float, observation: Observation
    ) -> None:
        """Write a request that ran."""
        service_ms = observation.latency_s * 1000
        self._record_request(
            upstream,
            observation.rank,
            deadline_s,
            service_ms,
            observation.result,
            observation.bytes,
        )

    def record_refusal(self, upstream: str, rank: str, deadline_s: float) -> None:
        """Write a request that was refused and never ran."""
        result = Result.CANCELLED
        self._record_request(
            upstream, rank, deadline_s, NEVER_RAN_MS, result, BYTES_UNKNOWN
        )

    def record_peers(self, service: str, digests: list[UpstreamDigest]) -> None:
        """Write the digests of a service's upstreams on other instances."""
        self._write(self._clock.monotonic(), PeersEvent(service, tuple(digests)))

    def record_verdict(self, upstream: str, verdict: Verdict, reason: str) -> None:
        """Write a verdict if it has changed."""
        if self._verdict_by_upstream.get(upstream) is verdict:
            return
        self._verdict_by_upstream[upstream] = verdict
        self._write(self._clock.monotonic(), VerdictEvent(upstream, verdict, reason))

    def close(self) -> None:
        """End the trace."""
        self._end("stopped")

    def _record_request(
        self,
        upstream: str,
        rank: str,
        deadline_s: float,
        service_ms: float,
        result: Result,
        size: int,
    ) -> None:
        with self._lock:
            key = (upstream, rank, deadline_s)
            arrived_s = self._arrived_by_key.pop(key, None)
        if arrived_s is None:
            return
        deadline_ms = (deadline_s - arrived_s) * 1000
        event = RequestEvent(upstream, rank, deadline_ms, service_ms, result, size)
        self._write(arrived_s, event)

    def _write(self, at_s: float, event: Event) -> None:
        line = to_line(max(at_s - self._start_s, 0.0), event) + "\n"
        with self._lock:
            if self._file is None:
                return
            self._remaining_bytes -= len(line.encode())
            if self._remaining_bytes >= END_LINE_RESERVE_BYTES:
                self._write_line(line)
                return
        logger.warning("record: trace has reached its maximum size, recording stopped")
        self._end("full")

    def _write_line(self, line: str) -> None:
        try:
            self._file.write(line)
        except OSError as error:
            logger.error("record: trace can't be written", error=str(error))
            self._file = None

    def _end(self, reason: str) -> None:
        with self._lock:
            if self._file is None:
                return
            at_s = self._clock.monotonic() - self._start_s
            self._write_line(to_line(at_s, EndEvent(reason)) + "\n")
            file, self._file = self._file, None
            self._arrived_by_key.clear()
        if file is not None:
            file.close()


def _open(path: Path) -> TextIO:
    try:
        return path.open("w", encoding="utf-8")
    except OSError as error:
        problem = f"{path}: can't be written ({error.strerror})"
        raise RecordError(f"{problem}: name a file in a writable folder") from error

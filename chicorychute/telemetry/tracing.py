"""Spans for each hop, carried by the W3C ``traceparent`` header."""

import contextlib
import random
import re
from typing import Protocol

HEADER = "traceparent"
NO_TRACE_ID = "0" * 32
NO_SPAN_ID = "0" * 16

_parse = re.compile(r"([0-9a-f]{2})-([0-9a-f]{32})-([0-9a-f]{16})-[0-9a-f]{2}").match


class Tracing(Protocol):
    """Opens the spans of one daemon."""

    def span(
        self, name: str, traceparent: str
    ) -> contextlib.AbstractContextManager[str]:
        """Open a span below `traceparent`; yields the traceparent to pass on."""


class PassThroughTracing:
    """Passes the caller's trace on and records nothing.

    A request without a valid trace gets a new one, so that the upstream's own
    records of it can be told apart.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng

    def span(
        self, name: str, traceparent: str
    ) -> contextlib.AbstractContextManager[str]:
        """Yield the caller's traceparent, or a new one that is not sampled."""
        kept = traceparent if is_valid(traceparent) else self._new()
        return contextlib.nullcontext(kept)

    def _new(self) -> str:
        trace_id = self._rng.getrandbits(128) or 1
        span_id = self._rng.getrandbits(64) or 1
        return f"00-{trace_id:032x}-{span_id:016x}-00"


def is_valid(traceparent: str) -> bool:
    """Tell if a header names a trace and a parent."""
    found = _parse(traceparent)
    if found is None or found[1] == "ff":
        return False
    return found[2] != NO_TRACE_ID and found[3] != NO_SPAN_ID

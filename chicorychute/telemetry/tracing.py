"""Trace spans, propagated from hop to hop in the W3C ``traceparent`` header."""

import contextlib
import random
import re
from typing import Protocol

TRACEPARENT_HEADER = "traceparent"
NO_TRACE_ID = "0" * 32
NO_SPAN_ID = "0" * 16

_match_traceparent = re.compile(
    r"([0-9a-f]{2})-([0-9a-f]{32})-([0-9a-f]{16})-[0-9a-f]{2}"
).match


class Tracing(Protocol):
    """Opens the spans of one daemon."""

    def span(
        self, name: str, traceparent: str
    ) -> contextlib.AbstractContextManager[str]:
        """Open a span below `traceparent`; yields the traceparent to pass on."""


class PassThroughTracing:
    """Forwards the caller's traceparent without recording spans.

    A request without a valid traceparent gets a new one, so that requests can be
    distinguished in the upstream's own records.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng

    def span(
        self, name: str, traceparent: str
    ) -> contextlib.AbstractContextManager[str]:
        """Yield the caller's traceparent if it is valid, else a new unsampled one."""
        passed_on = traceparent if is_valid(traceparent) else self._new_traceparent()
        return contextlib.nullcontext(passed_on)

    def _new_traceparent(self) -> str:
        trace_id = self._rng.getrandbits(128) or 1
        span_id = self._rng.getrandbits(64) or 1
        return f"00-{trace_id:032x}-{span_id:016x}-00"


def is_valid(traceparent: str) -> bool:
    """Return whether a header contains a valid trace id and parent id."""
    matched = _match_traceparent(traceparent)
    if matched is None or matched[1] == "ff":
        return False
    return matched[2] != NO_TRACE_ID and matched[3] != NO_SPAN_ID

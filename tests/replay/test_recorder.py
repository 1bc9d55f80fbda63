"""Guards against traces that can't be replayed or that exceed their maximum size.

A trace that reaches that size ends with an event that gives this reason, and a file
that can't be written is an error that names the remedy.
"""

import pytest

from chicorychute.core.clock import ManualClock
from chicorychute.core.messages import Verdict
from chicorychute.health.evidence import Observation, Result
from chicorychute.replay.player import Player
from chicorychute.replay.trace import EndEvent, RequestEvent, read_trace
from chicorychute.services.recorder import Recorder, RecordError
from tests.replay.test_bad_input import TABLE

MAX_BYTES = 1 << 20


def record(path, clock, max_bytes, requests):
    recorder = Recorder(path, (("u0", "s"),), clock, max_bytes)
    recorder.record_table(TABLE)
    for index in range(requests):
        deadline_s = clock.monotonic() + 1 + index * 1e-6
        recorder.record_arrival("u0", "read", deadline_s)
        clock.advance(0.01)
        if index % 10 == 9:
            recorder.record_refusal("u0", "read", deadline_s)
        else:
            observation = Observation("read", Result.OK, 0.01, 7)
            recorder.record_end("u0", deadline_s, observation)
    recorder.record_verdict("u0", Verdict.HEALTHY, "")
    recorder.close()
    return list(read_trace(path.read_text("utf-8").splitlines()))


def test_recorded_requests_are_replayed(tmp_path):
    events = record(tmp_path / "trace", ManualClock(), MAX_BYTES, 100)
    requests = [e.event for e in events if isinstance(e.event, RequestEvent)]
    assert len(requests) == 100
    assert sum(request.service_ms < 0 for request in requests) == 10
    level = Player(events).play().level_by_rank["read"]
    assert (level.requests, level.met_fraction) == (100, 1.0)


def test_full_trace_ends_with_reason_full_and_can_be_replayed(tmp_path):
    path = tmp_path / "trace"
    events = record(path, ManualClock(), 2000, 1000)
    assert path.stat().st_size <= 2000
    assert events[-1].event == EndEvent("full")
    assert Player(events).play().level_by_rank["read"].requests > 0


def test_unwritable_file_is_an_error_that_names_the_remedy(tmp_path):
    with pytest.raises(RecordError, match="writable"):
        record(tmp_path / "none" / "trace", ManualClock(), MAX_BYTES, 1)

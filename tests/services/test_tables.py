"""Reads of the platform's table by one daemon.

Guards against a read that gives the table in force, as the first one after an outage
does, and is taken for a failure: the daemon then pauses longer and longer before it
waits for the next table, and its log says that the platform went back.
"""

import random

import pytest
import structlog
from result import Err, Ok

from chicorychute.core.clock import ManualClock
from chicorychute.services.tables import SAME_TABLE_PAUSE_S, TableService
from chicorychute.sources.base import PlatformError, TableDocument
from chicorychute.sources.pacing import ReadPace
from chicorychute.table.versions import TableVersions
from standins.demo import make_table

INTERVAL_S = 1.0


class ScriptedPlatform:
    def __init__(self, *results):
        self.results = list(results)

    def watch_table(self, known_version, wait_s):
        return self.results.pop(0)


class AloneFleet:
    """Fleet without peers, so that no table is announced."""

    def own(self):
        return type("Record", (), {"instance": "a", "zone": "z", "region": "r"})

    def snapshot(self):
        return ()


def service_of(clock, *results):
    rng = random.Random(1)
    pace = ReadPace(INTERVAL_S, 0.0, clock, rng)
    return TableService(
        TableVersions(clock),
        ScriptedPlatform(*results),
        AloneFleet(),
        lambda: True,
        None,
        pace,
        rng,
        lambda table: None,
    ), pace


def test_table_in_force_that_is_read_again_after_an_outage_is_no_failure():
    clock = ManualClock()
    document = TableDocument(5, make_table(4000))
    outage = Err(PlatformError("the store is away", "wait"))
    tables, pace = service_of(clock, Ok(document), outage, Ok(document), Ok(document))
    with structlog.testing.capture_logs() as lines:
        for _ in range(4):
            clock.advance(pace.until_next_s)
            tables.watch()
    assert pace.since_failure_s > SAME_TABLE_PAUSE_S / 2
    assert 0 < pace.until_next_s <= SAME_TABLE_PAUSE_S
    assert [line["event"] for line in lines if line["log_level"] != "info"] == [
        "table: the platform's table can't be read"
    ]


@pytest.mark.parametrize(
    "version, text", [(4, make_table(4000)), (5, make_table(9000))]
)
def test_older_table_and_another_content_are_logged(version, text):
    clock = ManualClock()
    tables, pace = service_of(
        clock, Ok(TableDocument(5, make_table(4000))), Ok(TableDocument(version, text))
    )
    with structlog.testing.capture_logs() as lines:
        for _ in range(2):
            clock.advance(pace.until_next_s)
            tables.watch()
    assert any(line["log_level"] in ("warning", "error") for line in lines)
    assert tables.version == 5

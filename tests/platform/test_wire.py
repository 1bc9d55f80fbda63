"""Parsing of the platform's JSON, and conversion into the operators' table.

Any writer can put malformed values into the store. They must raise `WireError`
rather than be accepted or end in another exception. An accepted value is sent to
peers, which close the link at a number or text that no message can hold. Rows must not
depend on the order of the routes, and ranks must stay when a timeout changes.
"""

import json

import pytest

from chicorychute.platform.tables import PolicyValues, render_table
from chicorychute.platform.wire import (
    StoreItem,
    WireError,
    duration_ms,
    read_changes,
    read_config,
    read_page,
    read_upstream,
)
from chicorychute.table.parse import parse_table
from chicorychute.table.routes import RouteIndex
from chicorychute.table.rows import Repeat
from standins.store import make_config, make_registration

POLICY = PolicyValues(0.15, 2.0, 0.7)


def table_of(body):
    cells = read_config(json.dumps(body).encode())
    return parse_table(cells.version, render_table(cells, POLICY)).ok_value


@pytest.mark.parametrize(
    "text, ms", [("1500ms", 1500.0), ("2.5s", 2500.0), ("0ms", 0.0)]
)
def test_duration_is_read_with_its_unit(text, ms):
    assert duration_ms(text) == ms


@pytest.mark.parametrize(
    "text", ["", "15", "ms", "1 s", "-1s", "1m", None, 15, "1e3ms"]
)
def test_malformed_duration_is_rejected(text):
    with pytest.raises(WireError):
        duration_ms(text)


def test_configuration_becomes_rows_by_service_and_rank():
    table = table_of(make_config(12))
    assert table.version == 12
    read, buy = table.by_service["orders"]
    assert (read.priority, read.repeat) == (1, Repeat.IDEMPOTENT)
    assert (read.target_ms, read.deadline_ms, read.attempts) == (1000, 3000, 2)
    assert (buy.priority, buy.repeat) == (2, Repeat.PER_SEND)
    assert (buy.target_ms, buy.deadline_ms) == (1200, 4000)
    assert (buy.probe, buy.idle_s, buy.floor) == ("/healthz", 15, 0.7)


def test_equal_configurations_give_equal_texts():
    reversed_config = make_config(1)
    reversed_config["routes"]["rows"].reverse()
    assert table_of(make_config(1)).text == table_of(reversed_config).text


def test_longest_matching_prefix_of_the_host_wins():
    body = make_config(1)
    rows = body["routes"]["rows"]
    rows.append(
        ["deep", "h.example", "/read/deep/", "unsafe", "1s", "1s", 3, "orders", 1, None]
    )
    index = RouteIndex(table_of(body))
    assert index.find("GET", "/read/x", "H.example").priority == 1
    assert index.find("GET", "/read/deep/x", "h.example:80").priority == 4
    assert index.find("GET", "/read/..//x", "h.example").priority == 1
    assert index.find("GET", "/read", "h.example") is None
    assert index.find("GET", "/read/x", "other.example") is None


def test_services_of_a_split_route_are_chosen_by_weight():
    body = make_config(1)
    split = [{"service": "orders", "weight": 90}, {"service": "new", "weight": 10}]
    body["routes"]["rows"] = [
        ["read", "h.example", "/read/", "safe", "3s", "1s", 0, None, 2, split]
    ]
    index = RouteIndex(table_of(body))
    services = [index.find("GET", "/read/x", "h.example").service for _ in range(200)]
    assert services.count("new") == 20
    assert all("new" in services[start : start + 10] for start in range(0, 200, 10))


def test_change_of_a_timeout_keeps_the_rank():
    body = make_config(2)
    body["routes"]["rows"][0][4] = "2s"
    ranks = [{row.rank for row in table_of(b).rows} for b in (make_config(1), body)]
    assert ranks[0] == ranks[1]


def test_upstream_entry_is_read():
    item = StoreItem(
        "servers/i-1", json.dumps(make_registration("10.0.0.1:80", born=7)).encode(), 5
    )
    upstream = read_upstream(item)
    assert (upstream.id, upstream.service, upstream.address) == (
        "i-1",
        "orders",
        "10.0.0.1:80",
    )
    assert (upstream.slots, upstream.leaving, upstream.started_ms) == (4, False, 7)


def entry_without(name):
    body = make_registration("10.0.0.1:80")
    del body[name]
    return body


MALFORMED_ENTRIES = {
    "no address": entry_without("address"),
    "no info": entry_without("info"),
    "no status": entry_without("status"),
    "address without port": make_registration("10.0.0.1"),
    "unknown state": make_registration(
        "10.0.0.1:80", status={"state": "other", "seq": 1}
    ),
    "state of another type": make_registration(
        "10.0.0.1:80", status={"state": 3, "seq": 1}
    ),
    "slots of another type": make_registration(
        "10.0.0.1:80", info={"service": "s", "zone": "z", "slots": "4"}
    ),
    "start that is not a whole number": make_registration("10.0.0.1:80", born=1.5),
    "boolean for a number": make_registration(
        "10.0.0.1:80", info={"service": "s", "zone": "z", "slots": True}
    ),
    "list": [],
    "start before the epoch": make_registration("10.0.0.1:80", born=-1),
    "start too large for a message": make_registration("10.0.0.1:80", born=2**64),
    "slots too large for a message": make_registration(
        "10.0.0.1:80", info={"service": "s", "zone": "z", "slots": 10**30}
    ),
    "infinite duration": make_registration(
        "10.0.0.1:80",
        status={"state": "ready", "seq": 1, "cold_left": "9" * 400 + "s"},
    ),
    "half a surrogate pair": make_registration(
        "10.0.0.1:80", info={"service": "\ud800", "zone": "z", "slots": 4}
    ),
    "port that is no decimal digit": make_registration("10.0.0.1:\u00b2"),
    "port out of range": make_registration("10.0.0.1:65536"),
    "name for an address": make_registration("host.example:80"),
}


@pytest.mark.parametrize("body", MALFORMED_ENTRIES.values(), ids=MALFORMED_ENTRIES)
def test_malformed_entry_is_rejected(body):
    with pytest.raises(WireError):
        read_upstream(StoreItem("servers/x", json.dumps(body).encode(), 1))


DEEP = b'{"a":' * 100_000


@pytest.mark.parametrize("data", [b"", b"\xff\xfe", b"{", b"null", DEEP])
def test_value_that_is_not_a_json_object_is_rejected(data):
    with pytest.raises(WireError):
        read_upstream(StoreItem("servers/x", data, 1))


@pytest.mark.parametrize("value", [None, 5, "text", {"a": 1}])
def test_pages_and_changes_without_a_list_are_rejected(value):
    with pytest.raises(WireError):
        read_page(json.dumps({"items": value, "current_rev": 1}).encode())
    with pytest.raises(WireError):
        read_changes(json.dumps({"events": value, "current_rev": 1}).encode())

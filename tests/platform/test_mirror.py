"""The upstreams' entries follow the changes of the store."""

import base64
import json

import pytest

from chicorychute.platform.mirror import UpstreamMirror
from chicorychute.platform.wire import (
    Removal,
    StoreChanges,
    StoreItem,
    StorePage,
    WireError,
    read_changes,
)
from standins.store import entry

A = "servers/a"
B = "servers/b"


def item(key, changed_at, address="10.0.0.1:80", **fields):
    value = json.dumps(entry(address, **fields)).encode()
    return StoreItem(key, value, changed_at)


def mirror(*items, revision=10):
    return UpstreamMirror([StorePage(items, revision, is_last=True)])


def shown(held):
    return {e.id: e.address for e in held.entries}


def test_items_that_are_written_and_removed_follow_in_their_order():
    held = mirror(item(A, 5), revision=10)
    held.apply(
        StoreChanges(
            (
                item(B, 11, "10.0.0.2:80"),
                Removal(A, 12),
                item(A, 13, "10.0.0.3:80"),
                Removal(B, 14),
            ),
            14,
        )
    )
    assert held.has_lapsed
    held.drop_lapsed()
    assert shown(held) == {"a": "10.0.0.3:80"}
    assert held.revision == 14


def test_an_entry_that_left_is_dropped_at_once_and_one_that_lapsed_is_kept():
    leaving = {"state": "draining", "seq": 2, "cold_left": "0ms"}
    held = mirror(item(A, 5), item(B, 6, "10.0.0.2:80", status=leaving))
    held.apply(StoreChanges((Removal(A, 11), Removal(B, 12)), 12))
    assert shown(held) == {"a": "10.0.0.1:80"}
    assert held.has_lapsed
    held.apply(StoreChanges((item(A, 13, "10.0.0.5:80"),), 13))
    assert not held.has_lapsed
    assert shown(held) == {"a": "10.0.0.5:80"}


def test_changes_that_a_later_page_held_already_change_nothing():
    first = StorePage((item(A, 5),), 10, is_last=False)
    # Written and replaced after the first page was read.
    second = StorePage((item(B, 12, "10.0.0.4:80"),), 12, is_last=True)
    held = UpstreamMirror([first, second])
    assert held.revision == 10
    held.apply(StoreChanges((item(B, 11, "10.0.0.3:80"), Removal(B, 11)), 12))
    assert shown(held) == {"a": "10.0.0.1:80", "b": "10.0.0.4:80"}


def test_an_entry_that_is_spoilt_names_no_upstream_until_it_is_written_again():
    held = mirror(item(A, 5))
    held.apply(StoreChanges((StoreItem(A, b"\xff", 11),), 11))
    assert shown(held) == {}
    assert set(held.fault_by_key) == {A}
    held.apply(StoreChanges((item(A, 12),), 12))
    assert shown(held) == {"a": "10.0.0.1:80"}
    assert not held.fault_by_key


def test_other_keys_and_an_older_revision_change_nothing():
    held = mirror(item(A, 5))
    held.apply(StoreChanges((StoreItem("op/config", b"{}", 11),), 9))
    assert shown(held) == {"a": "10.0.0.1:80"}
    assert held.revision == 10


def test_changes_are_read_with_one_whose_value_is_no_text():
    text = base64.b64encode(b"x").decode()
    events = [
        {"key": A, "rev": 3, "value": text},
        {"key": A, "rev": 4, "removed": True},
        {"key": B, "rev": 5, "value": "no base64 !"},
    ]
    data = json.dumps({"events": events, "current_rev": 5}).encode()
    assert read_changes(data) == StoreChanges(
        (StoreItem(A, b"x", 3), Removal(A, 4), StoreItem(B, b"", 5)), 5
    )


@pytest.mark.parametrize("event", [5, {"rev": 3}, {"key": A, "rev": "3"}])
def test_changes_without_key_or_revision_are_malformed(event):
    data = json.dumps({"events": [event], "current_rev": 5}).encode()
    with pytest.raises(WireError):
        read_changes(data)

"""The mirror of the upstreams' entries follows the changes of the store.

Pages are read at different revisions, so a change may be reported after a newer one
was already read. A removed entry may belong to an upstream that still serves but
could not reach the store to renew its lease.
"""

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
from standins.store import make_registration

A = "servers/a"
B = "servers/b"


def item(key, mod_revision, address="10.0.0.1:80", **fields):
    value = json.dumps(make_registration(address, **fields)).encode()
    return StoreItem(key, value, mod_revision)


def make_mirror(*items, revision=10):
    return UpstreamMirror([StorePage(items, revision, is_last=True)])


def address_by_id(mirror):
    return {e.id: e.address for e in mirror.entries}


def test_writes_and_removals_are_applied_in_order():
    mirror = make_mirror(item(A, 5), revision=10)
    mirror.apply(
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
    assert mirror.has_lapsed
    mirror.drop_lapsed()
    assert address_by_id(mirror) == {"a": "10.0.0.3:80"}
    assert mirror.revision == 14


def test_removed_entry_is_kept_unless_its_upstream_was_draining():
    leaving = {"state": "draining", "seq": 2, "cold_left": "0ms"}
    mirror = make_mirror(item(A, 5), item(B, 6, "10.0.0.2:80", status=leaving))
    mirror.apply(StoreChanges((Removal(A, 11), Removal(B, 12)), 12))
    assert address_by_id(mirror) == {"a": "10.0.0.1:80"}
    assert mirror.has_lapsed
    mirror.apply(StoreChanges((item(A, 13, "10.0.0.5:80"),), 13))
    assert not mirror.has_lapsed
    assert address_by_id(mirror) == {"a": "10.0.0.5:80"}


def test_changes_already_in_a_later_page_are_ignored():
    first = StorePage((item(A, 5),), 10, is_last=False)
    # Entry b was written and replaced after the first page was read.
    second = StorePage((item(B, 12, "10.0.0.4:80"),), 12, is_last=True)
    mirror = UpstreamMirror([first, second])
    assert mirror.revision == 10
    mirror.apply(StoreChanges((item(B, 11, "10.0.0.3:80"), Removal(B, 11)), 12))
    assert address_by_id(mirror) == {"a": "10.0.0.1:80", "b": "10.0.0.4:80"}


def test_unreadable_entry_is_unlisted_until_it_is_written_again():
    mirror = make_mirror(item(A, 5))
    mirror.apply(StoreChanges((StoreItem(A, b"\xff", 11),), 11))
    assert address_by_id(mirror) == {}
    assert set(mirror.fault_by_key) == {A}
    mirror.apply(StoreChanges((item(A, 12),), 12))
    assert address_by_id(mirror) == {"a": "10.0.0.1:80"}
    assert not mirror.fault_by_key


def test_other_keys_and_an_older_revision_are_ignored():
    mirror = make_mirror(item(A, 5))
    mirror.apply(StoreChanges((StoreItem("op/config", b"{}", 11),), 9))
    assert address_by_id(mirror) == {"a": "10.0.0.1:80"}
    assert mirror.revision == 10


def test_change_with_an_undecodable_value_is_read_as_an_empty_value():
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

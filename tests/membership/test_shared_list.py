"""A relayed list ends up equal to the platform's, whatever is lost on the way.

Guards against a peer that keeps an upstream which has left, or misses one that has
joined, because an update was lost, overtaken, sent twice or follows changes that the
peer lacks; and against an older list that replaces a newer one.
"""

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from chicorychute.core.messages import ListedUpstream, ListUpdate
from chicorychute.membership import shared_list
from chicorychute.membership.shared_list import SharedList
from chicorychute.transport.codec import decode, encode


def upstream(id, leaving=False):
    return ListedUpstream(id, "s", f"10.0.0.{id}:80", "z", 3, leaving, 0.0, 1)


A, B, C = upstream("a"), upstream("b"), upstream("c")


def by_id(shared):
    return {listed.id: listed for listed in shared.upstreams}


# Steps of the platform: what happens to which upstream; then what becomes of the update
# that the reader sends.
STEPS = st.lists(
    st.tuples(
        st.sampled_from("abcdef"),
        st.sampled_from(("join", "drain", "leave")),
        st.sampled_from(("arrives", "lost", "late", "twice")),
    ),
    max_size=40,
)


@given(steps=STEPS, remembered=st.sampled_from((1, 512)))
@settings(derandomize=True, deadline=None, max_examples=300)
def test_peer_that_asks_once_has_the_list_of_the_reader(steps, remembered):
    limit = shared_list.MAX_REMEMBERED_REMOVALS
    shared_list.MAX_REMEMBERED_REMOVALS = remembered
    try:
        reader, peer, late = SharedList(), SharedList(), []
        listed = {"a": A}
        reader.replace(10, listed.values())
        peer.apply(reader.changes_since(0))
        for revision, (id, what, fate) in enumerate(steps, start=11):
            match what:
                case "leave":
                    listed.pop(id, None)
                case _:
                    listed[id] = upstream(id, leaving=what == "drain")
            before = reader.replace(revision, listed.values())
            update = reader.changes_since(before)
            deliveries = {"arrives": [update], "twice": [update, update]}.get(fate, [])
            late += [update] if fate == "late" else []
            for message in deliveries:
                peer.apply(message)
        for message in late:
            peer.apply(message)
        peer.apply(reader.changes_since(peer.revision))
        assert by_id(peer) == by_id(reader) == listed
        assert peer.revision == reader.revision
    finally:
        shared_list.MAX_REMEMBERED_REMOVALS = limit


def test_update_after_a_gap_is_not_applied():
    peer = SharedList()
    peer.replace(10, [A, B])
    assert not peer.apply(ListUpdate(12, 13, (C,), ("a",)))
    assert by_id(peer) == {"a": A, "b": B}


def test_older_list_of_a_lagging_platform_changes_nothing():
    shared = SharedList()
    shared.replace(10, [A])
    shared.replace(9, [A, B])
    assert by_id(shared) == {"a": A}


def test_only_the_changes_since_a_known_revision_are_sent():
    reader = SharedList()
    reader.replace(10, [A, B])
    reader.replace(11, [A, attrs.evolve(B, leaving=True)])
    reader.replace(12, [attrs.evolve(B, leaving=True), C])
    update = reader.changes_since(11)
    assert (update.since, update.revision) == (11, 12)
    assert (update.changed, update.removed) == ((C,), ("a",))
    assert decode(encode(update)) == update


def test_peer_that_knows_nothing_gets_the_whole_list():
    reader = SharedList()
    reader.replace(10, [A, B])
    assert reader.changes_since(0).changed == (A, B)

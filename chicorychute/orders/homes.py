"""Finds the home of an order in the view of an entry on the fleet."""

import attrs

from chicorychute.core.messages import MemberRecord
from chicorychute.core.outcomes import Reason
from chicorychute.orders.token import OrderKey


@attrs.frozen
class RelayTo:
    """The order is relayed to this process, which decides on it."""

    record: MemberRecord


@attrs.frozen
class NoHome:
    """The order can't be relayed to its home; whether it ran is unknown."""

    reason: Reason


def find_home(
    key: OrderKey, record: MemberRecord | None, relayed: bool
) -> RelayTo | NoHome:
    """Return where to relay an order whose home is another process.

    Only a newer incarnation of the home proves that the old one no longer decides.
    A view may lag behind a key, so a key of a newer incarnation is relayed too: the
    process that receives it knows its own incarnation. An order is relayed only once.

    Parameters
    ----------
    record : MemberRecord, optional
        What the entry knows of the instance named in the key.
    """
    if relayed:
        return NoHome(Reason.HOME_LOST)
    if record is None:
        return NoHome(Reason.HOME_UNREACHABLE)
    if record.incarnation > key.home.incarnation:
        return NoHome(Reason.HOME_LOST)
    return RelayTo(record)

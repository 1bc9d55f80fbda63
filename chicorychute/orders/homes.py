"""Finds the home of an order in the view of an entry."""

import attrs

from chicorychute.core.messages import MemberRecord
from chicorychute.core.outcomes import Reason
from chicorychute.orders.token import OrderKey


@attrs.frozen
class RelayTo:
    """The order goes to this process, which rules on it."""

    record: MemberRecord


@attrs.frozen
class NoHome:
    """The order can't be taken to its home; whether it ran is unknown."""

    reason: Reason


def find_home(
    key: OrderKey, record: MemberRecord | None, relayed: bool
) -> RelayTo | NoHome:
    """Return where an order of another home goes.

    Only a newer incarnation of the home proves that the old one rules no more.
    A view may lag behind a key, so a key of a newer incarnation is relayed
    too: the process found there knows its own. An order is relayed only once.

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

"""Outgoing messages of a membership view."""

import attrs

from chicorychute.core.messages import Message


@attrs.frozen
class Send:
    """Message to be sent to an instance."""

    instance: str
    message: Message

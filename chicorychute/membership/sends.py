"""Messages that a view wants sent."""

import attrs

from chicorychute.core.messages import Message


@attrs.frozen
class Send:
    """A message for an instance."""

    instance: str
    message: Message

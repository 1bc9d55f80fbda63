"""Choice of the few instances of a zone that read the platform for the whole zone."""

import hashlib
from collections.abc import Iterable

READERS_PER_ZONE = 3


def choose_readers(instances: Iterable[str], count: int = READERS_PER_ZONE) -> set[str]:
    """Return the `count` instances with the highest rendezvous hash.

    Every daemon computes the choice from its own view. While views differ there are
    a few more readers, which costs additional reads and nothing else.
    """
    return set(sorted(instances, key=_rendezvous_hash, reverse=True)[:count])


def _rendezvous_hash(instance: str) -> tuple[bytes, str]:
    digest = hashlib.blake2b(instance.encode(), digest_size=8).digest()
    return digest, instance

"""Names the few instances of a zone that read the platform for all of it."""

import hashlib
from collections.abc import Iterable

READERS_PER_ZONE = 3


def choose_readers(instances: Iterable[str], count: int = READERS_PER_ZONE) -> set[str]:
    """Return the `count` instances with the highest rendezvous hash.

    Every daemon works it out from its own view. Two views that differ name a few
    more readers for a while, which costs reads and nothing else.
    """
    return set(sorted(instances, key=_rendezvous_hash, reverse=True)[:count])


def _rendezvous_hash(instance: str) -> tuple[bytes, str]:
    digest = hashlib.blake2b(instance.encode(), digest_size=8).digest()
    return digest, instance

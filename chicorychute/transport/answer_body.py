"""Checks the length of an answer's body as it is passed to the caller."""

from collections.abc import Iterator

from chicorychute.pipeline.values import AnswerBroken, Body


class AnswerBody:
    """Body of an answer whose length must match the one declared in its head.

    Parameters
    ----------
    length : int
        Number of bytes that the head declares, -1 to accept any number.

    Raises
    ------
    AnswerBroken
        While prefetching or iterating, if the body is shorter or longer than declared.
    """

    def __init__(self, chunks: Body, length: int):
        self._chunks = chunks
        self._length = length
        self._sent_bytes = 0
        self._prefetched: list[bytes] = []

    def prefetch(self) -> None:
        """Read the first chunk, while the answer can still be replaced by a refusal."""
        for chunk in self._chunks:
            if chunk:
                self._prefetched.append(chunk)
                return
        self._check_end()

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        chunk = self._prefetched.pop() if self._prefetched else next(self._chunks, None)
        if chunk is None:
            self._check_end()
            raise StopIteration
        self._sent_bytes += len(chunk)
        if 0 <= self._length < self._sent_bytes:
            raise AnswerBroken("the answer is longer than its head says")
        return chunk

    def close(self) -> None:
        """Discard the rest of the body."""
        self._chunks.close()

    def _check_end(self) -> None:
        if self._sent_bytes < self._length:
            raise AnswerBroken("the answer is shorter than its head says")

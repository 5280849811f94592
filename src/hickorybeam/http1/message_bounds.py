"""Bounds on the bytes of a message that are no part of its body, also those that a parser skips.

A parser passes over blank lines before a head, leading zeros of a chunk's size, extensions of
chunks and spaces before a value without a callback, and gathers a header until its end. So bytes
are counted as they are fed, and not as they come out.
"""

from __future__ import annotations

__all__ = ("MessageBounds",)

# Sizes of chunks, their extensions, and trailers, whatever the body.
MAX_FRAMING_BYTES = 65_536
# Chunks of one byte have five more, and each costs a callback: so few of them come in an answer
# that is sound. Chunks of a usual size have far fewer than twice their bytes.
MAX_SMALL_CHUNKS_FRAMING_BYTES = 262_144
FRAMING_PER_SMALL_CHUNK_BYTE = 8
FRAMING_PER_BODY_BYTE = 2


class MessageBounds:
    """Counts the bytes of one message.

    ``fed_bytes`` are all that the parser was fed, ``body_bytes`` those of the body, or of one that
    is skipped. ``head_bytes`` are those of the head, ``None`` until it is known; the count may be
    too high by the piece that the parser was fed last.
    """

    __slots__ = ("_trailer_bytes", "body_bytes", "fed_bytes", "head_bytes")

    def __init__(self) -> None:
        self.fed_bytes = 0
        self._trailer_bytes = 0
        self.body_bytes = 0
        self.head_bytes: int | None = None

    def end_head(self) -> None:
        """Record that the head is known."""
        self.head_bytes = self.other_bytes

    def add_header(self, size: int) -> None:
        """Count a header; one behind the head is a trailer."""
        if self.head_bytes is not None:
            self._trailer_bytes += size

    @property
    def other_bytes(self) -> int:
        """Bytes that are no part of a body."""
        return self.fed_bytes - self.body_bytes

    def has_excess_framing(self) -> bool:
        """Return whether too many bytes after the head are no part of the body."""
        if self.head_bytes is None:
            return False
        for_small_chunks = min(
            MAX_SMALL_CHUNKS_FRAMING_BYTES, FRAMING_PER_SMALL_CHUNK_BYTE * self.body_bytes
        )
        allowed = MAX_FRAMING_BYTES + for_small_chunks + FRAMING_PER_BODY_BYTE * self.body_bytes
        has_excess = self.other_bytes - self.head_bytes > allowed
        return has_excess or self._trailer_bytes > MAX_FRAMING_BYTES

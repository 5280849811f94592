"""Which version of a service's software began a stream, for the streams of the last minutes.

What two versions write doesn't fit together, so a stream may go on only at the version that began
it. Its caller names the request that brought its first event, and may do so at any VM, also after
the VM that served it is gone. So each VM keeps a table of the streams that begin there and tells
some other VMs of them. An entry is a digest of the request's id, and its version's key.
"""

from __future__ import annotations

from collections import defaultdict
from functools import lru_cache
from hashlib import blake2b
from typing import TYPE_CHECKING, NamedTuple

from hickorybeam.model.bounds import BoundedInt  # noqa: TC001 - read by msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = (
    "UNKNOWN_VERSION",
    "KnownStream",
    "StreamVersions",
    "ToldStreams",
    "stream_digest",
    "version_key",
)

# Key of a version that isn't known; no server has it.
UNKNOWN_VERSION = b""
# Among as many streams as a table holds, two have the same digest once in 100,000 tables, and the
# two versions of a service the same key once in 4 billion.
DIGEST_BYTES = 6
KEY_BYTES = 4
# Entries are dropped together with those that end within the same span.
SPAN_MS = 10_000
# A caller may take a stream up until its deadline; a longer one is cut to this.
MAX_KEEP_MS = 120_000
MAX_STREAMS = 65_536
# Streams to be told that wait for the next report, and those in one report.
MAX_UNTOLD = 4_096
MAX_TOLD_AT_ONCE = 512


class KnownStream(NamedTuple):
    """A stream's version; the VM that told it, empty if the stream began here; and since when."""

    version_key: bytes
    told_by: str
    since_ms: int


class ToldStreams(NamedTuple):
    """Streams of one version as a report tells them: digests end to end, kept for ``keep_s``."""

    version_key: bytes
    keep_s: BoundedInt
    digests: bytes


@lru_cache(maxsize=1_024)
def version_key(service: str, version: str) -> bytes:
    """Return the key of a version of a service's software, the unknown one if it isn't named."""
    if not version:
        return UNKNOWN_VERSION
    return blake2b(f"{service}\0{version}".encode(), digest_size=KEY_BYTES).digest()


def stream_digest(request_id: str) -> bytes:
    """Return the digest by which a stream is known that a request began."""
    return blake2b(request_id.encode(), digest_size=DIGEST_BYTES).digest()


class StreamVersions:
    """Table of streams and their versions, bounded in time and in number.

    A full table drops the entries that end first: their streams count as unknown.
    """

    def __init__(self, *, max_streams: int = MAX_STREAMS) -> None:
        self._max_streams = max_streams
        # By the end of the span, counted in spans.
        self._spans: dict[int, dict[bytes, KnownStream]] = {}
        self._count = 0
        # By audience: the streams that began here since its last report, each with its end.
        self._untold: dict[str, dict[bytes, tuple[bytes, int]]] = {}

    def __len__(self) -> int:
        """Return the number of entries."""
        return self._count

    def record(self, digest: bytes, key: bytes, *, keep_ms: int, now_ms: int) -> None:
        """Record a stream that began, or goes on, at this VM, to be told to others."""
        keep_ms = min(keep_ms, MAX_KEEP_MS)
        self._put(digest, KnownStream(key, "", now_ms), keep_ms)
        for untold in self._untold.values():
            untold[digest] = (key, now_ms + keep_ms)
            if len(untold) > MAX_UNTOLD:
                del untold[next(iter(untold))]

    def merge(self, told: Iterable[ToldStreams], now_ms: int, *, vm: str) -> None:
        """Record the streams that another VM tells."""
        for key, keep_s, digests in told:
            keep_ms = min(max(0, keep_s) * 1_000, MAX_KEEP_MS)
            stream = KnownStream(key, vm, now_ms)
            for start in range(0, len(digests), DIGEST_BYTES):
                self._put(digests[start : start + DIGEST_BYTES], stream, keep_ms)

    def take_untold(self, audience: str, now_ms: int) -> list[ToldStreams]:
        """Return what an audience has not been told yet, and remember that it is told now."""
        untold = self._untold.setdefault(audience, {})
        if not untold:
            return []
        digests: defaultdict[bytes, list[bytes]] = defaultdict(list)
        last_end_ms: dict[bytes, int] = {}
        for digest in list(untold)[:MAX_TOLD_AT_ONCE]:
            key, end_ms = untold.pop(digest)
            digests[key].append(digest)
            last_end_ms[key] = max(end_ms, last_end_ms.get(key, 0))
        return [
            ToldStreams(key, -(-max(0, last_end_ms[key] - now_ms) // 1_000), b"".join(found))
            for key, found in digests.items()
        ]

    def find(self, digest: bytes, now_ms: int) -> KnownStream | None:
        """Return what is known of a stream, ``None`` if its version isn't.

        It isn't known either if two versions are recorded.
        """
        found = self._entries(digest, now_ms)
        if len({it.version_key for it in found}) != 1:
            return None
        return None if found[0].version_key == UNKNOWN_VERSION else found[0]

    def is_disputed(self, digest: bytes, now_ms: int) -> bool:
        """Return whether two versions are recorded for a stream."""
        keys = {it.version_key for it in self._entries(digest, now_ms)}
        return len(keys) > 1 or UNKNOWN_VERSION in keys

    def _entries(self, digest: bytes, now_ms: int) -> list[KnownStream]:
        self._drop_ended(now_ms)
        return [span[digest] for span in self._spans.values() if digest in span]

    def _put(self, digest: bytes, stream: KnownStream, keep_ms: int) -> None:
        now_ms = stream.since_ms
        self._drop_ended(now_ms)
        span = self._spans.setdefault((now_ms + keep_ms) // SPAN_MS + 1, {})
        known = span.get(digest)
        if known is None:
            self._count += 1
            span[digest] = stream
        elif known.version_key != stream.version_key:
            span[digest] = KnownStream(UNKNOWN_VERSION, "", now_ms)
        while self._count > self._max_streams:
            self._drop_first()

    def _drop_ended(self, now_ms: int) -> None:
        for end in [end for end in self._spans if end * SPAN_MS <= now_ms]:
            self._count -= len(self._spans.pop(end))

    def _drop_first(self) -> None:
        end = min(self._spans)
        span = self._spans[end]
        del span[next(iter(span))]
        self._count -= 1
        if not span:
            del self._spans[end]

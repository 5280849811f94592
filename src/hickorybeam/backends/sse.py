"""Server-sent events of a model's response: complete events, their count, usage and the end."""

from __future__ import annotations

import re
from dataclasses import dataclass

import msgspec

from hickorybeam.model import Usage
from hickorybeam.untrusted import decode_json

__all__ = ("EventBatch", "SseReader", "usage_of")

EVENT_END = b"\n\n"
DONE_TEXT = b"[DONE]"
DONE_EVENT = re.compile(rb"^data: ?\[DONE\]\n\n", re.M)
EMPTY_CHOICES = re.compile(rb'"choices":\s*\[\]')
EVENT_ID = re.compile(rb"^id:\s*(\d+)", re.M)
# An engine that never ends an event would otherwise fill the VM's memory.
MAX_EVENT_BYTES = 1_000_000


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0


class _Frame(msgspec.Struct):
    usage: _Usage | None = None


@dataclass(frozen=True, slots=True)
class EventBatch:
    """Complete events: the bytes to relay and the number of events in them."""

    data: bytes
    events: int


class SseReader:
    """Splits a byte stream at event boundaries.

    Only complete events are passed on, so that the position in the stream is always known and
    a resume delivers each token once. The bytes are relayed as they came; nothing is parsed
    per token, since parsing was most of the relay's cost.

    :param strip_usage: drop the usage event, which the gateway requests and the caller did not.
    """

    def __init__(self, *, strip_usage: bool) -> None:
        self.position = 0
        self.done = False
        self.usage: Usage | None = None
        self._strip_usage = strip_usage
        self._buffer = b""
        self._after_cr = False
        self._resuming = False

    def resume(self) -> None:
        """Discard a partial event; the next events come from a new connection."""
        self._buffer = b""
        self._after_cr = False
        self._resuming = True

    def feed(self, data: bytes) -> EventBatch | None:
        """Add bytes and return the events that they complete.

        :return: ``None`` if no event is complete.
        :raises ValueError: an event is too long, or events are missing after a resume.
        """
        if self._after_cr or b"\r" in data:
            data = self._to_line_feeds(data)
        if self._buffer:
            data = self._buffer + data
        end = data.rfind(EVENT_END)
        if end < 0:
            if len(data) > MAX_EVENT_BYTES:
                raise ValueError("event too long")
            self._buffer = data
            return None
        end += len(EVENT_END)
        self._buffer = data[end:]
        return self._process(data[:end])

    def _to_line_feeds(self, data: bytes) -> bytes:
        """Let lines that end with CR LF or CR end with LF."""
        if self._after_cr and data.startswith(b"\n"):
            data = data[1:]
        self._after_cr = data.endswith(b"\r")
        return data.replace(b"\r\n", b"\n").replace(b"\r", b"\n")

    def _process(self, data: bytes) -> EventBatch | None:
        if self._resuming:
            data = self._drop_duplicates(data)
            self._resuming = False
        events = data.count(b"\ndata:") + data.startswith(b"data:")
        if DONE_TEXT in data and DONE_EVENT.search(data):
            self.done = True
            events -= 1
        self.position += events
        if EMPTY_CHOICES.search(data):
            data, events = self._extract_usage(data, events)
        return EventBatch(data, events)

    def _drop_duplicates(self, data: bytes) -> bytes:
        # A resumed stream may start before the requested position, as its event ids show. Events
        # that the caller already has are dropped, and a gap means that tokens were lost.
        kept = []
        expected = self.position
        for event in data.split(EVENT_END)[:-1]:
            found = EVENT_ID.search(event)
            if found is not None:
                number = int(found[1])
                if number < self.position:
                    continue
                if number != expected:
                    raise ValueError("tokens are missing after a resume")
                expected += 1
            kept.append(event + EVENT_END)
        return b"".join(kept)

    def _extract_usage(self, data: bytes, events: int) -> tuple[bytes, int]:
        kept = []
        for event in data.split(EVENT_END)[:-1]:
            if EMPTY_CHOICES.search(event):
                self.usage = usage_of(event.partition(b"data:")[2]) or self.usage
                events -= 1
                if self._strip_usage:
                    continue
            kept.append(event + EVENT_END)
        return b"".join(kept), events


def usage_of(frame: bytes) -> Usage | None:
    """Return the usage in a JSON response or event, if any.

    :raises InvalidBytesError: it is no such JSON.
    """
    found = decode_json(frame, _Frame).usage
    return None if found is None else Usage(found.prompt_tokens, found.completion_tokens)

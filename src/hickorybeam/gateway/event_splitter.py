"""Split a stream of server-sent events into whole events and track the last event id."""

from __future__ import annotations

from hickorybeam.gateway.held_bytes import HeldBytes
from hickorybeam.http1 import EventScanner

__all__ = ("EventSplitter",)

# Longer events are passed on before their end, so that no server can fill the VM's memory.
MAX_HELD_BYTES = 1_048_576
ID_FIELD = b"id:"
EVENT_ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r", b"\n\r\n")


class EventSplitter:
    """Passes on a stream's bytes, and tells whether they end inside an event.

    A backend server that fails in the middle of an event leaves a partial one behind. Passed on,
    it would precede the first event of the run that resumes the stream, and the caller would
    parse one event made of two.

    :param held: what the VM holds for all requests; without room, an event is passed on unfinished.
    :param hold_partial: hold an event back until it is whole, for a stream that may be resumed.
    """

    def __init__(self, *, hold_partial: bool, held: HeldBytes | None = None) -> None:
        self.last_id: str | None = None
        # Whether all that was passed on ends with the event of that id.
        self._ends_with_id = True
        self._hold_partial = hold_partial
        self._held = b""
        self._holding = (held or HeldBytes()).hold()
        self._scanner = EventScanner()
        self._is_text = True

    def pass_unread(self) -> None:
        """Pass all bytes on as they come: the stream is encoded, and its events can't be read."""
        self._is_text = self._hold_partial = False

    @property
    def inside_event(self) -> bool:
        """Whether the bytes so far end inside an event."""
        return self._scanner.inside_event

    def feed(self, data: bytes) -> bytes:
        """Add bytes of the stream, and return those to be passed on now."""
        if not self._is_text:
            return data
        whole_end = self._scanner.feed(data)
        if not self._hold_partial:
            return data
        if not whole_end:
            self._held += data
            return self._take_overlong()
        if self._held or whole_end < len(data):
            whole, self._held = self._held + data[:whole_end], data[whole_end:]
            self._holding.resize(0)
        else:
            whole = data
        self._update_last_id(whole)
        return whole

    @property
    def can_be_proven(self) -> bool:
        """Whether a run that resumes the stream now would add nothing if it has ended.

        That run goes on after the last event that has an id, which has to be the last one.
        """
        return self._hold_partial and not self._held and self._ends_with_id

    @property
    def can_resume(self) -> bool:
        """Whether another run may follow: nothing but whole events has been passed on."""
        return self._hold_partial

    def _take_overlong(self) -> bytes:
        size = len(self._held)
        if size <= MAX_HELD_BYTES and self._holding.resize(size):
            return b""
        self._hold_partial = False
        return self.take_rest()

    def take_rest(self) -> bytes:
        """Return what is held; at the proper end of a stream, the start of a comment's line."""
        data, self._held = self._held, b""
        self._holding.resize(0)
        return data

    def discard_partial(self) -> None:
        """Drop the partial event that a broken run left; the next bytes are another run's."""
        self._held = b""
        self._holding.resize(0)
        self._scanner = EventScanner()

    def _update_last_id(self, events: bytes) -> None:
        line = events.rfind(b"\n" + ID_FIELD)
        if b"\r" in events:
            line = max(line, events.rfind(b"\r" + ID_FIELD))
        if events.strip():
            self._ends_with_id = line >= last_event_start(events)
        if line < 0 and not events.startswith(ID_FIELD):
            return
        # The field begins after the end of the line before it, which is at -1 for the first line.
        value = events[line + 1 + len(ID_FIELD) :].partition(b"\n")[0].partition(b"\r")[0]
        self.last_id = value.strip().decode("latin-1")


def last_event_start(events: bytes) -> int:
    """Return the position before the first line of the last of some whole events."""
    text = events.rstrip(b"\r\n")
    ends = [text.rfind(mark) + len(mark) - 1 for mark in EVENT_ENDS if mark in text]
    return max(ends, default=-1)

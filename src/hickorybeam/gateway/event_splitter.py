"""Split a stream of server-sent events into whole events and track the last event id."""

from __future__ import annotations

__all__ = ("EventSplitter",)

EVENT_END = b"\n\n"
ID_FIELD = b"id:"


class EventSplitter:
    """Passes on the bytes of a stream only up to the end of a whole event.

    A backend server that fails in the middle of an event leaves a partial one behind. Passed on,
    it would precede the first event of the run that resumes the stream, and the caller would
    parse one event made of two.
    """

    def __init__(self) -> None:
        self.last_id: str | None = None
        self._partial = b""

    def take_whole(self, data: bytes) -> bytes:
        """Return the events that are complete with these bytes."""
        data = self._partial + data
        end = data.rfind(EVENT_END)
        if end < 0:
            self._partial = data
            return b""
        end += len(EVENT_END)
        events, self._partial = data[:end], data[end:]
        self._update_last_id(events)
        return events

    def take_partial(self) -> bytes:
        """Return the bytes after the last whole event, at the proper end of a stream."""
        data, self._partial = self._partial, b""
        return data

    def discard_partial(self) -> None:
        """Drop the partial event that a broken run left."""
        self._partial = b""

    def _update_last_id(self, events: bytes) -> None:
        for line in reversed(events.split(b"\n")):
            if line.startswith(ID_FIELD):
                self.last_id = line[len(ID_FIELD) :].strip().decode("latin-1")
                return

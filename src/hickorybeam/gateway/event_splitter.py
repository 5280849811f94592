"""Events of a stream, whole ones only, with the id at which the stream can go on."""

from __future__ import annotations

__all__ = ("EventCutter",)

END = b"\n\n"
ID = b"id:"


class EventCutter:
    """Cuts a stream's bytes after whole events.

    A server that ends in the middle of an event leaves a part of it behind. Relayed, it would
    stand before the first event of the run that goes on, and the caller would read one event
    made of two.
    """

    def __init__(self) -> None:
        self.last_id: str | None = None
        self._rest = b""

    def whole(self, data: bytes) -> bytes:
        """Return the whole events that are complete with these bytes."""
        data = self._rest + data
        end = data.rfind(END)
        if end < 0:
            self._rest = data
            return b""
        end += len(END)
        events, self._rest = data[:end], data[end:]
        self._note_id(events)
        return events

    def rest(self) -> bytes:
        """Return what follows the last whole event, at the proper end of a stream."""
        data, self._rest = self._rest, b""
        return data

    def restart(self) -> None:
        """Drop the part of an event that a broken run left."""
        self._rest = b""

    def _note_id(self, events: bytes) -> None:
        for line in reversed(events.split(b"\n")):
            if line.startswith(ID):
                self.last_id = line[len(ID) :].strip().decode("latin-1")
                return

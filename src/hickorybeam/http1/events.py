"""Where events end in a stream of server-sent events (``text/event-stream``)."""

from __future__ import annotations

import re
from enum import Enum

__all__ = ("EventScanner", "is_encoded", "is_event_stream")

MEDIA_TYPE = b"text/event-stream"

LINE_END = re.compile(rb"\r\n|\n|\r")
# The blank lines that end events in nearly all streams; others are found line by line.
COMMON_EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
COMMENT_START = ord(":")


class Line(Enum):
    """What a line holds so far; a comment is no part of an event."""

    BLANK = 0
    COMMENT = 1
    FIELD = 2


class EventScanner:
    """Follows a stream piece by piece, however it is cut, without keeping any of it.

    Lines end with LF, CR LF or CR; a blank line ends an event. ``inside_event`` tells whether bytes
    of an event have come whose end hasn't: a stream that ends there has been broken off.
    """

    def __init__(self) -> None:
        self.inside_event = False
        self._line = Line.BLANK
        self._after_cr = False

    def feed(self, data: bytes) -> int:
        """Add bytes, and return how many of them come before the first line of an unfinished event.

        A comment whose line hasn't ended counts as unfinished, too.
        """
        if data.endswith(COMMON_EVENT_ENDS[0]):
            self._end_event()
            self._after_cr = False
            return len(data)
        whole_end = position = self._skip_to_last_common_end(data)
        if self._after_cr and not position and data.startswith(b"\n"):
            # The second half of a CR LF, which belongs to the line before it.
            position = 1
            whole_end = 0 if self.inside_event else 1
        for match in LINE_END.finditer(data, position):
            self._add_to_line(data, position, match.start())
            if self._line is Line.BLANK:
                self.inside_event = False
            self._line = Line.BLANK
            position = match.end()
            if not self.inside_event:
                whole_end = position
        self._add_to_line(data, position, len(data))
        if data:
            self._after_cr = data.endswith(b"\r")
        return whole_end

    def _skip_to_last_common_end(self, data: bytes) -> int:
        """Forget the lines before the last blank line of a common form, and return its end."""
        ends = [at + len(mark) for mark in COMMON_EVENT_ENDS if (at := data.rfind(mark)) >= 0]
        if not ends:
            return 0
        self._end_event()
        return max(ends)

    def _end_event(self) -> None:
        self.inside_event = False
        self._line = Line.BLANK

    def _add_to_line(self, data: bytes, start: int, end: int) -> None:
        if start == end:
            return
        if self._line is Line.BLANK:
            self._line = Line.COMMENT if data[start] == COMMENT_START else Line.FIELD
        if self._line is Line.FIELD:
            self.inside_event = True


def is_event_stream(content_type: bytes | None) -> bool:
    """Return whether a content type, with or without parameters, is that of a stream of events."""
    media_type = (content_type or b"").partition(b";")[0]
    return media_type.strip().lower() == MEDIA_TYPE


def is_encoded(content_encoding: bytes | None) -> bool:
    """Return whether a body is compressed or otherwise encoded, so that its text can't be read."""
    return (content_encoding or b"").strip().lower() not in (b"", b"identity")

"""Formatters of log records: flat JSON for programs, or text for people."""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging
from pythonjsonlogger.core import RESERVED_ATTRS, merge_record_extra
from pythonjsonlogger.msgspec import MsgspecFormatter

if TYPE_CHECKING:
    import logging as std
    from typing import Any

__all__ = ("JsonLines", "TextLines")


class JsonLines(MsgspecFormatter):
    """One JSON object per line: ``time`` in s, ``level``, ``where``, ``event`` and its fields."""

    def __init__(self) -> None:
        super().__init__(
            ["created", "levelname", "filename", "lineno", "message"],
            rename_fields={"message": "event", "exc_info": "error"},
            json_default=str,
        )

    def process_log_record(self, log_data: dict[str, Any]) -> dict[str, Any]:
        """Return the fields of the JSON object."""
        head = {
            "time": round(log_data.pop("created"), 3),
            "level": log_data.pop("levelname").lower(),
            "where": f"{log_data.pop('filename')}:{log_data.pop('lineno')}",
        }
        return head | log_data


class TextLines(logging.PythonFormatter):
    """absl's text line, followed by the event's fields."""

    def format(self, record: std.LogRecord) -> str:
        """Return the record as one line, or several if it has a traceback."""
        fields: dict[str, Any] = {}
        merge_record_extra(record, fields, reserved=RESERVED_ATTRS)
        suffix = "".join(f" {name}={value}" for name, value in fields.items())
        return f"{super().format(record)}{suffix}"

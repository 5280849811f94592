"""Logging: text for people or one JSON object per line for programs.

Request ids go in by the message's text; keys, prompts and answers never do.
"""

from __future__ import annotations

import json
import logging as std
from typing import TYPE_CHECKING

from absl import flags, logging

if TYPE_CHECKING:
    from hickorybeam.settings import LogSettings

__all__ = ("JsonFormatter", "configure")


class JsonFormatter(std.Formatter):
    """One JSON object per record."""

    def format(self, record: std.LogRecord) -> str:
        """Return the record as one line."""
        line = {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            "where": f"{record.filename}:{record.lineno}",
            "text": record.getMessage(),
        }
        if record.exc_info:
            line["error"] = self.formatException(record.exc_info)
        return json.dumps(line)


def configure(cfg: LogSettings) -> None:
    """Set level and format for the whole process."""
    # absl warns on each line until its flags are parsed; our settings take their place.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(cfg.level)
    if cfg.format == "json":
        logging.get_absl_handler().setFormatter(JsonFormatter())

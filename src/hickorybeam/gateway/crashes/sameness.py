"""What shows that a server's process is the one that it was."""

from __future__ import annotations

from enum import Enum

__all__ = ("Sameness",)


class Sameness(Enum):
    """What shows that a server's process outlived the close of a connection to it.

    ``CONNECTION``: one that was open before is open still. On a new one it named the time of its
    start (``START``), or its id only, so soon that few processes could have started (``ID``).
    Otherwise nothing shows it: it named another start or id (``OTHER``), nothing listens there
    (``GONE``), it takes no connection (``SILENT``), or doesn't tell who it is (``UNTOLD``).
    """

    CONNECTION = "connection"
    START = "start"
    ID = "id"
    OTHER = "other"
    GONE = "gone"
    SILENT = "silent"
    UNTOLD = "untold"

    @property
    def is_shown(self) -> bool:
        """Whether the process is shown to be the same one."""
        return self in (Sameness.CONNECTION, Sameness.START, Sameness.ID)

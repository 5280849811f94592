"""Exit codes of the command line."""

from __future__ import annotations

from enum import IntEnum

__all__ = ("Exit",)


class Exit(IntEnum):
    """Stable exit codes for programs that call the command line."""

    OK = 0
    REFUSED = 1
    """The gateway refused the call; the error code is printed."""
    USAGE = 2
    """An argument or a file is invalid; nothing was sent."""
    UNREACHABLE = 3
    """No entry VM responded; a change may or may not have been accepted."""

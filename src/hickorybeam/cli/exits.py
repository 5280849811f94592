"""Exit codes of the command line."""

from __future__ import annotations

from enum import IntEnum

__all__ = ("Exit",)


class Exit(IntEnum):
    """What a program that calls the command line can rely on."""

    OK = 0
    REFUSED = 1
    """The gateway answered with a refusal; its code is printed."""
    USAGE = 2
    """The command's words or a file are wrong; nothing was sent."""
    UNREACHABLE = 3
    """No entry VM answered; a change may or may not have been accepted."""

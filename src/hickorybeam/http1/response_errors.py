"""Errors of a response that another server sends."""

from __future__ import annotations

__all__ = ("BrokenResponseError", "EndlessResponseError")


class BrokenResponseError(Exception):
    """The response is missing, malformed or incomplete.

    :param sent: the other end may have received bytes of the request.
    """

    def __init__(self, text: str, *, sent: bool = True) -> None:
        super().__init__(text)
        self.sent = sent


class EndlessResponseError(BrokenResponseError):
    """The response goes on beyond what any answer has."""

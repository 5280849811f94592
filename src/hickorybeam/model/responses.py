"""The parts of a response, in the order in which they reach the caller."""

from __future__ import annotations

from dataclasses import dataclass

# Needed at run time: msgspec reads the field types when it encodes.
from hickorybeam.model.calls import Header  # noqa: TC001

__all__ = ("ResponseChunk", "ResponseEnd", "ResponseHead", "ResponsePart", "Usage")


@dataclass(frozen=True, slots=True)
class Usage:
    """Tokens that a request actually used, as counted by the engine."""

    prompt_tokens: int = 0
    completion_tokens: int = 0

    @property
    def total(self) -> int:
        """Tokens charged to the account."""
        return self.prompt_tokens + self.completion_tokens


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers; always the first part."""

    status: int
    headers: tuple[Header, ...] = ()


@dataclass(frozen=True, slots=True)
class ResponseChunk:
    """Bytes of the body as the backend server sent them; ``tokens`` is the number in them."""

    data: bytes
    tokens: int = 0


@dataclass(frozen=True, slots=True)
class ResponseEnd:
    """The proper end of a response; one without it was cut off, which is an error to the caller."""

    usage: Usage | None = None
    backend: str = ""
    region: str = ""


ResponsePart = ResponseHead | ResponseChunk | ResponseEnd

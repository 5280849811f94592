"""Answers of the stand-in engine, streamed and whole, in the shape of the published API."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

from hickorybeam.standins.batch import token_text

if TYPE_CHECKING:
    from hickorybeam.standins.batch import Stream
    from hickorybeam.standins.http import Exchange

__all__ = ("SseWriter", "error_body", "whole_answer")

CREATED_S = 1_700_000_000
DONE_EVENT = b"data: [DONE]\n\n"


class SseWriter:
    """Writes one stream as server-sent events; each carries its position as the event id."""

    def __init__(self, exchange: Exchange, stream: Stream, *, chat: bool, usage: bool) -> None:
        self.exchange = exchange
        self.stream = stream
        self._chat = chat
        self._usage = usage

    async def tokens(self, begin: int, end: int) -> None:
        """Write the tokens of a range in one piece."""
        if end <= begin:
            return
        await self.exchange.write(b"".join(map(self._event, range(begin, end))))

    async def finish(self) -> None:
        """Write the usage, if asked for, and the proper end."""
        tail = b""
        if self._usage:
            usage = usage_of(self.stream)
            tail = sse(self.stream.max_tokens, self._chunk([]) | {"usage": usage})
        await self.exchange.write(tail + DONE_EVENT, more=False)

    def _event(self, position: int) -> bytes:
        text = token_text(self.stream.model, self.stream.prompt, position)
        last = position == self.stream.max_tokens - 1
        choice: dict[str, Any] = {"index": 0, "finish_reason": "length" if last else None}
        if self._chat:
            choice["delta"] = {"content": text} | ({"role": "assistant"} if not position else {})
        else:
            choice["text"] = text
        return sse(position, self._chunk([choice]))

    def _chunk(self, choices: list[dict[str, Any]]) -> dict[str, Any]:
        kind = "chat.completion.chunk" if self._chat else "text_completion"
        return answer_frame(self.stream, kind, choices)


def sse(position: int, value: object) -> bytes:
    """Return one server-sent event."""
    return b"id: %d\ndata: %s\n\n" % (position, msgspec.json.encode(value))


def answer_frame(stream: Stream, kind: str, choices: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the fields that every answer or part of one carries."""
    return {
        "id": stream.id,
        "object": kind,
        "created": CREATED_S,
        "model": stream.model,
        "choices": choices,
    }


def whole_answer(stream: Stream, *, chat: bool) -> dict[str, Any]:
    """Return the answer to a request that is not streamed."""
    positions = range(stream.produced)
    text = "".join(token_text(stream.model, stream.prompt, position) for position in positions)
    choice: dict[str, Any] = {"index": 0, "finish_reason": "length"}
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    kind = "chat.completion" if chat else "text_completion"
    return answer_frame(stream, kind, [choice]) | {"usage": usage_of(stream)}


def usage_of(stream: Stream) -> dict[str, int]:
    """Return the tokens that a sequence took."""
    return {
        "prompt_tokens": stream.prompt_tokens,
        "completion_tokens": stream.produced,
        "total_tokens": stream.prompt_tokens + stream.produced,
    }


def error_body(message: str, *, code: str = "engine_error") -> dict[str, Any]:
    """Return an error in the shape of the published API."""
    return {"error": {"message": message, "type": "engine_error", "code": code, "param": None}}

"""Bodies of the OpenAI-style calls: what the gateway reads of them and what it adds."""

from __future__ import annotations

import hashlib
import re
from dataclasses import dataclass
from typing import Any

import msgspec

from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.model import CallKind

__all__ = ("BodyError", "ModelBody", "read_body")

CHARS_PER_TOKEN = 4
# Set where the caller names no limit: an engine without one could produce more than the
# account was charged for on admission, and so take it past its rate.
DEFAULT_MAX_TOKENS = 256
MOST_TOKENS = 1_000_000
MOST_CHOICES = 16
MOST_PROMPTS = 64
PREFIX_BYTES = 256
PREFIX_DIGEST_BYTES = 8
FIELD = re.compile(r"`\$\.(\w+)")


class BodyError(GatewayError):
    """A ``BAD_REQUEST`` that names the field at fault."""

    def __init__(self, detail: str, *, param: str | None = None) -> None:
        super().__init__(ErrorKind.BAD_REQUEST, detail)
        self.param = param


class _Common(msgspec.Struct):
    model: str
    stream: bool | None = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    n: int | None = 1
    best_of: int | None = 1


class _Chat(_Common, kw_only=True):
    messages: msgspec.Raw
    stream_options: dict[str, Any] | None = None


class _Completion(_Common, kw_only=True):
    prompt: msgspec.Raw
    stream_options: dict[str, Any] | None = None


_DECODERS: dict[CallKind, msgspec.json.Decoder[Any]] = {
    CallKind.CHAT: msgspec.json.Decoder(_Chat),
    CallKind.COMPLETION: msgspec.json.Decoder(_Completion),
}


@dataclass(frozen=True, slots=True, kw_only=True)
class ModelBody:
    """What the gateway needs of a body; ``raw`` is what goes on to the engine."""

    raw: bytes
    model: str
    stream: bool
    prompt_tokens: int
    max_tokens: int
    prefix: str

    @property
    def cost(self) -> int:
        """Tokens to take on admission."""
        return self.prompt_tokens + self.max_tokens


def read_body(kind: CallKind, raw: bytes) -> ModelBody:
    """Read a body of a chat or text completion.

    :raises BodyError: it is not JSON, or a field is missing, of the wrong type or range.
    """
    try:
        body = _DECODERS[kind].decode(raw)
    except msgspec.ValidationError as exc:
        found = FIELD.search(str(exc))
        raise BodyError(str(exc), param=found[1] if found else None) from exc
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise BodyError("the body is not valid JSON") from exc
    except RecursionError as exc:
        raise BodyError("the body is nested too deeply") from exc
    prompt = bytes(body.messages if isinstance(body, _Chat) else body.prompt)
    prompts = check_prompt(kind, prompt)
    choices = check_choices(body)
    limit = check_limit(body)
    if limit is None:
        limit = DEFAULT_MAX_TOKENS
        raw = with_limit(raw, limit)
    if body.stream and choices * prompts > 1:
        # One stream with several answers has no single position to resume from.
        raise BodyError(
            "a stream gives one answer: n and the number of prompts must be 1", param="n"
        )
    return ModelBody(
        raw=raw,
        model=body.model,
        stream=bool(body.stream),
        prompt_tokens=max(1, len(prompt) // CHARS_PER_TOKEN),
        max_tokens=limit * choices * prompts,
        prefix=prefix_digest(body.model, prompt),
    )


def check_prompt(kind: CallKind, prompt: bytes) -> int:
    """Return how many prompts there are, or raise when there is none."""
    if kind is CallKind.CHAT:
        if not prompt.startswith(b"[") or prompt[1:-1].strip() == b"":
            raise BodyError("messages must be a list with at least one message", param="messages")
        return 1
    if prompt.startswith(b'"'):
        return 1
    if not prompt.startswith(b"["):
        raise BodyError("prompt must be a string or a list", param="prompt")
    entries = msgspec.json.decode(prompt)
    if not entries:
        raise BodyError("prompt must not be empty", param="prompt")
    count = 1 if isinstance(entries[0], int) else len(entries)
    if count > MOST_PROMPTS:
        raise BodyError(f"at most {MOST_PROMPTS} prompts in one call", param="prompt")
    return count


def check_choices(body: _Common) -> int:
    """Return how many answers the engine will produce for each prompt."""
    choices = max(body.n or 1, body.best_of or 1)
    if min(body.n or 1, body.best_of or 1) < 1 or choices > MOST_CHOICES:
        raise BodyError(f"n and best_of must be from 1 to {MOST_CHOICES}", param="n")
    return choices


def check_limit(body: _Common) -> int | None:
    """Return the most tokens of one answer, ``None`` when the caller names no limit."""
    field = "max_tokens" if body.max_completion_tokens is None else "max_completion_tokens"
    limit: int | None = getattr(body, field)
    if limit is not None and not 1 <= limit <= MOST_TOKENS:
        raise BodyError(f"{field} must be from 1 to {MOST_TOKENS}", param=field)
    return limit


def with_limit(raw: bytes, limit: int) -> bytes:
    """Return the body with ``max_tokens`` set."""
    fields: dict[str, msgspec.Raw] = msgspec.json.decode(raw, type=dict[str, msgspec.Raw])
    fields["max_tokens"] = msgspec.Raw(b"%d" % limit)
    return msgspec.json.encode(fields)


def prefix_digest(model: str, prompt: bytes) -> str:
    """Return the digest of a prompt's start, by which engines with a warm cache are found."""
    start = model.encode() + b"\n" + prompt[:PREFIX_BYTES]
    return hashlib.blake2b(start, digest_size=PREFIX_DIGEST_BYTES).hexdigest()

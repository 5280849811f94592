"""Parsing of the bodies of OpenAI-style calls, and the token limit that is added to them."""

from __future__ import annotations

import hashlib
import re
from dataclasses import dataclass
from typing import Any

import msgspec

from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.model import CallKind
from hickorybeam.untrusted import InvalidBytesError, TooDeepError, WrongTypeError, decode_json

__all__ = ("BodyError", "ModelBody", "parse_body")

CHARS_PER_TOKEN = 4
# Sent to the engine if the caller sets no limit. Without one, an engine could produce more tokens
# than the account was charged for on admission, and so exceed the account's rate.
DEFAULT_MAX_TOKENS = 256
MAX_OUTPUT_TOKENS = 1_000_000
MAX_CHOICES = 16
MAX_PROMPTS = 64
PREFIX_BYTES = 256
PREFIX_DIGEST_BYTES = 8
FIELD_PATTERN = re.compile(r"`\$\.(\w+)")


class BodyError(GatewayError):
    """A ``BAD_REQUEST`` with the name of the invalid field."""

    def __init__(self, detail: str, *, param: str | None = None) -> None:
        super().__init__(ErrorKind.BAD_REQUEST, detail)
        self.param = param


class _CommonBody(msgspec.Struct):
    model: str
    stream: bool | None = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    n: int | None = 1
    best_of: int | None = 1


class _ChatBody(_CommonBody, kw_only=True):
    messages: msgspec.Raw
    stream_options: dict[str, Any] | None = None


class _CompletionBody(_CommonBody, kw_only=True):
    prompt: msgspec.Raw
    stream_options: dict[str, Any] | None = None


_BODY_CLASSES: dict[CallKind, type[_ChatBody | _CompletionBody]] = {
    CallKind.CHAT: _ChatBody,
    CallKind.COMPLETION: _CompletionBody,
}


@dataclass(frozen=True, slots=True, kw_only=True)
class ModelBody:
    """The values that the gateway reads from a body; ``raw`` is the body sent to the engine."""

    raw: bytes
    model: str
    stream: bool
    prompt_tokens: int
    max_tokens: int
    prefix: str

    @property
    def cost(self) -> int:
        """Tokens that admission charges to the account."""
        return self.prompt_tokens + self.max_tokens


def parse_body(kind: CallKind, raw: bytes) -> ModelBody:
    """Parse the body of a chat or text completion.

    :raises BodyError: it is not JSON, or a field is missing, has the wrong type or is out of
        range.
    """
    try:
        body = decode_json(raw, _BODY_CLASSES[kind])
        # Names of fields that the class doesn't have aren't read above, but when one is added.
        fields = decode_json(raw, dict[str, msgspec.Raw])
    except WrongTypeError as exc:
        found = FIELD_PATTERN.search(str(exc))
        raise BodyError(str(exc), param=found[1] if found else None) from exc
    except TooDeepError as exc:
        raise BodyError("the body is nested too deeply") from exc
    except InvalidBytesError as exc:
        raise BodyError("the body is not valid JSON") from exc
    prompt = bytes(body.messages if isinstance(body, _ChatBody) else body.prompt)
    prompt_count = count_prompts(kind, prompt)
    choices = count_choices(body)
    max_tokens = check_max_tokens(body)
    if max_tokens is None:
        max_tokens = DEFAULT_MAX_TOKENS
        raw = with_max_tokens(fields, max_tokens)
    if body.stream and choices * prompt_count > 1:
        # A stream with several completions has no single position to resume from.
        raise BodyError(
            "a stream gives one answer: n and the number of prompts must be 1", param="n"
        )
    return ModelBody(
        raw=raw,
        model=body.model,
        stream=bool(body.stream),
        prompt_tokens=max(1, len(prompt) // CHARS_PER_TOKEN),
        max_tokens=max_tokens * choices * prompt_count,
        prefix=prefix_digest(body.model, prompt),
    )


def count_prompts(kind: CallKind, prompt: bytes) -> int:
    """Return the number of prompts.

    :raises BodyError: there are none or too many, or they have the wrong type.
    """
    if kind is CallKind.CHAT:
        if not prompt.startswith(b"[") or prompt[1:-1].strip() == b"":
            raise BodyError("messages must be a list with at least one message", param="messages")
        return 1
    if prompt.startswith(b'"'):
        return 1
    if not prompt.startswith(b"["):
        raise BodyError("prompt must be a string or a list", param="prompt")
    try:
        prompts = decode_json(prompt, list[Any])
    except InvalidBytesError as exc:
        raise BodyError(str(exc), param="prompt") from exc
    if not prompts:
        raise BodyError("prompt must not be empty", param="prompt")
    count = 1 if isinstance(prompts[0], int) else len(prompts)
    if count > MAX_PROMPTS:
        raise BodyError(f"at most {MAX_PROMPTS} prompts in one call", param="prompt")
    return count


def count_choices(body: _CommonBody) -> int:
    """Return the number of completions that the engine produces for each prompt."""
    choices = max(body.n or 1, body.best_of or 1)
    if min(body.n or 1, body.best_of or 1) < 1 or choices > MAX_CHOICES:
        raise BodyError(f"n and best_of must be from 1 to {MAX_CHOICES}", param="n")
    return choices


def check_max_tokens(body: _CommonBody) -> int | None:
    """Return the limit on the tokens of one completion, ``None`` if the caller sets none."""
    field = "max_tokens" if body.max_completion_tokens is None else "max_completion_tokens"
    max_tokens: int | None = getattr(body, field)
    if max_tokens is not None and not 1 <= max_tokens <= MAX_OUTPUT_TOKENS:
        raise BodyError(f"{field} must be from 1 to {MAX_OUTPUT_TOKENS}", param=field)
    return max_tokens


def with_max_tokens(fields: dict[str, msgspec.Raw], max_tokens: int) -> bytes:
    """Return the body of these fields with ``max_tokens`` set."""
    return msgspec.json.encode(fields | {"max_tokens": msgspec.Raw(b"%d" % max_tokens)})


def prefix_digest(model: str, prompt: bytes) -> str:
    """Return the digest of a prompt's start, used to find engines that have it cached."""
    prompt_start = model.encode() + b"\n" + prompt[:PREFIX_BYTES]
    return hashlib.blake2b(prompt_start, digest_size=PREFIX_DIGEST_BYTES).hexdigest()

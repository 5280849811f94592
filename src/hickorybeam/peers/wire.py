"""The messages between entry VMs, and the encoding of errors in them."""

from __future__ import annotations

from dataclasses import dataclass

from hickorybeam.errors import ErrorKind, GatewayError, Ran

# Needed at run time: msgspec reads the field types when it encodes.
from hickorybeam.model import Call, ResponseChunk, ResponseEnd, ResponseHead, VmId  # noqa: TC001

__all__ = (
    "AskReply",
    "AskRequest",
    "ForwardRequest",
    "NumberedRequest",
    "ResponseParts",
    "TransportEndedError",
    "WireError",
    "to_error",
    "to_wire",
)

ASK_METHOD = "/hickorybeam.Peer/Ask"
SHARED_STREAM_METHOD = "/hickorybeam.Peer/Talk"
FORWARD_METHOD = "/hickorybeam.Peer/Forward"


class TransportEndedError(Exception):
    """A stream to a peer ended while a reply on it was awaited."""


@dataclass(frozen=True, slots=True, kw_only=True)
class WireError:
    """An encoded ``GatewayError``; the kind is text, since a newer VM may have more kinds."""

    kind: str
    detail: str = ""
    ran: Ran = Ran.UNKNOWN
    retry_after_ms: int | None = None
    entries: tuple[str, ...] = ()
    faults: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class AskRequest:
    """One request of a topic; an empty incarnation in ``to`` addresses any VM that listens."""

    sender: VmId
    to: VmId
    topic: str
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class NumberedRequest:
    """A request on a shared stream; its reply has the same number."""

    number: int
    ask: AskRequest


@dataclass(frozen=True, slots=True, kw_only=True)
class AskReply:
    """The reply to an ``AskRequest``: a body or an error; numbered on a shared stream."""

    body: bytes = b""
    error: WireError | None = None
    number: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardRequest:
    """A call for the receiver to run, which must not forward it again."""

    sender: VmId
    to: VmId
    call: Call


@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseParts:
    """Some parts of a response in their order; the last message has ``end`` or ``error``."""

    head: ResponseHead | None = None
    chunks: tuple[ResponseChunk, ...] = ()
    end: ResponseEnd | None = None
    error: WireError | None = None


def to_wire(exc: GatewayError) -> WireError:
    """Return the encoded form of an error."""
    return WireError(
        kind=exc.kind.value,
        detail=exc.detail,
        ran=exc.ran,
        retry_after_ms=exc.retry_after_ms,
        entries=exc.entries,
        faults=exc.faults,
    )


def to_error(wire: WireError) -> GatewayError:
    """Return the error to raise; a kind unknown to this version becomes ``INTERNAL``."""
    try:
        kind = ErrorKind(wire.kind)
    except ValueError:
        kind = ErrorKind.INTERNAL
    return GatewayError(
        kind,
        wire.detail,
        ran=wire.ran,
        retry_after_ms=wire.retry_after_ms,
        entries=wire.entries,
        faults=wire.faults,
    )

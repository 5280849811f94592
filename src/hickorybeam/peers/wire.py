"""The messages between entry VMs, and how an error travels in them."""

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
    """A ``GatewayError`` between VMs; the kind is text, since a newer VM may know more kinds."""

    kind: str
    detail: str = ""
    ran: Ran = Ran.UNKNOWN
    retry_after_ms: int | None = None
    entries: tuple[str, ...] = ()
    faults: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class AskRequest:
    """One request of a topic; ``to`` with an empty incarnation means whoever listens there."""

    sender: VmId
    to: VmId
    topic: str
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class NumberedRequest:
    """A request on a long-lived stream; its reply has the same number."""

    number: int
    ask: AskRequest


@dataclass(frozen=True, slots=True, kw_only=True)
class AskReply:
    """The reply to an ``Ask``: a body or an error; numbered on a long-lived stream."""

    body: bytes = b""
    error: WireError | None = None
    number: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardRequest:
    """A call to run at the receiver and nowhere else."""

    sender: VmId
    to: VmId
    call: Call


@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseParts:
    """Some parts of an answer, in their order; the last message carries ``end`` or ``error``."""

    head: ResponseHead | None = None
    chunks: tuple[ResponseChunk, ...] = ()
    end: ResponseEnd | None = None
    error: WireError | None = None


def to_wire(exc: GatewayError) -> WireError:
    """Return the error as it travels."""
    return WireError(
        kind=exc.kind.value,
        detail=exc.detail,
        ran=exc.ran,
        retry_after_ms=exc.retry_after_ms,
        entries=exc.entries,
        faults=exc.faults,
    )


def to_error(wire: WireError) -> GatewayError:
    """Return the error to raise; a kind this version does not know becomes ``INTERNAL``."""
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

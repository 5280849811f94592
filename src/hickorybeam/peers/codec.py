"""MessagePack encoding of frozen data classes, for stored values and as grpclib's codec."""

from __future__ import annotations

from functools import cache
from typing import Any, TypeVar

import msgspec
from grpclib.encoding.base import CodecBase

__all__ = ("MessagePackCodec", "pack", "unpack")

T = TypeVar("T")

_encoder = msgspec.msgpack.Encoder()


@cache
def _decoder(cls: Any) -> msgspec.msgpack.Decoder[Any]:
    return msgspec.msgpack.Decoder(cls)


def pack(value: object) -> bytes:
    """Encode a data class, with fields by name so that a newer VM may add some."""
    return _encoder.encode(value)


def unpack(cls: type[T], data: bytes) -> T:
    """Decode a data class; fields unknown to this version are ignored.

    Raises ``msgspec.ValidationError`` or ``msgspec.DecodeError`` if the data does not fit.
    """
    value: T = _decoder(cls).decode(data)  # type: ignore[arg-type]
    return value


class MessagePackCodec(CodecBase):  # type: ignore[misc]
    """The codec that grpclib applies to each message."""

    __content_subtype__ = "msgpack"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode one message."""
        return pack(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode one message of the type that the method declares."""
        return unpack(message_type, data)

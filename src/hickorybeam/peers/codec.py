"""MessagePack over the frozen data classes, as grpclib's codec and for values kept elsewhere."""

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
    """Encode a data class; fields travel by name, so that a newer VM may add some."""
    return _encoder.encode(value)


def unpack(cls: type[T], data: bytes) -> T:
    """Decode a data class; fields this version does not know are ignored.

    Raises ``msgspec.ValidationError`` or ``msgspec.DecodeError`` on anything else.
    """
    value: T = _decoder(cls).decode(data)  # type: ignore[arg-type]
    return value


class MessagePackCodec(CodecBase):  # type: ignore[misc]
    """What grpclib calls for each message."""

    __content_subtype__ = "msgpack"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode one message."""
        return pack(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode one message of the type that the method declares."""
        return unpack(message_type, data)

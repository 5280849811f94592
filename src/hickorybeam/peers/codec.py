"""MessagePack encoding of frozen data classes, for stored values and as grpclib's codec."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec
from grpclib.encoding.base import CodecBase

from hickorybeam.untrusted import decode_msgpack

__all__ = ("MessagePackCodec", "pack", "unpack")

T = TypeVar("T")

_encoder = msgspec.msgpack.Encoder()


def pack(value: object) -> bytes:
    """Encode a data class, with fields by name so that a newer VM may add some."""
    return _encoder.encode(value)


def unpack(cls: type[T], data: bytes) -> T:
    """Decode a data class; fields unknown to this version are ignored.

    :raises InvalidBytesError: the data does not fit.
    """
    value: T = decode_msgpack(data, cls)
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

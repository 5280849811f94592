"""Decode bytes that come from outside: the one boundary at which odd bytes become a typed error.

A library raises more than its own errors for such bytes: msgspec leaves a value that is nested
too deeply with ``RecursionError``, also in a field that the type doesn't have. An error that a
caller of the decoder doesn't expect ends whatever serves everybody else.
"""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

__all__ = (
    "InvalidBytesError",
    "TooDeepError",
    "WrongTypeError",
    "checked",
    "decode_json",
    "decode_msgpack",
)

T = TypeVar("T")

# All that msgspec raises for bytes of any kind.
DECODER_ERRORS = (msgspec.MsgspecError, RecursionError, UnicodeDecodeError)


class InvalidBytesError(ValueError):
    """Bytes from outside hold no value of the expected type."""


class WrongTypeError(InvalidBytesError):
    """They hold a value of another type."""


class TooDeepError(InvalidBytesError):
    """They are nested too deeply to be read."""


def decode_json(data: bytes | str | msgspec.Raw, cls: type[T]) -> T:
    """Decode JSON into a type.

    :raises InvalidBytesError: it is no JSON, or no value of that type.
    """
    try:
        return msgspec.json.decode(data, type=cls)
    except DECODER_ERRORS as exc:
        raise _invalid(exc) from exc


def decode_msgpack(data: bytes, cls: Any) -> Any:
    """Decode MessagePack into a type, which may be a union.

    :raises InvalidBytesError: it is no MessagePack, or no value of that type.
    """
    try:
        return msgspec.msgpack.decode(data, type=cls)
    except DECODER_ERRORS as exc:
        raise _invalid(exc) from exc


def checked(value: T, cls: type[T]) -> T:
    """Return a value that was made from decoded ones as it comes to those who are told it.

    :raises InvalidBytesError: it is out of the bounds of its type, so that they would refuse it.
    """
    # ``msgspec.convert`` doesn't check the length of bytes.
    found: T = decode_msgpack(msgspec.msgpack.encode(value), cls)
    return found


def _invalid(exc: Exception) -> InvalidBytesError:
    match exc:
        case msgspec.ValidationError():
            return WrongTypeError(str(exc))
        case RecursionError():
            return TooDeepError("nested too deeply")
        case _:
            return InvalidBytesError(str(exc))

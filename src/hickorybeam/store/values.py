"""Decode values of the store that this project's own services have written."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.untrusted import InvalidBytesError, decode_json, decode_msgpack

if TYPE_CHECKING:
    from hickorybeam.store.port import KeyValue

__all__ = ("json_value", "msgpack_value")

T = TypeVar("T")


def json_value(item: KeyValue, cls: type[T]) -> T:
    """Decode a value written as JSON.

    :raises GatewayError: ``PLATFORM_OUT``: it can't be read, so the store doesn't give what it is
        asked for.
    """
    try:
        return decode_json(item.value, cls)
    except InvalidBytesError as exc:
        raise _unreadable(item, exc) from exc


def msgpack_value(item: KeyValue, cls: type[T]) -> T:
    """Decode a value written as MessagePack.

    :raises GatewayError: ``PLATFORM_OUT``: it can't be read.
    """
    try:
        value: T = decode_msgpack(item.value, cls)
    except InvalidBytesError as exc:
        raise _unreadable(item, exc) from exc
    return value


def _unreadable(item: KeyValue, exc: InvalidBytesError) -> GatewayError:
    return GatewayError(ErrorKind.PLATFORM_OUT, f"the value of {item.key} can't be read: {exc}")

"""Communication between tasks: a mailbox of messages and a reply to one of them."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Generic, TypeVar

import anyio

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

__all__ = ("Mailbox", "Reply")

T = TypeVar("T")


class Reply(Generic[T]):
    """A result that one task sets once and another task waits for."""

    __slots__ = ("_event", "_exc", "_value")

    def __init__(self) -> None:
        self._event = anyio.Event()
        self._value: T | None = None
        self._exc: BaseException | None = None

    def set(self, value: T) -> None:
        """Set the value; ignored if a value or an error is set already."""
        if not self._event.is_set():
            self._value = value
            self._event.set()

    def fail(self, exc: BaseException) -> None:
        """Set an error, which ``wait`` raises; ignored if a value or an error is set already."""
        if not self._event.is_set():
            self._exc = exc
            self._event.set()

    @property
    def done(self) -> bool:
        """Whether a value or an error has been set."""
        return self._event.is_set()

    async def wait(self) -> T:
        """Wait for the result: return the value or raise the error."""
        await self._event.wait()
        if self._exc is not None:
            raise self._exc
        return self._value  # type: ignore[return-value]


class Mailbox(Generic[T]):
    """A queue of messages to one task.

    :param size: maximum number of queued messages; ``None`` for no limit, only for senders that
        are limited themselves.
    """

    def __init__(self, *, size: int | None = None) -> None:
        bound: float = math.inf if size is None else size
        self._send, self._receive = anyio.create_memory_object_stream[T](bound)

    def post(self, message: T) -> bool:
        """Queue a message without waiting.

        :return: ``False`` when the mailbox is full and the message was dropped.
        """
        try:
            self._send.send_nowait(message)
        except anyio.WouldBlock:
            return False
        return True

    async def put(self, message: T) -> None:
        """Queue a message; wait while the mailbox is full."""
        await self._send.send(message)

    async def get(self) -> T:
        """Wait for the next message and return it."""
        return await self._receive.receive()

    async def __aiter__(self) -> AsyncIterator[T]:
        while True:
            yield await self._receive.receive()

    def __len__(self) -> int:
        return self._send.statistics().current_buffer_used

"""Messages between tasks: a bounded mailbox and a reply slot."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Generic, TypeVar

import anyio

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

__all__ = ("Mailbox", "Reply")

T = TypeVar("T")


class Reply(Generic[T]):
    """A slot that the owner of some state fills once and one asker waits for."""

    __slots__ = ("_event", "_exc", "_value")

    def __init__(self) -> None:
        self._event = anyio.Event()
        self._value: T | None = None
        self._exc: BaseException | None = None

    def set(self, value: T) -> None:
        """Fill the slot; later calls are ignored."""
        if not self._event.is_set():
            self._value = value
            self._event.set()

    def fail(self, exc: BaseException) -> None:
        """Fill the slot with an error that the asker will see raised."""
        if not self._event.is_set():
            self._exc = exc
            self._event.set()

    @property
    def done(self) -> bool:
        """Whether the slot has been filled."""
        return self._event.is_set()

    async def wait(self) -> T:
        """Wait for the value, or raise the error."""
        await self._event.wait()
        if self._exc is not None:
            raise self._exc
        return self._value  # type: ignore[return-value]


class Mailbox(Generic[T]):
    """The queue of messages to one task.

    :param size: how many messages may wait; ``None`` for no bound, which fits only senders
        that are bounded themselves.
    """

    def __init__(self, *, size: int | None = None) -> None:
        bound: float = math.inf if size is None else size
        self._send, self._receive = anyio.create_memory_object_stream[T](bound)

    def post(self, message: T) -> bool:
        """Put a message without waiting.

        :return: ``False`` when the mailbox is full and the message was dropped.
        """
        try:
            self._send.send_nowait(message)
        except anyio.WouldBlock:
            return False
        return True

    async def put(self, message: T) -> None:
        """Put a message, waiting for room."""
        await self._send.send(message)

    async def get(self) -> T:
        """Take the next message."""
        return await self._receive.receive()

    async def __aiter__(self) -> AsyncIterator[T]:
        while True:
            yield await self._receive.receive()

    def __len__(self) -> int:
        return self._send.statistics().current_buffer_used

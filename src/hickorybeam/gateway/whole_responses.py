"""Read responses that are no streams, and pass on those that are too large to be held.

A whole response is held until its end, as another server may still answer in its place if it
breaks off. One without end would fill the VM's memory, and so would many large ones.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hickorybeam.http1 import BrokenResponseError, EndlessResponseError

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorybeam.gateway.attempt import Attempt
    from hickorybeam.gateway.held_bytes import HeldBytes, Holding
    from hickorybeam.gateway.progress import RequestProgress
    from hickorybeam.http1 import RawHeaders

__all__ = ("WholeResponses",)

# A larger body whose length is known is passed on as it comes.
MAX_HELD_BODY_BYTES = 1_048_576
# A body that declares no length may be without end; a larger one is taken to be.
MAX_UNDECLARED_BODY_BYTES = 8_388_608


class WholeResponses:
    """Reads the bodies of responses.

    :param held: what the VM holds of all bodies.
    """

    def __init__(self, held: HeldBytes) -> None:
        self._held = held

    async def read(
        self,
        attempt: Attempt,
        progress: RequestProgress,
        head: tuple[int, RawHeaders] | None,
        on_bytes: Callable[[], None],
    ) -> bytes | None:
        """Return a response's body, or pass the response on but for its end, and return ``None``.

        :param head: status and headers for the caller, ``None`` for a response that must not be
            passed on before it is whole.
        :param on_bytes: called when bytes are passed on.
        :raises BrokenResponseError: it broke off, has no end, or there is no room to hold it.
        """
        declared = attempt.declared_bytes
        holding = self._held.hold()
        parts: list[bytes] = []
        size = 0
        try:
            while declared is None or declared <= MAX_HELD_BODY_BYTES or head is None:
                part = await attempt.read_chunk()
                if not part:
                    return b"".join(parts)
                parts.append(part)
                size += len(part)
                if declared is None and size > MAX_UNDECLARED_BODY_BYTES:
                    raise EndlessResponseError(f"a body of {size} bytes and more, without a length")
                if not holding.resize(size):
                    break
            if head is None:
                raise BrokenResponseError(f"no room to hold {size} bytes of a failed response")
            await self._pass_on(attempt, progress, head, parts, holding, on_bytes)
        finally:
            holding.resize(0)
        return None

    async def _pass_on(
        self,
        attempt: Attempt,
        progress: RequestProgress,
        head: tuple[int, RawHeaders],
        parts: list[bytes],
        holding: Holding,
        on_bytes: Callable[[], None],
    ) -> None:
        response = progress.response
        # What follows must not be joined to another run's bytes.
        progress.splitter.pass_unread()
        response.start(*head)

        def forward(data: bytes) -> bool:
            on_bytes()
            return response.write_chunk(data)

        held = b"".join(parts)
        parts.clear()
        if held:
            on_bytes()
            await response.send_chunk(held)
        holding.resize(0)
        await attempt.forward_body(forward, response.wait_writable)

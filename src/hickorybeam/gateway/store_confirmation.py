"""Confirm with the store that all its changes are known here, for several askers at once."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
from absl import logging

from hickorybeam.errors import GatewayError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from hickorybeam.clock import Clock

__all__ = ("Confirmation", "StoreConfirmation")

# Pause between two calls, each of which is paid for; what is asked meanwhile shares the next one.
PAUSE_MS = 50
# After a call that failed, the next one waits for so long: each one is paid for.
RETRY_PAUSE_MS = 500
# A call that has no answer after this long is not worth waiting for; it goes on, and its failure
# shows that the store is silent.
OVERDUE_MS = 250


class Confirmation:
    """One call to the store: when it began, and whether it has confirmed what is known here."""

    def __init__(self) -> None:
        self.began_ms: int | None = None
        self.confirmed = False
        self.done = anyio.Event()

    @classmethod
    def never(cls) -> Confirmation:
        """Return the confirmation of a call that is not made."""
        found = cls()
        found.done.set()
        return found


class StoreConfirmation:
    """Calls the store for those that ask, one call after the other.

    Whoever asks while a call is under way waits for the next one, since the answer to the first
    may have left the store before.

    :param catch_up: makes the call and applies what it shows; raises ``GatewayError``.
    """

    def __init__(self, clock: Clock, catch_up: Callable[[], Awaitable[None]]) -> None:
        self._clock = clock
        self._catch_up = catch_up
        self._next = Confirmation()
        self._wanted = anyio.Event()
        self._current = Confirmation()
        self._has_failed = False

    def request(self) -> Confirmation:
        """Ask for a call that begins from now on."""
        self._wanted.set()
        return self._next

    @property
    def is_overdue(self) -> bool:
        """Whether the store has left a call unanswered, and has not answered since."""
        began_ms = self._current.began_ms
        is_waiting = began_ms is not None and not self._current.done.is_set()
        late = is_waiting and self._clock.now() - (began_ms or 0) > OVERDUE_MS
        return self._has_failed or late

    async def run(self) -> None:
        """Make the calls until cancelled."""
        while True:
            await self._wanted.wait()
            self._wanted = anyio.Event()
            self._current, self._next = self._next, Confirmation()
            await self._make_call(self._current)
            await self._clock.sleep(RETRY_PAUSE_MS if self._has_failed else PAUSE_MS)

    async def _make_call(self, confirmation: Confirmation) -> None:
        confirmation.began_ms = self._clock.now()
        try:
            await self._catch_up()
        except GatewayError as exc:
            if not self._has_failed:
                logging.info("store: cannot confirm what is known here: %s", exc)
            self._has_failed = True
        else:
            self._has_failed = False
            confirmation.confirmed = True
        finally:
            confirmation.done.set()

"""The state in force on a VM: one task replaces it, one whole ticket at a time."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from hickorybeam.kernel import Mailbox, Reply
from hickorybeam.tickets.apply import LogState, apply

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorybeam.clock import Clock
    from hickorybeam.tickets.codec import LogEntry

__all__ = ("StateOwner", "wait_at_most")

# Entries held back because entries before them have not arrived yet.
MAX_EARLY_ENTRIES = 100


@dataclass(frozen=True, slots=True)
class _EntriesMessage:
    """Received log entries, in any order, possibly already applied."""

    entries: tuple[LogEntry, ...]
    applied: Reply[None]


@dataclass(frozen=True, slots=True)
class _StateMessage:
    """A received state that may replace the one in force."""

    state: LogState
    applied: Reply[None]


class StateOwner:
    """Holds the state in force and the latest entries of the log that led to it.

    The state is immutable and replaced only by newer ones, by a single task.

    :param keep_entries: number of entries that are kept for peers.
    :param on_position: called with the log position of each new state.
    """

    def __init__(
        self, clock: Clock, *, keep_entries: int, on_position: Callable[[int], None]
    ) -> None:
        self.state = LogState()
        # Whether the state was read from the platform or a peer, or is known to be up to date.
        self.loaded = False
        self._clock = clock
        self._on_position = on_position
        self._position_changed = anyio.Event()
        self._mailbox: Mailbox[_EntriesMessage | _StateMessage] = Mailbox()
        self._recent_entries: deque[LogEntry] = deque(maxlen=keep_entries)
        self._early_entries: dict[int, LogEntry] = {}

    @property
    def position(self) -> int:
        """The log position of the state in force."""
        return self.state.position

    def recent_after(self, position: int) -> tuple[LogEntry, ...]:
        """Return the kept entries after a position."""
        return tuple(entry for entry in self._recent_entries if entry.position > position)

    def keeps_all_after(self, position: int) -> bool:
        """Return whether all entries after a position are kept."""
        return bool(self._recent_entries) and self._recent_entries[0].position <= position + 1

    async def apply_entries(self, entries: tuple[LogEntry, ...]) -> None:
        """Apply entries of the log, in any order."""
        applied: Reply[None] = Reply()
        self._mailbox.post(_EntriesMessage(entries, applied))
        await applied.wait()

    async def replace_state(self, state: LogState) -> None:
        """Put another state in force if it is newer."""
        applied: Reply[None] = Reply()
        self._mailbox.post(_StateMessage(state, applied))
        await applied.wait()

    async def wait_past(self, position: int) -> None:
        """Wait until the state in force is past a log position."""
        while self.position <= position:
            await self._position_changed.wait()

    async def wait_for(self, position: int, timeout_ms: float) -> None:
        """Wait until the state in force is at a log position, at most this long."""
        end = self._clock.now() + timeout_ms
        while self.position < position and self._clock.now() < end:
            await wait_at_most(self._position_changed, end - self._clock.now(), self._clock)

    async def run(self) -> None:
        """Apply what has been received, until cancelled."""
        async for message in self._mailbox:
            match message:
                case _EntriesMessage(entries, applied):
                    self._apply_in_order(entries)
                    applied.set(None)
                case _StateMessage(state, applied):
                    if state.position > self.position:
                        self._recent_entries.clear()
                        self._install(state)
                    applied.set(None)

    def _apply_in_order(self, entries: tuple[LogEntry, ...]) -> None:
        """Apply consecutive entries; hold back those that come after a gap."""
        for entry in entries:
            if entry.position > self.position:
                self._early_entries[entry.position] = entry
        while self.position + 1 in self._early_entries:
            entry = self._early_entries.pop(self.position + 1)
            self._recent_entries.append(entry)
            self._install(apply(self.state, entry.ticket))
        held = sorted(at for at in self._early_entries if at > self.position)[:MAX_EARLY_ENTRIES]
        self._early_entries = {at: self._early_entries[at] for at in held}

    def _install(self, state: LogState) -> None:
        self.state = state
        self.loaded = True
        self._position_changed.set()
        self._position_changed = anyio.Event()
        self._on_position(state.position)


async def wait_at_most(event: anyio.Event, ms: float, clock: Clock) -> None:
    """Wait for an event, at most ``ms`` of a clock."""
    async with anyio.create_task_group() as tg:

        async def wake() -> None:
            await clock.sleep(ms)
            tg.cancel_scope.cancel()

        tg.start_soon(wake)
        await event.wait()
        tg.cancel_scope.cancel()

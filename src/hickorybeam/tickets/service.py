"""The service ``config``: which change tickets are in force on this VM."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
import msgspec
from absl import logging

from hickorybeam import ports
from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.kernel import Mailbox, Reply, Service, Started
from hickorybeam.store import Platform
from hickorybeam.tickets.apply import LogState, apply
from hickorybeam.tickets.codec import LogEntry, Snapshot, decode_snapshot, encode_snapshot
from hickorybeam.tickets.log import LOG_PREFIX, TicketLog, entries_of
from hickorybeam.tickets.spread import (
    FETCH,
    NEVER_MS,
    STATE,
    FetchReply,
    FetchRequest,
    Freshness,
    Note,
    StateReply,
    StateRequest,
    ask_order,
    watchers,
)
from hickorybeam.tickets.submit import Submitter

if TYPE_CHECKING:
    from hickorybeam.clock import Clock
    from hickorybeam.kernel import Kernel
    from hickorybeam.model import ChangeTicket, ConfigState, EntryVm, VmId
    from hickorybeam.settings import Settings
    from hickorybeam.telemetry import Counters

__all__ = ("ConfigService",)

NOTE = "config"
# Peers asked in one round: two watchers and one more, so that a round ends in bounded time.
ASK_AT_MOST = 3
# Read-backs that may fail to confirm before a VM stops relying on its neighbours.
FALLBACK_ROUNDS = 3
# Read-backs spread by this much each way, so that VMs started together don't call in step.
READ_BACK_JITTER = 0.2
WATCH_RETRY_MS = 500
ROLE_CHECK_MS = 500
SUBMISSIONS_AT_ONCE = 64
REPLY_ENTRIES = 100
# Entries that arrive before the ones they follow are held back up to this many.
EARLY_ENTRIES = 100


@dataclass(frozen=True, slots=True)
class _Entries:
    """Tickets learned, in any order, some perhaps known."""

    entries: tuple[LogEntry, ...]
    taken: Reply[None]


@dataclass(frozen=True, slots=True)
class _Whole:
    """A state learned whole."""

    state: LogState
    taken: Reply[None]


@dataclass(frozen=True, slots=True)
class _Submission:
    ticket: ChangeTicket
    reply: Reply[int]


class ConfigService(Service):
    """Holds the state in force and brings it up to date from the platform and from peers.

    One task owns the state and moves it forward, one whole ticket at a time; a reader takes
    the state once and decides by it, so it never sees half of a ticket nor an older state
    than before.
    """

    name = ports.CONFIG
    needs = (ports.PLATFORM,)

    def __init__(self, *, cfg: Settings, clock: Clock, counters: Counters) -> None:
        self._cfg = cfg
        self._clock = clock
        self._position = counters.position
        self._retries = counters.retries
        self._rejected = counters.counter(
            "tickets_rejected", "Tickets refused, and log entries passed over", ("reason",)
        )
        self._rng = random.Random()
        self._state = LogState()
        self._loaded = False
        self._freshness = Freshness()
        self._changed = anyio.Event()
        self._nudge = anyio.Event()
        self._hint: EntryVm | None = None
        self._hinted = anyio.Event()
        self._rewatch = anyio.Event()
        self._mail: Mailbox[_Entries | _Whole] = Mailbox()
        self._submissions: Mailbox[_Submission] = Mailbox(size=SUBMISSIONS_AT_ONCE)
        self._compact: Mailbox[LogState] = Mailbox(size=1)
        self._recent: deque[LogEntry] = deque(maxlen=2 * cfg.config.snapshot_every)
        self._early: dict[int, LogEntry] = {}
        self._snapshot: Snapshot | None = None
        self._log: TicketLog
        self._members: ports.Members | None = None
        self._peers: ports.Peers | None = None

    # What neighbours ask

    def current(self) -> ConfigState:
        """Return the state in force now."""
        return self._state.config

    def age_ms(self) -> int:
        """Return how long ago this VM last confirmed that it missed nothing."""
        return self._freshness.age_ms(self._clock.now())

    def require_fresh(self) -> None:
        """Raise ``CONFIG_STALE`` when the age is over the setting's bound, if there is one."""
        bound = self._cfg.config.stale_after_ms
        if bound and self.age_ms() > bound:
            raise GatewayError(ErrorKind.CONFIG_STALE)

    async def wait_for(self, position: int, *, timeout_ms: int) -> ConfigState:
        """Catch up to a log position or raise ``CONFIG_BEHIND``."""
        if self._state.position < position:
            self._nudge.set()
            await self._wait_position(position, timeout_ms)
        if self._state.position < position:
            raise GatewayError(ErrorKind.CONFIG_BEHIND, f"at {self._state.position}")
        return self._state.config

    async def wait_past(self, position: int) -> ConfigState:
        """Wait until the state in force is past this position."""
        while self._state.position <= position:
            await self._changed.wait()
        return self._state.config

    async def submit(self, ticket: ChangeTicket) -> int:
        """Accept a ticket and return its log position, or raise a ticket error."""
        reply: Reply[int] = Reply()
        if not self._submissions.post(_Submission(ticket, reply)):
            raise GatewayError(ErrorKind.OVERLOADED, "too many tickets wait")
        try:
            return await reply.wait()
        except GatewayError as exc:
            self._rejected.labels(exc.kind.value).inc()
            raise

    async def log(self, start: int, limit: int) -> tuple[tuple[int, ChangeTicket], ...]:
        """Return tickets after a position, in order; the oldest are in snapshots only."""
        entries = self._held_after(start)
        if start < self._state.position and (not entries or entries[0].position > start + 1):
            entries = (await self._log.entries(start)).entries or entries
        return tuple((entry.position, entry.ticket) for entry in entries[:limit])

    def _held_after(self, position: int) -> tuple[LogEntry, ...]:
        return tuple(entry for entry in self._recent if entry.position > position)

    def status(self) -> dict[str, object]:
        """Return what an operator wants to see of this service."""
        return {
            "position": self._state.position,
            "head_ticket": self._state.config.head_ticket,
            "age_ms": self.age_ms(),
            "watches_platform": self._is_watcher(),
            "objects": len(self._state.config.objects),
        }

    # Life

    def bind(self, kernel: Kernel) -> None:
        """Find the platform, and peers where there are any."""
        self._log = TicketLog(kernel.find(ports.PLATFORM, Platform))  # type: ignore[type-abstract]
        self._platform = kernel.find(ports.PLATFORM, Platform)  # type: ignore[type-abstract]
        if kernel.has(ports.MEMBERS):
            self._members = kernel.find(ports.MEMBERS, ports.Members)  # type: ignore[type-abstract]
            self._members.subscribe(NOTE, self._on_note)
        if kernel.has(ports.PEERS):
            self._peers = kernel.find(ports.PEERS, ports.Peers)  # type: ignore[type-abstract]
            self._peers.serve(FETCH, self._on_fetch)
            self._peers.serve(STATE, self._on_state)

    async def main(self, started: Started) -> None:
        """Load, then follow the log until cancelled."""
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._own_state)
            # Without the platform this fails, and peers are up only after this service: so it
            # starts empty, refuses as not ready, and the read-back loads from a peer.
            await self._read_platform()
            started()
            for task in (
                self._read_back,
                self._watch,
                self._follow_hints,
                self._take_submissions,
                self._write_snapshots,
            ):
                tg.start_soon(task)

    # The owner of the state

    async def _own_state(self) -> None:
        async for message in self._mail:
            match message:
                case _Entries(entries, taken):
                    self._take_entries(entries)
                    taken.set(None)
                case _Whole(state, taken):
                    if state.position > self._state.position:
                        self._recent.clear()
                        self._enter(state)
                    taken.set(None)

    def _take_entries(self, entries: tuple[LogEntry, ...]) -> None:
        """Apply what follows without a gap; hold back what came too early."""
        for entry in entries:
            if entry.position > self._state.position:
                self._early[entry.position] = entry
        while self._state.position + 1 in self._early:
            entry = self._early.pop(self._state.position + 1)
            self._recent.append(entry)
            self._enter(apply(self._state, entry.ticket))
        held = sorted(at for at in self._early if at > self._state.position)[:EARLY_ENTRIES]
        self._early = {at: self._early[at] for at in held}

    def _enter(self, state: LogState) -> None:
        self._state = state
        self._loaded = True
        self._position.set(state.position)
        self._changed.set()
        self._changed = anyio.Event()
        if self._members is not None:
            self._members.publish(NOTE, msgspec.msgpack.encode(Note(state.position)), urgent=True)

    async def _learn(self, entries: tuple[LogEntry, ...]) -> None:
        taken: Reply[None] = Reply()
        self._mail.post(_Entries(entries, taken))
        await taken.wait()

    async def _learn_whole(self, state: LogState) -> None:
        taken: Reply[None] = Reply()
        self._mail.post(_Whole(state, taken))
        await taken.wait()

    # From the platform

    async def _read_platform(self) -> bool:
        """Catch up with the platform; :return: whether it answered."""
        try:
            await self._catch_up()
        except GatewayError as exc:
            self._retries.labels("config_read").inc()
            logging.warning("configuration not read from the platform: %s", exc.kind.value)
            return False
        return True

    async def _catch_up(self) -> None:
        """Read the head and whatever is missing, and note that nothing is."""
        asked_at = self._clock.now()
        held = self._state.position
        read = await self._log.head()
        if read.head.position > self._state.position:
            await self._read_missing()
        if read.head.position < held:
            # Restored from an old backup: what is in force here was accepted, and stays.
            self._rejected.labels("log_went_back").inc()
            logging.error("the platform's log ends at %d, before %d", read.head.position, held)
            return
        if self._freshness.confirm(held=self._state.position, head=read.head.position, at=asked_at):
            self._loaded = True

    async def _read_missing(self) -> int:
        """Read the log after our position; :return: the revision it was read at."""
        page = await self._log.entries(self._state.position)
        if not page.entries:
            state = await self._log.snapshot()
            if state is not None and state.position > self._state.position:
                await self._learn_whole(state)
                page = await self._log.entries(self._state.position)
        await self._learn(page.entries)
        return page.revision

    async def _watch(self) -> None:
        """Watch the log while this VM is one of its data centre's watchers."""
        while True:
            if not self._is_watcher():
                await self._clock.sleep(ROLE_CHECK_MS)
                continue
            self._rewatch = anyio.Event()
            async with anyio.create_task_group() as tg:
                tg.start_soon(self._end_watch, tg.cancel_scope)
                await self._watch_once()
                tg.cancel_scope.cancel()

    async def _watch_once(self) -> None:
        try:
            revision = await self._read_missing()
            async for batch in self._platform.watch(LOG_PREFIX, after=revision):
                await self._learn(entries_of(batch))
        except GatewayError as exc:
            # A compacted revision or a broken connection: read again from our own position.
            self._retries.labels(f"config_{exc.kind.value}").inc()
        await self._clock.sleep(self._rng.uniform(0.5, 1.0) * WATCH_RETRY_MS)

    async def _end_watch(self, scope: anyio.CancelScope) -> None:
        await self._rewatch.wait()
        scope.cancel()

    def _is_watcher(self) -> bool:
        if self._members is None:
            return True
        me = self._members.own_vm
        chosen = watchers(self._members.vms(), me.data_centre)
        return me.id in {vm.id for vm in chosen} or self._left_alone()

    def _left_alone(self) -> bool:
        return self.age_ms() > FALLBACK_ROUNDS * self._cfg.config.read_back_ms

    # The slow read that every watch is paired with

    async def _read_back(self) -> None:
        while True:
            jitter = self._rng.uniform(1 - READ_BACK_JITTER, 1 + READ_BACK_JITTER)
            await self._sleep_or_nudge(self._cfg.config.read_back_ms * jitter)
            if not self._is_watcher() and await self._ask_round():
                self._rewatch.set()
                continue
            before = self._state.position
            if not await self._read_platform():
                await self._ask_round()
            elif self._state.position > before:
                # The read found what the watch should have told: it may be silent for good.
                # One that is only late costs a new watch, once.
                self._retries.labels("config_watch_silent").inc()
                self._rewatch.set()

    async def _sleep_or_nudge(self, ms: float) -> None:
        await self._wait(self._nudge, ms)
        self._nudge = anyio.Event()

    # From peers

    async def _ask_round(self) -> bool:
        """Ask peers in turn until one with a fresh confirmation answers."""
        if self._members is None:
            return False
        vms = ask_order(self._members.vms(), self._members.own_vm, self._rng, at_most=ASK_AT_MOST)
        for vm in vms:
            if await self._ask(vm) and not self._left_alone():
                return True
        return False

    async def _ask(self, vm: EntryVm) -> bool:
        """Fetch from one peer what is missing; :return: whether it answered."""
        if self._peers is None:
            return False
        asked_at = self._clock.now()
        try:
            reply = await self._peers.ask(vm, FETCH, FetchRequest(self._state.position))
            if reply.whole:
                await self._learn_whole(await self._fetch_state(self._peers, vm))
            await self._learn(reply.entries)
        except GatewayError as exc:
            self._retries.labels(f"config_ask_{exc.kind.value}").inc()
            return False
        if reply.age_ms < NEVER_MS:
            self._freshness.confirm(
                held=self._state.position, head=reply.position, at=asked_at - reply.age_ms
            )
        return True

    async def _fetch_state(self, peers: ports.Peers, vm: EntryVm) -> LogState:
        head = (first := await peers.ask(vm, STATE, StateRequest(0, 0))).head
        parts = [first.part]
        while len(parts) < head.parts:
            reply = await peers.ask(vm, STATE, StateRequest(head.position, len(parts)))
            if reply.head != head:
                head, parts = reply.head, []
                continue
            parts.append(reply.part)
        return decode_snapshot(Snapshot(head, tuple(parts)))

    async def _on_fetch(self, _: VmId, request: FetchRequest) -> FetchReply:
        state, age_ms = self._state, self.age_ms()
        if not self._loaded or request.after >= state.position:
            return FetchReply(state.position, age_ms)
        if not self._recent or self._recent[0].position > request.after + 1:
            return FetchReply(state.position, age_ms, whole=True)
        entries = self._held_after(request.after)[:REPLY_ENTRIES]
        last = entries[-1].position
        # A reply that is cut short confirms nothing beyond its own end.
        return FetchReply(last, age_ms if last == state.position else NEVER_MS, entries)

    async def _on_state(self, _: VmId, request: StateRequest) -> StateReply:
        held = self._snapshot
        if held is None or request.position != held.head.position:
            if held is None or held.head.position != self._state.position:
                held = self._snapshot = encode_snapshot(self._state)
            return StateReply(held.head, held.parts[0])
        return StateReply(held.head, held.parts[min(request.part, len(held.parts) - 1)])

    def _on_note(self, vm: EntryVm, raw: bytes) -> None:
        try:
            note = msgspec.msgpack.decode(raw, type=Note)
        except msgspec.MsgspecError:
            return
        if note.position > self._state.position:
            self._hint = vm
            self._hinted.set()

    async def _follow_hints(self) -> None:
        while True:
            await self._hinted.wait()
            self._hinted = anyio.Event()
            if self._hint is not None:
                await self._ask(self._hint)

    # Operators' tickets

    async def _take_submissions(self) -> None:
        submitter = Submitter(
            log=self._log,
            clock=self._clock,
            rng=self._rng,
            state=lambda: self._state,
            catch_up=self._catch_up,
            learn=self._learn,
        )
        async for submission in self._submissions:
            try:
                position = await submitter.accept(submission.ticket)
            except GatewayError as exc:
                submission.reply.fail(exc)
                continue
            except Exception:
                submission.reply.fail(GatewayError(ErrorKind.INTERNAL))
                raise
            submission.reply.set(position)
            if position % self._cfg.config.snapshot_every == 0:
                self._compact.post(self._state)

    async def _write_snapshots(self) -> None:
        async for state in self._compact:
            try:
                await self._log.compact(state)
            except GatewayError as exc:
                # The log only stays longer; the next multiple of the interval tries again.
                self._retries.labels("config_compact").inc()
                logging.warning("snapshot not written: %s", exc.kind.value)

    # Waiting

    async def _wait_position(self, position: int, timeout_ms: float) -> None:
        end = self._clock.now() + timeout_ms
        while self._state.position < position and self._clock.now() < end:
            await self._wait(self._changed, end - self._clock.now())

    async def _wait(self, event: anyio.Event, ms: float) -> None:
        """Wait for an event, at most this long by our own clock."""
        async with anyio.create_task_group() as tg:

            async def wake() -> None:
                await self._clock.sleep(ms)
                tg.cancel_scope.cancel()

            tg.start_soon(wake)
            await event.wait()
            tg.cancel_scope.cancel()

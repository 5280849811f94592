"""The service ``config``: keeps the configuration of this VM up to date from the ticket log."""

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
    FETCH_TOPIC,
    NEVER_CONFIRMED_MS,
    STATE_TOPIC,
    FetchReply,
    FetchRequest,
    Freshness,
    Note,
    StateReply,
    StateRequest,
    peers_to_ask,
    store_watchers,
)
from hickorybeam.tickets.submit import Submitter
from hickorybeam.untrusted import InvalidBytesError, decode_msgpack

if TYPE_CHECKING:
    from hickorybeam.clock import Clock
    from hickorybeam.kernel import Kernel
    from hickorybeam.model import ChangeTicket, ConfigState, EntryVm, VmId
    from hickorybeam.settings import Settings
    from hickorybeam.telemetry import Counters

__all__ = ("ConfigService",)

NOTE_NAME = "config"
# Two watchers and one more; the limit bounds the time that a round takes.
MAX_PEERS_PER_ROUND = 3
# Read-back intervals without a confirmation after which a VM watches the platform itself.
FALLBACK_READ_BACKS = 3
# Relative, in both directions, so that VMs started together do not call at the same time.
READ_BACK_JITTER = 0.2
MAX_WATCH_RETRY_PAUSE_MS = 500
ROLE_CHECK_INTERVAL_MS = 500
MAX_QUEUED_SUBMISSIONS = 64
MAX_REPLY_ENTRIES = 100
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


@dataclass(frozen=True, slots=True)
class _Submission:
    ticket: ChangeTicket
    reply: Reply[int]


class ConfigService(Service):
    """Holds the state in force and brings it up to date from the platform and from peers.

    A single task replaces the immutable state, one whole ticket at a time and only by newer
    states. A reader fetches the state once per decision, so it never sees a ticket applied in
    part nor an older state than before.
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
        self._position_changed = anyio.Event()
        self._read_back_requested = anyio.Event()
        self._hinted_vm: EntryVm | None = None
        self._hint_received = anyio.Event()
        self._watch_restart = anyio.Event()
        self._owner_mailbox: Mailbox[_EntriesMessage | _StateMessage] = Mailbox()
        self._submissions: Mailbox[_Submission] = Mailbox(size=MAX_QUEUED_SUBMISSIONS)
        self._snapshot_requests: Mailbox[LogState] = Mailbox(size=1)
        self._recent_entries: deque[LogEntry] = deque(maxlen=2 * cfg.config.snapshot_every)
        self._early_entries: dict[int, LogEntry] = {}
        self._encoded_snapshot: Snapshot | None = None
        self._log: TicketLog
        self._members: ports.Members | None = None
        self._peers: ports.Peers | None = None

    # Interface for other services

    def current(self) -> ConfigState:
        """Return the state currently in force."""
        return self._state.config

    def age_ms(self) -> int:
        """Return the time since this VM last confirmed that its state is up to date."""
        return self._freshness.age_ms(self._clock.now())

    def require_fresh(self) -> None:
        """Raise ``CONFIG_STALE`` if the age exceeds ``stale_after_ms``; 0 means no bound."""
        bound = self._cfg.config.stale_after_ms
        if bound and self.age_ms() > bound:
            raise GatewayError(ErrorKind.CONFIG_STALE)

    async def wait_for(self, position: int, *, timeout_ms: int) -> ConfigState:
        """Catch up to a log position, or raise ``CONFIG_BEHIND``."""
        if self._state.position < position:
            self._read_back_requested.set()
            await self._wait_position(position, timeout_ms)
        if self._state.position < position:
            raise GatewayError(ErrorKind.CONFIG_BEHIND, f"at {self._state.position}")
        return self._state.config

    async def wait_past(self, position: int) -> ConfigState:
        """Wait until the state in force is past a log position."""
        while self._state.position <= position:
            await self._position_changed.wait()
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
        """Return the tickets after a position, in order, without those that were compacted away."""
        entries = self._recent_after(start)
        if start < self._state.position and (not entries or entries[0].position > start + 1):
            entries = (await self._log.entries(start)).entries or entries
        return tuple((entry.position, entry.ticket) for entry in entries[:limit])

    def _recent_after(self, position: int) -> tuple[LogEntry, ...]:
        return tuple(entry for entry in self._recent_entries if entry.position > position)

    def status(self) -> dict[str, object]:
        """Return the fields of this service for the status output."""
        return {
            "position": self._state.position,
            "head_ticket": self._state.config.head_ticket,
            "age_ms": self.age_ms(),
            "watches_platform": self._is_watcher(),
            "objects": len(self._state.config.objects),
        }

    # Lifecycle

    def bind(self, kernel: Kernel) -> None:
        """Look up the platform, and the members and peers services if they exist."""
        self._log = TicketLog(kernel.find(ports.PLATFORM, Platform))  # type: ignore[type-abstract]
        self._platform = kernel.find(ports.PLATFORM, Platform)  # type: ignore[type-abstract]
        if kernel.has(ports.MEMBERS):
            self._members = kernel.find(ports.MEMBERS, ports.Members)  # type: ignore[type-abstract]
            self._members.subscribe(NOTE_NAME, self._on_note)
        if kernel.has(ports.PEERS):
            self._peers = kernel.find(ports.PEERS, ports.Peers)  # type: ignore[type-abstract]
            self._peers.serve(FETCH_TOPIC, self._on_fetch)
            self._peers.serve(STATE_TOPIC, self._on_state)

    async def main(self, started: Started) -> None:
        """Load the state, then keep it up to date until cancelled."""
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._run_state_owner)
            # This fails while the platform is unavailable, and peers start only after this
            # service. The VM then starts with an empty state, refuses requests as not ready, and
            # the read-back loads the state from a peer.
            await self._read_platform()
            started()
            for task in (
                self._read_back,
                self._watch,
                self._fetch_on_hints,
                self._process_submissions,
                self._write_snapshots,
            ):
                tg.start_soon(task)

    # The task that owns the state

    async def _run_state_owner(self) -> None:
        async for message in self._owner_mailbox:
            match message:
                case _EntriesMessage(entries, applied):
                    self._apply_in_order(entries)
                    applied.set(None)
                case _StateMessage(state, applied):
                    if state.position > self._state.position:
                        self._recent_entries.clear()
                        self._install_state(state)
                    applied.set(None)

    def _apply_in_order(self, entries: tuple[LogEntry, ...]) -> None:
        """Apply consecutive entries; hold back those that come after a gap."""
        for entry in entries:
            if entry.position > self._state.position:
                self._early_entries[entry.position] = entry
        while self._state.position + 1 in self._early_entries:
            entry = self._early_entries.pop(self._state.position + 1)
            self._recent_entries.append(entry)
            self._install_state(apply(self._state, entry.ticket))
        held = sorted(at for at in self._early_entries if at > self._state.position)[
            :MAX_EARLY_ENTRIES
        ]
        self._early_entries = {at: self._early_entries[at] for at in held}

    def _install_state(self, state: LogState) -> None:
        self._state = state
        self._loaded = True
        self._position.set(state.position)
        self._position_changed.set()
        self._position_changed = anyio.Event()
        if self._members is not None:
            self._members.publish(
                NOTE_NAME, msgspec.msgpack.encode(Note(state.position)), urgent=True
            )

    async def _apply_entries(self, entries: tuple[LogEntry, ...]) -> None:
        applied: Reply[None] = Reply()
        self._owner_mailbox.post(_EntriesMessage(entries, applied))
        await applied.wait()

    async def _replace_state(self, state: LogState) -> None:
        applied: Reply[None] = Reply()
        self._owner_mailbox.post(_StateMessage(state, applied))
        await applied.wait()

    # Reading from the platform

    async def _read_platform(self) -> bool:
        """Catch up with the platform; :return: whether it could be read."""
        try:
            await self._catch_up()
        except GatewayError as exc:
            self._retries.labels("config_read").inc()
            logging.warning("cannot read the ticket log from the platform: %s", exc.kind.value)
            return False
        return True

    async def _catch_up(self) -> None:
        """Read the head and the missing entries, then confirm that the state is up to date."""
        asked_at = self._clock.now()
        held = self._state.position
        read = await self._log.head()
        if read.head.position > self._state.position:
            await self._read_missing()
        if read.head.position < held:
            # The platform was restored from an old backup. The tickets in force here were
            # accepted, so they stay in force.
            self._rejected.labels("log_went_back").inc()
            logging.error(
                "the platform's ticket log ends at position %d, but position %d is in force here",
                read.head.position,
                held,
            )
            return
        if self._freshness.confirm(held=self._state.position, head=read.head.position, at=asked_at):
            self._loaded = True

    async def _read_missing(self) -> int:
        """Read and apply the log after the own position; :return: the revision that was read."""
        page = await self._log.entries(self._state.position)
        if not page.entries:
            state = await self._log.snapshot()
            if state is not None and state.position > self._state.position:
                await self._replace_state(state)
                page = await self._log.entries(self._state.position)
        await self._apply_entries(page.entries)
        return page.revision

    async def _watch(self) -> None:
        """Watch the log while this VM is one of the watchers of its data centre."""
        while True:
            if not self._is_watcher():
                await self._clock.sleep(ROLE_CHECK_INTERVAL_MS)
                continue
            self._watch_restart = anyio.Event()
            async with anyio.create_task_group() as tg:
                tg.start_soon(self._cancel_on_restart, tg.cancel_scope)
                await self._watch_once()
                tg.cancel_scope.cancel()

    async def _watch_once(self) -> None:
        try:
            revision = await self._read_missing()
            async for batch in self._platform.watch(LOG_PREFIX, after=revision):
                await self._apply_entries(entries_of(batch))
        except GatewayError as exc:
            # A compacted revision or a broken connection: read again from the own position.
            self._retries.labels(f"config_{exc.kind.value}").inc()
        await self._clock.sleep(self._rng.uniform(0.5, 1.0) * MAX_WATCH_RETRY_PAUSE_MS)

    async def _cancel_on_restart(self, scope: anyio.CancelScope) -> None:
        await self._watch_restart.wait()
        scope.cancel()

    def _is_watcher(self) -> bool:
        if self._members is None:
            return True
        own_vm = self._members.own_vm
        watchers = store_watchers(self._members.vms(), own_vm.data_centre)
        return own_vm.id in {vm.id for vm in watchers} or self._confirmation_overdue()

    def _confirmation_overdue(self) -> bool:
        return self.age_ms() > FALLBACK_READ_BACKS * self._cfg.config.read_back_ms

    # The periodic read-back, which detects what watches and notes missed

    async def _read_back(self) -> None:
        while True:
            jitter = self._rng.uniform(1 - READ_BACK_JITTER, 1 + READ_BACK_JITTER)
            await self._sleep_until_requested(self._cfg.config.read_back_ms * jitter)
            if not self._is_watcher() and await self._ask_peers():
                self._watch_restart.set()
                continue
            before = self._state.position
            if not await self._read_platform():
                await self._ask_peers()
            elif self._state.position > before:
                # The watch should have delivered what was read: it may be broken without an
                # error. If it was only late, this costs one new watch.
                self._retries.labels("config_watch_silent").inc()
                self._watch_restart.set()

    async def _sleep_until_requested(self, ms: float) -> None:
        await self._wait(self._read_back_requested, ms)
        self._read_back_requested = anyio.Event()

    # Reading from peers

    async def _ask_peers(self) -> bool:
        """Ask peers in turn until one responds and the own state is confirmed recently enough."""
        if self._members is None:
            return False
        vms = peers_to_ask(
            self._members.vms(), self._members.own_vm, self._rng, at_most=MAX_PEERS_PER_ROUND
        )
        for vm in vms:
            if await self._fetch_from(vm) and not self._confirmation_overdue():
                return True
        return False

    async def _fetch_from(self, vm: EntryVm) -> bool:
        """Fetch missing entries from one peer; :return: whether it responded."""
        if self._peers is None:
            return False
        asked_at = self._clock.now()
        try:
            reply = await self._peers.ask(vm, FETCH_TOPIC, FetchRequest(self._state.position))
            if reply.whole:
                await self._replace_state(await self._fetch_state(self._peers, vm))
            await self._apply_entries(reply.entries)
        except GatewayError as exc:
            self._retries.labels(f"config_ask_{exc.kind.value}").inc()
            return False
        if reply.age_ms < NEVER_CONFIRMED_MS:
            self._freshness.confirm(
                held=self._state.position, head=reply.position, at=asked_at - reply.age_ms
            )
        return True

    async def _fetch_state(self, peers: ports.Peers, vm: EntryVm) -> LogState:
        head = (first := await peers.ask(vm, STATE_TOPIC, StateRequest(0, 0))).head
        parts = [first.part]
        while len(parts) < head.parts:
            reply = await peers.ask(vm, STATE_TOPIC, StateRequest(head.position, len(parts)))
            if reply.head != head:
                head, parts = reply.head, []
                continue
            parts.append(reply.part)
        try:
            return decode_snapshot(Snapshot(head, tuple(parts)))
        except InvalidBytesError as exc:
            raise GatewayError(ErrorKind.PEER_UNREACHABLE, f"snapshot of {vm.id.name}") from exc

    async def _on_fetch(self, _: VmId, request: FetchRequest) -> FetchReply:
        state, age_ms = self._state, self.age_ms()
        if not self._loaded or request.after >= state.position:
            return FetchReply(state.position, age_ms)
        if not self._recent_entries or self._recent_entries[0].position > request.after + 1:
            return FetchReply(state.position, age_ms, whole=True)
        entries = self._recent_after(request.after)[:MAX_REPLY_ENTRIES]
        last = entries[-1].position
        # A truncated reply does not confirm that its last entry is the head.
        return FetchReply(last, age_ms if last == state.position else NEVER_CONFIRMED_MS, entries)

    async def _on_state(self, _: VmId, request: StateRequest) -> StateReply:
        snapshot = self._encoded_snapshot
        if snapshot is None or request.position != snapshot.head.position:
            if snapshot is None or snapshot.head.position != self._state.position:
                snapshot = self._encoded_snapshot = encode_snapshot(self._state)
            return StateReply(snapshot.head, snapshot.parts[0])
        return StateReply(snapshot.head, snapshot.parts[min(request.part, len(snapshot.parts) - 1)])

    def _on_note(self, vm: EntryVm, raw: bytes) -> None:
        try:
            note = decode_msgpack(raw, Note)
        except InvalidBytesError:
            return
        if note.position > self._state.position:
            self._hinted_vm = vm
            self._hint_received.set()

    async def _fetch_on_hints(self) -> None:
        while True:
            await self._hint_received.wait()
            self._hint_received = anyio.Event()
            if self._hinted_vm is not None:
                await self._fetch_from(self._hinted_vm)

    # Tickets submitted by operators

    async def _process_submissions(self) -> None:
        submitter = Submitter(
            log=self._log,
            clock=self._clock,
            rng=self._rng,
            state=lambda: self._state,
            catch_up=self._catch_up,
            apply_entries=self._apply_entries,
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
                self._snapshot_requests.post(self._state)

    async def _write_snapshots(self) -> None:
        async for state in self._snapshot_requests:
            try:
                await self._log.compact(state)
            except GatewayError as exc:
                # The log only stays longer; the next multiple of ``snapshot_every`` tries again.
                self._retries.labels("config_compact").inc()
                logging.warning("cannot write a snapshot of the ticket log: %s", exc.kind.value)

    # Waiting

    async def _wait_position(self, position: int, timeout_ms: float) -> None:
        end = self._clock.now() + timeout_ms
        while self._state.position < position and self._clock.now() < end:
            await self._wait(self._position_changed, end - self._clock.now())

    async def _wait(self, event: anyio.Event, ms: float) -> None:
        """Wait for an event, at most ``ms`` of the service's clock."""
        async with anyio.create_task_group() as tg:

            async def wake() -> None:
                await self._clock.sleep(ms)
                tg.cancel_scope.cancel()

            tg.start_soon(wake)
            await event.wait()
            tg.cancel_scope.cancel()

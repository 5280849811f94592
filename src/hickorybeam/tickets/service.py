"""The service ``config``: keeps the configuration of this VM up to date from the ticket log."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
from absl import logging

from hickorybeam import ports
from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.kernel import Mailbox, Reply, Service, Started
from hickorybeam.store import Platform
from hickorybeam.tickets.log import LOG_PREFIX, TicketLog, entries_of
from hickorybeam.tickets.peer_exchange import PeerExchange
from hickorybeam.tickets.spread import Freshness, store_watchers
from hickorybeam.tickets.state_owner import StateOwner, wait_at_most
from hickorybeam.tickets.submit import Submitter

if TYPE_CHECKING:
    from hickorybeam.clock import Clock
    from hickorybeam.kernel import Kernel
    from hickorybeam.model import ChangeTicket, ConfigState
    from hickorybeam.settings import Settings
    from hickorybeam.telemetry import Counters
    from hickorybeam.tickets.apply import LogState

__all__ = ("ConfigService",)

# Read-back intervals without a confirmation after which a VM watches the platform itself.
FALLBACK_READ_BACKS = 3
# Relative, in both directions, so that VMs started together do not call at the same time.
READ_BACK_JITTER = 0.2
MAX_WATCH_RETRY_PAUSE_MS = 500
ROLE_CHECK_INTERVAL_MS = 500
MAX_QUEUED_SUBMISSIONS = 64


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
        self._freshness = Freshness()
        self._owner = StateOwner(
            clock, keep_entries=2 * cfg.config.snapshot_every, on_position=self._note_position
        )
        self._exchange = PeerExchange(
            clock=clock,
            owner=self._owner,
            freshness=self._freshness,
            rng=self._rng,
            retries=self._retries,
            is_overdue=self._confirmation_overdue,
        )
        self._read_back_requested = anyio.Event()
        self._watch_restart = anyio.Event()
        self._submissions: Mailbox[_Submission] = Mailbox(size=MAX_QUEUED_SUBMISSIONS)
        self._snapshot_requests: Mailbox[LogState] = Mailbox(size=1)
        self._log: TicketLog
        self._members: ports.Members | None = None

    # Interface for other services

    def current(self) -> ConfigState:
        """Return the state currently in force."""
        return self._owner.state.config

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
        if self._owner.position < position:
            self._read_back_requested.set()
            await self._owner.wait_for(position, timeout_ms)
        if self._owner.position < position:
            raise GatewayError(ErrorKind.CONFIG_BEHIND, f"at {self._owner.position}")
        return self._owner.state.config

    async def wait_past(self, position: int) -> ConfigState:
        """Wait until the state in force is past a log position."""
        await self._owner.wait_past(position)
        return self._owner.state.config

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
        entries = self._owner.recent_after(start)
        if start < self._owner.position and (not entries or entries[0].position > start + 1):
            entries = (await self._log.entries(start)).entries or entries
        return tuple((entry.position, entry.ticket) for entry in entries[:limit])

    def status(self) -> dict[str, object]:
        """Return the fields of this service for the status output."""
        return {
            "position": self._owner.position,
            "head_ticket": self._owner.state.config.head_ticket,
            "age_ms": self.age_ms(),
            "watches_platform": self._is_watcher(),
            "objects": len(self._owner.state.config.objects),
        }

    # Lifecycle

    def bind(self, kernel: Kernel) -> None:
        """Look up the platform, and the members and peers services if they exist."""
        self._log = TicketLog(kernel.find(ports.PLATFORM, Platform))  # type: ignore[type-abstract]
        self._platform = kernel.find(ports.PLATFORM, Platform)  # type: ignore[type-abstract]
        if kernel.has(ports.MEMBERS):
            self._members = kernel.find(ports.MEMBERS, ports.Members)  # type: ignore[type-abstract]
            self._exchange.use_members(self._members)
        if kernel.has(ports.PEERS):
            self._exchange.use_peers(kernel.find(ports.PEERS, ports.Peers))  # type: ignore[type-abstract]

    async def main(self, started: Started) -> None:
        """Load the state, then keep it up to date until cancelled."""
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._owner.run)
            # This fails while the platform is unavailable, and peers start only after this
            # service. The VM then starts with an empty state, refuses requests as not ready, and
            # the read-back loads the state from a peer.
            await self._read_platform()
            started()
            for task in (
                self._read_back,
                self._watch,
                self._exchange.fetch_on_hints,
                self._process_submissions,
                self._write_snapshots,
            ):
                tg.start_soon(task)

    def _note_position(self, position: int) -> None:
        self._position.set(position)
        self._exchange.publish(position)

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
        held = self._owner.position
        read = await self._log.head()
        if read.head.position > self._owner.position:
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
        if self._freshness.confirm(held=self._owner.position, head=read.head.position, at=asked_at):
            self._owner.loaded = True

    async def _read_missing(self) -> int:
        """Read and apply the log after the own position; :return: the revision that was read."""
        page = await self._log.entries(self._owner.position)
        if not page.entries:
            state = await self._log.snapshot()
            if state is not None and state.position > self._owner.position:
                await self._owner.replace_state(state)
                page = await self._log.entries(self._owner.position)
        await self._owner.apply_entries(page.entries)
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
                await self._owner.apply_entries(entries_of(batch))
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
            if not self._is_watcher() and await self._exchange.ask_peers():
                self._watch_restart.set()
                continue
            before = self._owner.position
            if not await self._read_platform():
                await self._exchange.ask_peers()
            elif self._owner.position > before:
                # The watch should have delivered what was read: it may be broken without an
                # error. If it was only late, this costs one new watch.
                self._retries.labels("config_watch_silent").inc()
                self._watch_restart.set()

    async def _sleep_until_requested(self, ms: float) -> None:
        await wait_at_most(self._read_back_requested, ms, self._clock)
        self._read_back_requested = anyio.Event()

    # Tickets submitted by operators

    async def _process_submissions(self) -> None:
        submitter = Submitter(
            log=self._log,
            clock=self._clock,
            rng=self._rng,
            state=lambda: self._owner.state,
            catch_up=self._catch_up,
            apply_entries=self._owner.apply_entries,
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
                self._snapshot_requests.post(self._owner.state)

    async def _write_snapshots(self) -> None:
        async for state in self._snapshot_requests:
            try:
                await self._log.compact(state)
            except GatewayError as exc:
                # The log only stays longer; the next multiple of ``snapshot_every`` tries again.
                self._retries.labels("config_compact").inc()
                logging.warning("cannot write a snapshot of the ticket log: %s", exc.kind.value)

"""Refuses calls under which backend servers have ended, whoever repeats them, at any VM.

A call may end each server that gets it. Its caller repeats it under a new id, and every VM would
send it to the next server. After a broken answer this VM looks whether anything listens at the
server's address; if not, the call is a suspect of its end. So is one that its caller left shortly
before. VMs tell each other in notes.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
from absl import logging

from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.policy.block_trials import trial_due_ms
from hickorybeam.policy.crash_evidence import CrashEvidence
from hickorybeam.policy.crash_messages import CrashedRequest, ToldPart, crash_digest
from hickorybeam.policy.rendezvous import rendezvous_first
from hickorybeam.policy.request_key import call_key, outline_of
from hickorybeam.untrusted import InvalidBytesError, decode_msgpack

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorybeam.clock import Clock
    from hickorybeam.model import BackendServer, Call, EntryVm
    from hickorybeam.policy.crash_messages import BlockChange
    from hickorybeam.ports import BackendClient, Members
    from hickorybeam.telemetry import Counters

__all__ = ("CrashedCalls",)

NOTE_NAME = "crashed_calls"
# Connections of a server that ends close within a few ms of each other.
SETTLE_MS = 25
# Nobody waits longer for a server to refuse a connection.
MAX_LOOK_MS = 75
# A server may end so long after its caller has left; when it is looked at then.
LEFT_LOOKS_MS = (100, 1_000)
MAX_LEFT = 64
RETRY_AFTER_MS = 60_000


@dataclass(frozen=True, slots=True)
class _Left:
    """A call that was given up at a server, which is looked at when ``due_ms`` has come."""

    due_ms: int
    call: Call
    server: BackendServer
    sent_ms: int


class CrashNote(msgspec.Struct, frozen=True, array_like=True):
    """A note: what a VM knows of calls at a wall time in ms."""

    wall_ms: int
    told: list[ToldPart]


class CrashedCalls:
    """What this VM knows of calls under which backend servers ended.

    :param backends: returns the client of backend servers, and ``members`` the VMs of the fleet,
        which are known only once all services are bound.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        counters: Counters,
        backends: Callable[[], BackendClient],
        members: Callable[[], Members],
    ) -> None:
        self._clock = clock
        self._backends = backends
        self._members = members
        self._evidence = CrashEvidence()
        # By blocked call: how many trials this VM has let through, and when the last one.
        self._trials: dict[bytes, tuple[int, int]] = {}
        self._left: list[_Left] = []
        self._ends = itertools.count(1)
        self._changes = counters.counter(
            "call_blocks", "Calls blocked or unblocked, as servers ended under them", ("change",)
        )
        blocked = counters.gauge("calls_blocked", "Calls that are blocked")
        blocked.set_function(lambda: len(self._evidence.blocked))

    def subscribe(self) -> None:
        """Receive the notes of other VMs."""
        self._members().subscribe(NOTE_NAME, self._receive)

    async def run(self) -> None:
        """Look at servers that callers left shortly before, until cancelled."""
        while True:
            await self._clock.sleep(SETTLE_MS)
            now = self._clock.now()
            due = [it for it in self._left if it.due_ms <= now]
            self._left = [it for it in self._left if it.due_ms > now]
            for it in due:
                if await self.record_broken(it.call, it.server, it.sent_ms):
                    # Its later look would find the same end.
                    self._left = [other for other in self._left if other.call is not it.call]

    def check(self, call: Call) -> bool:
        """Check that a call isn't blocked.

        :return: whether it is sent to see whether it still ends servers.
        :raises GatewayError: it is blocked.
        """
        if not self._evidence.knows_requests:
            return False
        key = call_key(call)
        if key not in self._evidence.blocked:
            return False
        if self._take_trial(key):
            logging.info("call_trial", extra={"key": key.hex(), "request": call.request_id})
            return True
        retry_after_ms = min(RETRY_AFTER_MS, call.deadline_ms)
        raise GatewayError(ErrorKind.REQUEST_BLOCKED, key.hex(), retry_after_ms=retry_after_ms)

    def is_suspected(self, call: Call) -> bool:
        """Return whether two servers have ended under a call, so that it isn't sent again here."""
        if not self._evidence.knows_requests:
            return False
        return self._evidence.is_suspected([call_key(call)], self._clock.now())

    def record_whole(self, call: Call, server: BackendServer, *, is_trial: bool) -> None:
        """Record that a server has answered a call whole."""
        if not self._evidence.knows_requests:
            return
        key = call_key(call)
        if not self._evidence.knows_outline(outline_of(key)):
            return
        served = crash_digest(server.name, 0)
        now = self._clock.now()
        self._record(self._evidence.record_whole(key, served, now, is_trial=is_trial))

    def record_left(self, call: Call, server: BackendServer, sent_ms: int) -> None:
        """Record that a call was given up while its server had yet to answer it."""
        now = self._clock.now()
        self._left += [_Left(now + after_ms, call, server, sent_ms) for after_ms in LEFT_LOOKS_MS]
        del self._left[:-MAX_LEFT]

    async def record_broken(self, call: Call, server: BackendServer, sent_ms: int) -> bool:
        """Look whether a server has ended that broke an answer off.

        :return: whether it has.
        """
        broke_ms = self._clock.now()
        await self._clock.sleep(SETTLE_MS)
        is_gone = await self._backends().is_gone(server, timeout_ms=MAX_LOOK_MS)
        if is_gone:
            self._record_end(call, server, sent_ms=sent_ms, at_ms=broke_ms)
        return is_gone

    def _record_end(self, call: Call, server: BackendServer, *, sent_ms: int, at_ms: int) -> None:
        key = call_key(call)
        # Nothing tells the starts of a server here. If two VMs had copies there, their ends are at
        # the same moment, and count once.
        end = crash_digest(f"{server.name} {self._members().own_vm.id.name}", next(self._ends))
        logging.info("server_ended", extra={"server": server.name, "key": key.hex()})
        request = CrashedRequest(key, at_ms - sent_ms)
        self._record(self._evidence.record_crash(end, (), at_ms, requests=[request]))

    def _record(self, changes: list[BlockChange]) -> None:
        """Log and count what changed, and tell it to the other VMs."""
        for change in changes:
            verb = "blocked" if change.blocked else "unblocked"
            self._changes.labels(verb).inc()
            logging.info(f"call_{verb}", extra={"key": change.part.hex()})
        self._forget_unblocked()
        if self._evidence.reports.take_untold(self._clock.now()):
            told = self._evidence.reports.to_note(self._clock.now())
            note = msgspec.msgpack.encode(CrashNote(self._clock.wall(), told))
            self._members().publish(NOTE_NAME, note, urgent=True)

    def _receive(self, vm: EntryVm, raw: bytes) -> None:
        """Merge another VM's note."""
        try:
            note = decode_msgpack(raw, CrashNote)
        except InvalidBytesError as exc:
            logging.warning("invalid note of crashed calls from %s: %s", vm.id.name, exc)
            return
        # What it tells was so old when it was sent.
        sent_ms = self._clock.now() - max(0, self._clock.wall() - note.wall_ms)
        self._evidence.merge(note.told, sent_ms)
        self._forget_unblocked()

    def _take_trial(self, key: bytes) -> bool:
        """Take a blocked call's next trial if it is due, at one VM of the fleet."""
        trials, last_ms = self._trials.get(key, (0, self._evidence.last_crash_ms(key)))
        last_ms = max(last_ms, self._evidence.last_crash_ms(key))
        due_ms = trial_due_ms(trials=trials, last_ms=last_ms, of_request=True)
        now = self._clock.now()
        if due_ms is None or now < due_ms:
            return False
        members = self._members()
        if rendezvous_first(key.hex(), (it.id.name for it in members.vms())) != (
            members.own_vm.id.name
        ):
            return False
        self._trials[key] = (trials + 1, now)
        return True

    def _forget_unblocked(self) -> None:
        blocked = self._evidence.blocked
        self._trials = {key: it for key, it in self._trials.items() if key in blocked}

"""The service ``part_blocks``: refuses requests and parts of prompts that crash backend servers.

It turns the ends of servers that this VM sees into evidence, exchanges that with the other VMs, and
keeps records of what is blocked in the store.
"""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING, ClassVar

import anyio
import msgspec
from absl import logging

from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.gateway.crashes.block_records import BlockRecords
from hickorybeam.gateway.crashes.notice import CrashNotice
from hickorybeam.gateway.crashes.notices import relay_notice, send_notice
from hickorybeam.gateway.crashes.recorder import CrashRecorder, has_crashes, shared_parts
from hickorybeam.gateway.crashes.suspect_records import SuspectRecords
from hickorybeam.gateway.feed import FeedService
from hickorybeam.gateway.fleet import FleetService
from hickorybeam.gateway.vm_client import VmClient
from hickorybeam.kernel import Service
from hickorybeam.policy.block_trials import UndecidedTrials
from hickorybeam.policy.crash_evidence import CrashEvidence
from hickorybeam.policy.crash_messages import (
    BlockVerdict,
    ToldPart,
)
from hickorybeam.policy.crash_suspects import is_request_key
from hickorybeam.policy.request_key import request_mark
from hickorybeam.policy.retry_after import clamp_retry_after_ms
from hickorybeam.ports import FEED, FLEET, PART_BLOCKS, PLATFORM
from hickorybeam.store import PollingPlatform
from hickorybeam.telemetry.decisions import DecisionLog
from hickorybeam.untrusted import InvalidBytesError, decode_msgpack

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable
    from typing import Any

    from hickorybeam.clock import Clock
    from hickorybeam.gateway.progress import RequestProgress
    from hickorybeam.gateway.targets import AdmittedRequest
    from hickorybeam.http1.pool import Address
    from hickorybeam.kernel import Kernel, Started
    from hickorybeam.policy.crash_messages import BlockChange
    from hickorybeam.settings import Settings
    from hickorybeam.store import WatchBatch
    from hickorybeam.telemetry import Counters

__all__ = ("SUSPECTS_PATH", "PartBlocksService")

# Where a VM that starts while the store is away asks another one.
SUSPECTS_PATH = "/suspects"

NOTHING_BLOCKED = BlockVerdict([], [])

# Under the gateway's own prefix in the store.
RECORDS = "blocked/"
SUSPECT_RECORDS = "suspects/"
NOTICE_INTERVAL_MS = 100
RECORD_INTERVAL_MS = 500
# A request that is blocked has no reason to come back soon.
RETRY_AFTER_MS = 60_000
# One that is held: by then more is known of its servers.
HELD_RETRY_AFTER_MS = 1_000
# A part that was not asked for here lately needs no trial, and a trial that nobody used lapses.
ASKED_MS = 10_000
TRIAL_MS = 30_000


class PartBlocksService(Service):
    """Owns what this VM knows of the parts and requests that servers crashed under."""

    name: ClassVar[str] = PART_BLOCKS
    needs: ClassVar[tuple[str, ...]] = (PLATFORM, FEED, FLEET)

    def __init__(self, *, cfg: Settings, clock: Clock, counters: Counters) -> None:
        self._cfg = cfg
        self._clock = clock
        self._evidence = CrashEvidence()
        self._vm_client = VmClient(clock)
        self._log = DecisionLog(clock)
        # By what is blocked: when it was last asked for here, and until when a trial may be used.
        self._asked_ms: dict[bytes, int] = {}
        self._trial_until_ms: dict[bytes, int] = {}
        self._undecided: dict[bytes, UndecidedTrials] = {}
        self._changes = counters.counter(
            "part_blocks", "Parts of prompts blocked or unblocked", ("change", "by")
        )
        self._request_changes = counters.counter(
            "request_blocks", "Requests blocked or unblocked", ("change", "by")
        )
        gauges = (
            ("parts_blocked", "Parts of prompts that are blocked", self._count_blocked_parts),
            ("parts_suspected", "Parts that crashes are known of", self._evidence.__len__),
            ("requests_blocked", "Requests that are blocked", self._count_blocked_requests),
            (
                "requests_suspected",
                "Requests that crashes are known of",
                self._evidence.suspected_requests,
            ),
        )
        for name, text, count in gauges:
            counters.gauge(name, text).set_function(count)

    def bind(self, kernel: Kernel) -> None:
        """Look up the store, the feed and the fleet."""
        store = kernel.find(PLATFORM, PollingPlatform)  # type: ignore[type-abstract]
        self._fleet = kernel.find(FLEET, FleetService)
        self._records = BlockRecords(
            clock=self._clock, store=store, prefix=f"{self._cfg.platform.prefix}{RECORDS}"
        )
        self._suspect_records = SuspectRecords(
            clock=self._clock,
            store=store,
            prefix=f"{self._cfg.platform.prefix}{SUSPECT_RECORDS}",
            vm=self._cfg.vm.name,
            suspects=lambda: self._evidence.reports.to_record(self._clock.now()),
        )
        feed = kernel.find(FEED, FeedService)
        feed.on_batch(self._apply_batch)
        feed.bootstrap.before_apply = self._fetch_suspects
        self.recorder = CrashRecorder(
            self._evidence,
            clock=self._clock,
            routing_state=feed.routing_state,
            known_vms=self._fleet.known_vm_count,
            on_changes=lambda changes: self._record_changes(changes, by="here"),
            tell=self._tell,
            on_ended=self._plan_suspect_record,
        )
        self._fleet.on_message(CrashNotice, self._receive)
        self._fleet.suspects_to_report = self._to_report
        self._fleet.reports.on_suspects = lambda told: self._merge(told, by="vm")

    async def main(self, started: Started) -> None:
        """Send notices and keep the records until cancelled."""
        started()
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._send_notices)
            tg.start_soon(self._keep_records)
            tg.start_soon(self._suspect_records.keep)

    def check(self, request: AdmittedRequest, progress: RequestProgress) -> None:
        """Check that neither a request nor a part of its prompt is blocked, here or at an asked VM.

        A request that is a trial passes until it has been sent to a server.

        :raises GatewayError: one is.
        """
        verdict = self._verdict(request)
        refused = [*verdict.blocked, *verdict.undecided]
        if not refused and progress.blocked is None:
            self._check_held(request)
            return
        if not progress.may_have_run and self._is_trial(request, verdict):
            return
        now = self._clock.now()
        for part in refused:
            self._asked_ms[part] = now
        kind = progress.blocked or ErrorKind.PART_BLOCKED
        if any(is_request_key(it) for it in refused):
            kind = ErrorKind.REQUEST_BLOCKED
        raise GatewayError(
            kind,
            " ".join(part.hex() for part in refused),
            retry_after_ms=clamp_retry_after_ms(RETRY_AFTER_MS, request.deadline_ms - now),
        )

    def _check_held(self, request: AdmittedRequest) -> None:
        """Check that a request isn't held until it is known which servers have ended under it.

        :raises GatewayError: it is.
        """
        if not self._is_held(request):
            return
        now = self._clock.now()
        self._log.write("request_held", key=request.key().hex(), request=request.call.request_id)
        raise GatewayError(
            ErrorKind.REQUEST_BLOCKED,
            f"{request.key().hex()}: held until its servers' ends are decided",
            retry_after_ms=clamp_retry_after_ms(HELD_RETRY_AFTER_MS, request.deadline_ms - now),
        )

    def _is_held(self, request: AdmittedRequest) -> bool:
        """Return whether a request is held; one that is answered elsewhere is not."""
        now = self._clock.now()
        return self.needs_proof(request) and self._evidence.is_held(request.key(), now)

    def needs_proof(self, request: AdmittedRequest) -> bool:
        """Return whether it has to be known that a server was there when a request was sent to it.

        Ends of servers are known of such a request, and it was not answered lately.
        """
        if not self.has_crashes(request):
            return False
        mark = request_mark(request.call, request.account)
        return not self._evidence.was_answered(mark, self._clock.now())

    def has_crashes(self, request: AdmittedRequest) -> bool:
        """Return whether crashes are known of a request, decided or not."""
        return has_crashes(self._evidence, request)

    def is_blocked(self, request: AdmittedRequest) -> bool:
        """Return whether a request that is about to be sent must not be."""
        if request.trial:
            return False
        verdict = self._verdict(request)
        return bool(verdict.blocked or verdict.undecided) or self._is_held(request)

    def is_suspected(self, request: AdmittedRequest) -> bool:
        """Return whether a request, or a part of it, is nearly blocked, so it isn't sent again."""
        suspects = shared_parts(request.service, request.call)
        if self.has_crashes(request):
            suspects.append(request.key())
        return self._evidence.is_suspected(suspects, self._clock.now())

    def _verdict(self, request: AdmittedRequest) -> BlockVerdict:
        if not self._evidence.blocked:
            return NOTHING_BLOCKED
        verdict = self._evidence.judge_prompt(shared_parts(request.service, request.call))
        is_known = self._evidence.knows_outline(request.outline())
        if is_known and request.key() in self._evidence.blocked:
            verdict.blocked.append(request.key())
        return verdict

    def _plan_suspect_record(self, is_repeated: bool) -> None:
        vms = self._fleet.known_vm_count()
        self._suspect_records.plan_write(vms=vms, is_repeated=is_repeated)

    def _count_blocked_requests(self) -> int:
        return sum(is_request_key(it) for it in self._evidence.blocked)

    def _count_blocked_parts(self) -> int:
        return len(self._evidence.blocked) - self._count_blocked_requests()

    def _is_trial(self, request: AdmittedRequest, verdict: BlockVerdict) -> bool:
        """Return whether a request is a trial; it becomes one if the trial of its part is due.

        A prompt with an undecided part tells by its end whether it was that one, so no store is
        asked for its trial. A sound end clears all parts of the prompt, also where a crash would
        not tell which one caused it.
        """
        if request.trial:
            return True
        blocked = [it for it in verdict.blocked if is_request_key(it)] or verdict.blocked
        now = self._clock.now()
        if blocked:
            due = [it for it in blocked if self._trial_until_ms.get(it, 0) > now]
            for it in due:
                del self._trial_until_ms[it]
        else:
            # One trial a request: the other parts keep theirs.
            due = list(islice((it for it in verdict.undecided if self._take_undecided(it, now)), 1))
        if due:
            request.trial = True
            told = " ".join(it.hex() for it in due)
            if is_request_key(due[0]):
                self._log.write("request_trial", key=told, request=request.call.request_id)
            else:
                self._log.write("part_trial", part=told, request=request.call.request_id)
        return bool(due)

    def _take_undecided(self, part: bytes, now_ms: int) -> bool:
        return self._undecided.setdefault(part, UndecidedTrials()).take(now_ms)

    def _to_report(self, to_new_vm: bool) -> list[ToldPart]:
        return self._evidence.reports.to_report(self._clock.now(), to_new_vm=to_new_vm)

    def _receive(self, notice: CrashNotice) -> None:
        relay_notice(self._fleet, notice)
        self._merge(notice.parts, by="vm")

    def encode_suspects(self) -> bytes:
        """Return what this VM knows, encoded for one that starts while the store is away."""
        return msgspec.msgpack.encode(self._evidence.reports.to_starting_vm(self._clock.now()))

    async def _fetch_suspects(self, address: Address) -> None:
        """Ask another VM what is blocked; this VM serves as soon as it has that one's entries.

        What is blocked while the store is away is in no store, and the first report of another VM
        may come later than the first request.
        """
        try:
            data = await self._vm_client.get(address, SUSPECTS_PATH)
            told = decode_msgpack(data, list[ToldPart])
        except (GatewayError, InvalidBytesError) as exc:
            logging.info("cannot get suspects from %s:%d: %r", *address, exc)
            return
        self._merge(told, by="seed")

    def _apply_batch(self, batch: WatchBatch) -> None:
        told = [*self._records.apply(batch), *self._suspect_records.apply(batch)]
        if told:
            self._merge(told, by="store")

    def _merge(self, told: Iterable[ToldPart], *, by: str) -> None:
        self._record_changes(self._evidence.merge(told, self._clock.now()), by=by)

    def _record_changes(self, changes: Iterable[BlockChange], *, by: str) -> None:
        """Log and count what is blocked or unblocked, and plan to record it in the store.

        :param by: who concluded it: this VM (``here``), another ``vm``, the ``seed`` from which
            this VM started, or the ``store``.
        """
        for suspect, blocked, crashes in changes:
            change = "blocked" if blocked else "unblocked"
            if is_request_key(suspect):
                self._request_changes.labels(change, by).inc()
                self._log.write(f"request_{change}", key=suspect.hex(), by=by, crashes=crashes)
            else:
                self._changes.labels(change, by).inc()
                self._log.write(f"part_{change}", part=suspect.hex(), by=by, crashes=crashes)
            self._records.plan_write(suspect, at_once=by == "here")

    async def _send_notices(self) -> None:
        while True:
            await self._clock.sleep(NOTICE_INTERVAL_MS)
            self._tell()

    def _tell(self) -> None:
        untold = self._evidence.reports.take_untold(self._clock.now())
        if untold:
            send_notice(self._fleet, untold)

    async def _keep_records(self) -> None:
        while True:
            await self._clock.sleep(RECORD_INTERVAL_MS)
            now = self._clock.now()
            blocked = {
                part: self._evidence.reports.told(part, now) for part in self._evidence.blocked
            }
            self._forget_unblocked(blocked)
            await self._records.write_due(blocked)
            for part in blocked:
                if now - self._asked_ms.get(part, now - ASKED_MS) < ASKED_MS:
                    await self._seek_trial(part)

    def _forget_unblocked(self, blocked: Collection[bytes]) -> None:
        kept: tuple[dict[bytes, Any], ...] = (self._asked_ms, self._trial_until_ms, self._undecided)
        for by_part in kept:
            for part in [part for part in by_part if part not in blocked]:
                del by_part[part]

    async def _seek_trial(self, part: bytes) -> None:
        if await self._records.take_trial(part):
            self._trial_until_ms[part] = self._clock.now() + TRIAL_MS

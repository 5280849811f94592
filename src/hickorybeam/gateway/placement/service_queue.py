"""Queues of the tasks that wait for a slot at a service's servers, woken in the queue's order."""

from __future__ import annotations

import itertools
from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from hickorybeam.clock import MS_PER_SECOND
from hickorybeam.gateway.overload_report import OverloadReport
from hickorybeam.policy.account_shares import AccountShares
from hickorybeam.policy.overload import OverloadDetector
from hickorybeam.policy.return_promises import ReturnPromises
from hickorybeam.policy.wait_queue import WaitQueue
from hickorybeam.policy.wait_stretch import WaitStretch

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from hickorybeam.clock import Clock
    from hickorybeam.policy.return_promises import Promise
    from hickorybeam.policy.wait_queue import QueueEntry
    from hickorybeam.telemetry import Counters

__all__ = ("ServiceQueue", "ServiceQueues", "SlotRequest")

# Slots also come free by other VMs' status reports, which wake no task, so the first tasks poll.
POLL_INTERVAL_MS = 25
POLLING_ENTRIES = 2
# Number of entries at the front that may search for a slot, one after the other: the first ones may
# be too large for the memory that is free, and those behind them would wait beside it.
FRONT_ENTRIES = 4
# Share of its longest wait that a request may expect where others may pass it: most wait no longer
# than the rest of it allows.
SURE_WAIT_SHARE = 0.7
# Leads that another region has not told again for this long are over.
MAX_LEADS_AGE_MS = 3_000
# A successor has noticed the end of the VM that placed before it, and the overload, by then.
MAX_TAKEN_OVER_AGE_MS = 10_000
# Accounts whose leads are told to other VMs, the largest first.
MAX_LEADS = 64
# With a larger lead an account would be shut out for the rest of an overload.
MAX_LEAD_MS = 60_000.0


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotRequest:
    """What a request asks of a service's slots, for the account of its caller.

    ``cost_ms`` is the server time that it takes, ``weight`` that of its account. ``promise`` is
    kept by the VM that refused it before, if its caller comes back in its time.
    """

    account: str
    urgency: int
    weight: float = 1.0
    cost_ms: float = 1.0
    promise: Promise | None = None


@dataclass(slots=True)
class _RegionLeads:
    """The leads of accounts in another region, as told at ``told_ms``."""

    leads: Mapping[str, float]
    told_ms: int


@dataclass(slots=True)
class ServiceQueue:
    """Queue of one service on this VM, and how its accounts share it while it is overloaded.

    :param fair: whether accounts share the service in an overload.
    """

    clock: Clock
    service: str
    report: OverloadReport
    fair: bool = True
    wait_queue: WaitQueue = field(default_factory=WaitQueue)
    shares: AccountShares = field(default_factory=AccountShares)
    promises: ReturnPromises = field(default_factory=ReturnPromises)
    _detector: OverloadDetector = field(default_factory=OverloadDetector)
    _wake_events: dict[int, anyio.Event] = field(default_factory=dict)
    _elsewhere: dict[str, _RegionLeads] = field(default_factory=dict)
    # By urgency.
    _stretches: defaultdict[int, WaitStretch] = field(
        default_factory=lambda: defaultdict(WaitStretch)
    )
    _is_overloaded: bool = False
    _taken_over_ms: int = 0
    _by_version: dict[bytes, ServiceQueue] = field(default_factory=dict)

    def of_version(self, version_key: bytes) -> ServiceQueue:
        """Return the queue of the streams that only servers of one version may run.

        It is apart from the others: where one version is full, streams that wait for it would
        keep new ones from free slots at the other versions.
        """
        queue = self._by_version.get(version_key)
        if queue is None:
            self._by_version = {
                key: it for key, it in self._by_version.items() if len(it.wait_queue)
            }
            queue = self._by_version[version_key] = ServiceQueue(
                self.clock, self.service, self.report, fair=False
            )
        return queue

    @property
    def overloaded(self) -> bool:
        """Whether the service is overloaded, so that its accounts share it."""
        if self._is_overloaded:
            self._update_overload()
        return self._is_overloaded

    def _update_overload(self) -> None:
        now = self.clock.now()
        lasts_ms = self._detector.overloaded_ms(now) if self.fair else None
        if lasts_ms is None and self._is_overloaded:
            self.report.end(self.service, now, waiting=len(self.wait_queue))
            self.shares.settle()
            self.promises.clear()
            self._stretches.clear()
        elif lasts_ms is not None and not self._is_overloaded:
            if now - self._taken_over_ms > MAX_TAKEN_OVER_AGE_MS:
                # These leads come from an earlier overload, at the VM that placed then.
                self.shares.settle()
            self.report.begin(self.service, now, waiting=len(self.wait_queue))
        self._is_overloaded = self.wait_queue.sharing = lasts_ms is not None

    def turn_of(self, slot_request: SlotRequest) -> float:
        """Return when a request is due; the same for all without an overload."""
        if not self.overloaded:
            return self.shares.now
        if slot_request.promise is not None:
            return slot_request.promise.turn
        oldest_ms = self.clock.now() - MAX_LEADS_AGE_MS
        elsewhere = (
            it.leads.get(slot_request.account, 0.0)
            for it in self._elsewhere.values()
            if it.told_ms > oldest_ms
        )
        return self.shares.turn(slot_request.account, max(elsewhere, default=0.0))

    def expected_wait_ms(self, slot_request: SlotRequest) -> float:
        """Return how long a new request is expected to wait."""
        turn = self.turn_of(slot_request)
        return self.wait_queue.expected_wait_ms(slot_request.urgency, self.clock.now(), turn=turn)

    def must_wait(self, slot_request: SlotRequest) -> bool:
        """Return whether a new request has to let waiting ones go first."""
        return self.overloaded and self.wait_queue.must_wait(
            slot_request.urgency, self.turn_of(slot_request)
        )

    def enter(
        self, slot_request: SlotRequest, max_wait_ms: int, *, deferred: bool
    ) -> QueueEntry | None:
        """Add a request, or return ``None`` if its turn can't come in time.

        In an overload, entries whose turns can't come in time because of it are evicted.
        """
        turn = self.turn_of(slot_request)
        if self._would_expire(slot_request, turn, max_wait_ms):
            return None
        entry = self.wait_queue.enter(
            slot_request.urgency,
            max_wait_ms,
            self.clock.now(),
            turn=turn,
            cost_ms=slot_request.cost_ms,
            deferred=deferred,
            keeps_place=slot_request.promise is not None,
            may_be_passed=self._is_ahead(slot_request, turn),
        )
        if entry is None:
            return None
        if self._is_overloaded:
            self.shares.charge(
                slot_request.account, weight=slot_request.weight, cost_ms=slot_request.cost_ms
            )
            for evicted in self.wait_queue.evict_unservable(self.clock.now()):
                self._wake(evicted)
        return entry

    def _would_expire(self, slot_request: SlotRequest, turn: float, max_wait_ms: int) -> bool:
        """Return whether a request would expire in the queue, as others will pass it."""
        if not self._is_ahead(slot_request, turn):
            return False
        expected_ms = self.wait_queue.expected_wait_ms(
            slot_request.urgency, self.clock.now(), turn=turn
        )
        stretched_ms = expected_ms * self._stretches[slot_request.urgency].ratio
        return stretched_ms > max_wait_ms * SURE_WAIT_SHARE

    def _is_ahead(self, slot_request: SlotRequest, turn: float) -> bool:
        """Return whether a request's account has used more than its share, so that others pass."""
        return self._is_overloaded and slot_request.promise is None and turn > self.shares.now

    def record_start(self, slot_request: SlotRequest, entry: QueueEntry | None = None) -> None:
        """Record a request that got a slot, from the queue or without a wait."""
        now = self.clock.now()
        if entry is not None:
            self._detector.record(slot_request.urgency, entry.waited_share(now), now)
        elif not self.wait_queue.must_wait(slot_request.urgency, self.shares.now):
            # One that found a slot before those that wait doesn't show that there is no delay.
            self._detector.record(slot_request.urgency, 0.0, now)
        self._update_overload()
        self.wait_queue.record_start(slot_request.urgency, slot_request.cost_ms)
        self.report.count_start(self.service, slot_request.account, slot_request.cost_ms)
        if not self._is_overloaded:
            return
        if entry is not None:
            self._record_wait(slot_request, entry, now)
        turn = entry.turn if entry else self.turn_of(slot_request)
        if entry is None:
            self.shares.charge(
                slot_request.account, weight=slot_request.weight, cost_ms=slot_request.cost_ms
            )
        self.shares.advance(turn)

    def record_no_slot(self, slot_request: SlotRequest, entry: QueueEntry) -> None:
        """Record that an entry left the queue without a slot."""
        if not self.overloaded:
            return
        self.shares.refund(
            slot_request.account, weight=slot_request.weight, cost_ms=slot_request.cost_ms
        )
        if not entry.evicted:
            self._record_wait(slot_request, entry, self.clock.now())

    def _record_wait(self, slot_request: SlotRequest, entry: QueueEntry, now_ms: int) -> None:
        """Learn from the wait of a request whose account is ahead of its share."""
        if entry.may_be_passed:
            stretch = self._stretches[slot_request.urgency]
            stretch.record(entry.expected_ms, now_ms - entry.entered_ms)

    def record_refusal(self, slot_request: SlotRequest) -> None:
        """Record a request that was refused for want of a slot."""
        self._detector.record(slot_request.urgency, 1.0, self.clock.now())
        self._update_overload()
        self.report.count_refusal(self.service, slot_request.account)

    def told_leads(self) -> dict[str, float]:
        """Return the leads that other VMs need, none without an overload."""
        return self.shares.leads(MAX_LEADS) if self.overloaded else {}

    def take_over_leads(self, leads: Mapping[str, float]) -> None:
        """Take over the leads at the VM that places for this region, in case that it ends."""
        self.shares.replace(plausible_leads(leads))
        self._taken_over_ms = self.clock.now()

    def note_leads_elsewhere(self, region: str, leads: Mapping[str, float]) -> None:
        """Note the leads of accounts in another region."""
        self._elsewhere[region] = _RegionLeads(plausible_leads(leads), self.clock.now())

    def record_departure(self) -> None:
        """Record that a request left a server, and wake the first entry."""
        self.wait_queue.record_departure(self.clock.now())
        # Streams that have begun go before those that have not.
        for queue in self._by_version.values():
            queue.record_departure()
        self._wake_front(0)

    async def wait_for_turn(self, entry: QueueEntry) -> bool:
        """Wait until a search for a slot may succeed, or until the entry expires.

        Only the first entries poll: on a placement coordinator hundreds of tasks wait, and if all
        of them polled, they would use up the CPU that the first ones need.

        :return: whether the entry still waits.
        """
        event = self._wake_events[entry.number] = anyio.Event()
        left_ms = entry.expires_ms - self.clock.now()
        polls = is_among(entry, self.wait_queue.first(POLLING_ENTRIES))
        wait_ms = min(POLL_INTERVAL_MS, left_ms) if polls else left_ms
        with anyio.move_on_after(max(0, wait_ms) / MS_PER_SECOND):
            await event.wait()
        return not entry.evicted and self.clock.now() < entry.expires_ms

    def is_near_front(self, entry: QueueEntry) -> bool:
        """Return whether an entry is among those that may search for a slot."""
        return is_among(entry, self.wait_queue.first(FRONT_ENTRIES))

    def pass_on(self, entry: QueueEntry) -> None:
        """Let the next front entry search, since this one found no slot that it can use."""
        front = self.wait_queue.first(FRONT_ENTRIES)
        for index, other in enumerate(front):
            if other is entry:
                self._wake_front(index + 1)

    def leave(self, entry: QueueEntry) -> None:
        """Remove an entry, and wake the first one."""
        self.wait_queue.leave(entry)
        self._wake_events.pop(entry.number, None)
        self._wake_front(0)

    def _wake_front(self, index: int) -> None:
        front = self.wait_queue.first(FRONT_ENTRIES)
        if index < len(front):
            self._wake(front[index])

    def _wake(self, entry: QueueEntry) -> None:
        event = self._wake_events.get(entry.number)
        if event is not None:
            event.set()


def is_among(entry: QueueEntry, entries: Iterable[QueueEntry]) -> bool:
    """Return whether an entry is one of some entries."""
    return any(it is entry for it in entries)


def plausible_leads(leads: Mapping[str, float]) -> dict[str, float]:
    """Return the leads that another VM told, without those that make no sense."""
    found = {name: lead for name, lead in leads.items() if 0 < lead <= MAX_LEAD_MS}
    return dict(itertools.islice(found.items(), MAX_LEADS))


class ServiceQueues:
    """Queues of all services on this VM.

    :param fair: whether accounts share a service in an overload.
    """

    def __init__(self, clock: Clock, counters: Counters, *, fair: bool = True) -> None:
        self._clock = clock
        self._report = OverloadReport(clock, counters)
        self._fair = fair
        self._queues: dict[str, ServiceQueue] = {}

    def for_service(self, service: str) -> ServiceQueue:
        """Return the queue of a service."""
        queue = self._queues.get(service)
        if queue is None:
            queue = ServiceQueue(self._clock, service, self._report, self._fair)
            self._queues[service] = queue
        return queue

    def for_version(self, service: str, version_key: bytes | None) -> ServiceQueue:
        """Return the queue of the requests that one version may run; ``None`` for any version."""
        queue = self.for_service(service)
        return queue if version_key is None else queue.of_version(version_key)

    def set_fair(self, fair: bool) -> None:
        """Have accounts share services in an overload, or not."""
        self._fair = fair
        for queue in self._queues.values():
            queue.fair = fair

    def told_leads(self) -> dict[str, dict[str, float]]:
        """Return the leads that other VMs need, by service that is overloaded."""
        found = {name: queue.told_leads() for name, queue in self._queues.items()}
        return {name: leads for name, leads in found.items() if leads}

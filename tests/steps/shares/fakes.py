"""Budget services of several VMs in one process, with fakes of the services they use."""

from __future__ import annotations

import heapq

import anyio
import anyio.lowlevel

from hickorybeam import ports
from hickorybeam.clock import ManualClock
from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.kernel import Started
from hickorybeam.model import (
    ClientAccount,
    ConfigState,
    EntryVm,
    Region,
    Versioned,
    VmId,
    VmState,
    ref_of,
)
from hickorybeam.policy.shares import PARTS_PER_ACCOUNT
from hickorybeam.settings import PlatformSettings, Settings, ShareSettings, VmSettings
from hickorybeam.shares import BudgetService
from hickorybeam.store.port import KeyValue, Put, ReadResult, TxnResult
from hickorybeam.telemetry import Counters

LOCAL_DELAY_MS = 1
REMOTE_DELAY_MS = 80


async def settle():
    """Let every task that can run do so; far cheaper than waiting until all are blocked."""
    for _ in range(30):
        await anyio.lowlevel.checkpoint()


class QuickClock(ManualClock):
    """A manual clock that is cheap to advance in small steps."""

    async def advance(self, ms):
        end = self._now + ms
        while self._sleepers and self._sleepers[0][0] <= end:
            due, _, event = heapq.heappop(self._sleepers)
            self._now = max(self._now, due)
            event.set()
            await settle()
        self._now = end
        await settle()


class Store:
    """The platform's store with its leases; ``calls`` counts all calls, ``writes`` the writes."""

    def __init__(self, clock):
        self.clock = clock
        self.revision = 1
        self.items = {}
        self.leases = {}
        self.next_lease = 1
        self.calls = 0
        self.writes = 0

    def expire(self):
        for lease in [one for one, (_, end) in self.leases.items() if self.clock.now() >= end]:
            self.end(lease)

    def end(self, lease):
        self.leases.pop(lease, None)
        gone = [key for key, item in self.items.items() if item.lease == lease]
        for key in gone:
            del self.items[key]
        self.revision += bool(gone)

    def txn(self, compares, writes):
        for one in compares:
            item = self.items.get(one.key)
            if (item.mod_revision if item else 0) != one.mod_revision:
                return TxnResult(False, self.revision)
        self.revision += 1
        for write in writes:
            if isinstance(write, Put):
                item = KeyValue(write.key, write.value, self.revision, write.lease)
                self.items[write.key] = item
            else:
                self.items.pop(write.key, None)
        return TxnResult(True, self.revision)


class FakePlatform:
    """One VM's client of the store. ``delayed_writes`` got no response and apply later."""

    def __init__(self, store, node):
        self.store = store
        self.node = node
        self.unavailable = False
        self.lose_response = False
        self.delay_write = False
        self.apply_after_ms = 0
        self.unavailable_after_delay = False
        self.before_write = None
        self.crash_next_read = False
        self.delayed_writes = []

    async def _begin_call(self, write=False):
        await anyio.lowlevel.checkpoint()
        await self.node.awake()
        self.store.expire()
        self.store.calls += 1
        self.store.writes += write
        if self.unavailable:
            raise GatewayError(ErrorKind.PLATFORM_OUT)

    async def read(self, key, *, limit=0):
        await self._begin_call()
        item = self.store.items.get(key)
        return ReadResult(self.store.revision, (item,) if item else ())

    async def read_prefix(self, prefix, *, start="", limit=0):
        if self.crash_next_read:
            self.crash_next_read = False
            raise RuntimeError("bug in the platform client")
        await self._begin_call()
        found = tuple(
            item for key, item in sorted(self.store.items.items()) if key.startswith(prefix)
        )
        return ReadResult(self.store.revision, found)

    async def txn(self, compares, writes):
        await self._begin_call(write=True)
        if self.delay_write:
            self.delay_write = False
            self.delayed_writes.append((compares, writes))
            self.unavailable = self.unavailable_after_delay
            if self.apply_after_ms:
                self.node.fleet.tg.start_soon(self._apply_delayed_writes_soon)
            raise GatewayError(ErrorKind.PLATFORM_UNKNOWN)
        if self.before_write is not None:
            hook, self.before_write = self.before_write, None
            hook()
        result = self.store.txn(compares, writes)
        if self.lose_response:
            self.lose_response = False
            raise GatewayError(ErrorKind.PLATFORM_UNKNOWN)
        await self.node.awake()
        return result

    async def _apply_delayed_writes_soon(self):
        await self.store.clock.sleep(self.apply_after_ms)
        self.apply_delayed_writes()

    def apply_delayed_writes(self):
        for compares, writes in self.delayed_writes:
            self.store.txn(compares, writes)
        self.delayed_writes.clear()

    async def grant(self, ttl_ms):
        await self._begin_call(write=True)
        lease = self.store.next_lease
        self.store.next_lease += 1
        self.store.leases[lease] = (ttl_ms, self.store.clock.now() + ttl_ms)
        return lease

    async def keep_alive(self, lease):
        await self._begin_call(write=True)
        if lease not in self.store.leases:
            raise GatewayError(ErrorKind.LEASE_LOST)
        ttl, _ = self.store.leases[lease]
        self.store.leases[lease] = (ttl, self.store.clock.now() + ttl)
        return ttl

    async def revoke(self, lease):
        await self._begin_call(write=True)
        self.store.end(lease)

    def watch(self, prefix, *, after):
        raise NotImplementedError


class FakeConfig:
    """The configuration as one VM sees it."""

    def __init__(self, accounts):
        self.set(accounts)

    def set(self, accounts):
        self.event, changed = anyio.Event(), getattr(self, "event", None)
        if changed:
            changed.set()
        objects = [*accounts, Region(name="r", data_centres=("dc0",))]
        self.state = ConfigState(
            position=1, objects={ref_of(obj): Versioned(1, obj) for obj in objects}
        )

    def current(self):
        return self.state

    def age_ms(self):
        return 0

    async def wait_for(self, position, *, timeout_ms):
        return self.state

    async def wait_past(self, position):
        await self.event.wait()
        return self.state

    async def submit(self, ticket):
        raise NotImplementedError


class FakeMembers:
    """Membership: every running VM with a link to this one's data centre, except ``not_live``."""

    def __init__(self, fleet, node):
        self.fleet = fleet
        self.node = node

    @property
    def own_vm(self):
        return self.node.vm

    def vms(self):
        return tuple(
            one.vm
            for one in self.fleet.nodes.values()
            if one.running
            and not one.paused
            and self.fleet.linked(self.node, one)
            and (self.node.vm.id.name, one.vm.id.name) not in self.fleet.not_live
        )

    def find(self, vm):
        return next((one for one in self.vms() if one.id == vm), None)

    def region_loads(self):
        return ()

    def report_load(self, loads):
        pass

    def publish(self, name, note):
        pass

    def subscribe(self, name, listener):
        pass

    def announce_leaving(self):
        pass


class FakePeers:
    """Calls the handlers of other VMs after the link's delay."""

    def __init__(self, fleet, node):
        self.fleet = fleet
        self.node = node
        self.handlers = {}
        self.asked = 0
        self.lose_reply = False
        self.duplicate = False
        self.cannot_send = False

    def serve(self, topic, handler):
        self.handlers[topic.name] = handler

    def forward(self, call, vm):
        raise NotImplementedError

    async def ask(self, vm, topic, request, *, timeout_ms=None):
        self.asked += 1
        other = self.fleet.nodes.get(vm.id.name)
        reachable = other is not None and other.running and self.fleet.linked(self.node, other)
        if self.cannot_send or not reachable:
            raise GatewayError(ErrorKind.PEER_UNREACHABLE)
        delay = LOCAL_DELAY_MS if vm.data_centre == self.node.vm.data_centre else REMOTE_DELAY_MS
        await self.fleet.clock.sleep(delay)
        if other.paused or not other.running:
            raise GatewayError(ErrorKind.PEER_UNREACHABLE)
        handler = other.peers.handlers[topic.name]
        reply = await handler(self.node.vm.id, request)
        if self.duplicate:
            await handler(self.node.vm.id, request)
        await self.fleet.clock.sleep(delay)
        if self.lose_reply or not self.fleet.linked(self.node, other):
            raise GatewayError(ErrorKind.PEER_UNREACHABLE)
        return reply


class NodeClock:
    """The fleet's clock for a VM that may be paused."""

    def __init__(self, clock, node):
        self.clock = clock
        self.node = node

    def now(self):
        return self.clock.now()

    def wall(self):
        return self.clock.wall()

    async def sleep(self, ms):
        await self.clock.sleep(ms)
        await self.node.awake()


class Node:
    """One VM: the service under test and its fakes."""

    def __init__(self, fleet, name, data_centre, incarnation="1"):
        self.fleet = fleet
        self.vm = EntryVm(
            id=VmId(name, incarnation),
            region=data_centre,
            data_centre=data_centre,
            host="127.0.0.1",
            http_port=1,
            peer_port=1,
            state=VmState.SERVING,
        )
        self.running = False
        self.paused = False
        self._resumed = anyio.Event()
        self.platform = FakePlatform(fleet.store, self)
        self.config = FakeConfig(fleet.accounts)
        self.members = FakeMembers(fleet, self)
        self.peers = FakePeers(fleet, self)
        cfg = Settings(
            vm=VmSettings(name=name, region=data_centre, data_centre=data_centre),
            platform=PlatformSettings(urls=("http://127.0.0.1:1",)),
            shares=fleet.shares,
        )
        self.counters = Counters()
        clock = NodeClock(fleet.clock, self)
        self.budget = BudgetService(cfg=cfg, clock=clock, counters=self.counters)
        self.scope = anyio.CancelScope()
        self.restarts = 0

    def find(self, name, kind):
        return getattr(self, name)

    def has(self, name):
        return name != ports.MEMBERS or not self.fleet.single

    async def awake(self):
        while self.paused:
            await self._resumed.wait()

    def pause(self):
        self.paused = True

    def resume(self):
        self.paused = False
        self._resumed.set()
        self._resumed = anyio.Event()

    async def run(self):
        self.running = True
        self.budget.bind(self)
        with self.scope:
            while True:
                try:
                    await self.budget.main(Started())
                except* RuntimeError:
                    self.restarts += 1
        self.running = False

    def crash(self):
        self.running = False
        self.scope.cancel()


class Fleet:
    """VMs by name, the links between their data centres, and every token they spent."""

    def __init__(self, accounts, *, shares=None, single=False):
        self.clock = QuickClock()
        self.store = Store(self.clock)
        self.accounts = accounts
        self.shares = shares or ShareSettings(groups=4)
        self.single = single
        self.lowered = False
        self.nodes = {}
        self.cut = set()
        self.not_live = set()
        self.spent = []
        self.faults = []
        self.tg = None

    async def __aenter__(self):
        self.tg = anyio.create_task_group()
        await self.tg.__aenter__()
        return self

    async def __aexit__(self, *exc):
        self.tg.cancel_scope.cancel()
        return await self.tg.__aexit__(*exc)

    def linked(self, one, other):
        ends = {one.vm.data_centre, other.vm.data_centre}
        return len(ends) == 1 or not ends & self.cut

    def cut_off(self, data_centre, *, platform=True):
        self.cut.add(data_centre)
        for node in self.nodes.values():
            if node.vm.data_centre == data_centre:
                node.platform.unavailable = platform

    def heal(self, data_centre):
        self.cut.discard(data_centre)
        for node in self.nodes.values():
            if node.vm.data_centre == data_centre:
                node.platform.unavailable = False

    async def start(self, name, data_centre, incarnation="1"):
        node = Node(self, name, data_centre, incarnation)
        self.nodes[name] = node
        self.tg.start_soon(node.run)
        await settle()
        return node

    async def take(self, name, account, tokens):
        """Spend at one VM; the clock advances while the request waits for loans."""
        outcome = []

        async def ask():
            try:
                admission = await self.nodes[name].budget.take(account, tokens)
                self.spent.append((self.clock.now(), name, account, tokens))
                outcome.append(admission)
            except GatewayError as exc:
                outcome.append(exc)

        self.tg.start_soon(ask)
        await settle()
        for _ in range(200):
            if outcome:
                self.check()
                return outcome[0]
            await self.clock.advance(10)
        raise AssertionError("take never ended")

    async def run(self, ms):
        step = 100
        while ms > 0:
            await self.clock.advance(min(step, ms))
            self.check()
            ms -= step

    def check(self):
        """Record a fault if the shares in use exceed one, or a VM has lent more than it holds."""
        for account in self.accounts:
            parts_in_use = 0
            for node in self.nodes.values():
                if not node.running or node.paused:
                    continue
                if node.budget._may_spend():
                    parts_in_use += node.budget._ledger_client.usable_parts(account.name)
                bucket = node.budget._account_buckets.buckets.get(account.name)
                if bucket and bucket.lent_capacity > bucket.capacity + 1e-6 and not self.lowered:
                    self.faults.append(
                        (self.clock.now(), node.vm.id.name, "lent", bucket.lent_capacity)
                    )
            if parts_in_use > PARTS_PER_ACCOUNT:
                self.faults.append((self.clock.now(), "fleet", "parts in use", parts_in_use))


def account(name, rate=1_000.0, burst=2_000.0):
    return ClientAccount(name=name, rate=rate, burst=burst)


def overspent(spent, rate, burst):
    """Return the largest excess over burst + rate * T over all time windows, at least 0.

    Independent of the code under test: ``spent`` has ``(time in ms, tokens)`` in order; for each
    end of a window the worst start is tracked as in the maximum subarray problem.
    """
    worst = running = 0.0
    last = None
    for at, tokens in spent:
        if last is not None:
            running = max(0.0, running - rate * (at - last) / 1000)
        running += tokens
        last = at
        worst = max(worst, running - burst)
    return worst

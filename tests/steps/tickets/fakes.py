"""Members and peers within one process, with cuts; and a fleet of config services."""

from __future__ import annotations

import asyncio
import heapq
import random

import anyio

from hickorybeam.clock import ManualClock
from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.kernel import Kernel, Service
from hickorybeam.model import EntryVm, VmId
from hickorybeam.settings import ConfigSettings, PlatformSettings, Settings, VmSettings
from hickorybeam.standins.platform import MemoryPlatform, PlatformStandIn
from hickorybeam.telemetry import Counters
from hickorybeam.tickets import ConfigService

HEARTBEAT_MS = 500


async def settle():
    """Wait until every other task waits for something.

    anyio's own function sleeps 0.1 s before it looks again, which a fleet can't afford.
    """
    me = asyncio.current_task()
    while any(
        task._fut_waiter is None or task._fut_waiter.done()
        for task in asyncio.all_tasks()
        if task is not me
    ):
        await anyio.lowlevel.checkpoint()


class FleetClock(ManualClock):
    """A clock turned by hand that lets a whole fleet settle at each wake-up."""

    async def advance(self, ms):
        end = self._now + ms
        await settle()
        while self._sleepers and self._sleepers[0][0] <= end:
            self._now = max(self._now, self._sleepers[0][0])
            while self._sleepers and self._sleepers[0][0] <= self._now:
                heapq.heappop(self._sleepers)[2].set()
            await settle()
        self._now = end


class Network:
    """Which VMs reach which; heartbeats and requests pass only between those."""

    def __init__(self):
        self.vms, self.members, self.peers = {}, {}, {}
        self.islands = {}

    def reach(self, one, other):
        return self.islands.get(one, "") == self.islands.get(other, "")


class FakeMembers(Service):
    name = "members"

    def __init__(self, network, me, clock):
        self.network, self._me, self.clock = network, me, clock
        self.notes, self.listeners = {}, {}
        network.vms[me.id.name] = me
        network.members[me.id.name] = self

    @property
    def own_vm(self):
        return self._me

    def vms(self):
        return tuple(self.network.vms.values())

    def find(self, vm):
        return None

    def region_loads(self):
        return ()

    def report_load(self, loads):
        pass

    def publish(self, name, note, *, urgent=False):
        self.notes[name] = note

    def announce_serving(self, *, http_port):
        pass

    def subscribe(self, name, listener):
        self.listeners[name] = listener

    def announce_leaving(self):
        pass

    async def main(self, started):
        started()
        while True:
            await self.clock.sleep(HEARTBEAT_MS)
            self.beat()

    def beat(self):
        for name, other in self.network.members.items():
            near = other.own_vm.data_centre == self._me.data_centre
            if other is not self and near and self.network.reach(self._me.id.name, name):
                for note_name, note in self.notes.items():
                    if note_name in other.listeners:
                        other.listeners[note_name](self._me, note)


class FakePeers(Service):
    name = "peers"

    def __init__(self, network, me):
        self.network, self.me, self.handlers = network, me, {}
        network.peers[me.id.name] = self

    def forward(self, call, vm):
        raise NotImplementedError

    def serve(self, topic, handler):
        self.handlers[topic.name] = handler

    async def ask(self, vm, topic, request, *, timeout_ms=None):
        await anyio.lowlevel.checkpoint()
        if not self.network.reach(self.me.id.name, vm.id.name):
            raise GatewayError(ErrorKind.PEER_UNREACHABLE)
        return await self.network.peers[vm.id.name].handlers[topic.name](self.me.id, request)


class Node:
    """One VM's kernel with its platform client, members, peers and config service."""

    def __init__(self, fleet, name):
        centre = name[0]
        self.vm = EntryVm(
            id=VmId(name, "1"),
            region="r",
            data_centre=centre,
            host="127.0.0.1",
            http_port=1,
            peer_port=2,
        )
        cfg = Settings(
            vm=VmSettings(name=name, region="r", data_centre=centre),
            platform=PlatformSettings(urls=()),
            config=fleet.cfg,
        )
        self.platform = MemoryPlatform(fleet.stand_in)
        self.config = ConfigService(cfg=cfg, clock=fleet.clock, counters=Counters())
        self.config._rng = random.Random(name)
        self.kernel = Kernel(fleet.clock)
        for service in (
            self.platform,
            self.config,
            FakeMembers(fleet.network, self.vm, fleet.clock),
            FakePeers(fleet.network, self.vm),
        ):
            self.kernel.add(service)
        self.seen = []

    async def observe(self):
        """Record every state that a reader could see."""
        state = self.config.current()
        while True:
            self.seen.append(state)
            state = await self.config.wait_past(state.position)


class Fleet:
    def __init__(self, clock=None, **config):
        self.clock = clock or FleetClock()
        self.stand_in = PlatformStandIn(self.clock)
        self.network = Network()
        self.cfg = ConfigSettings(**{"read_back_ms": 2_000, "snapshot_every": 10, **config})
        self.nodes = {}

    async def run(self, names, *, task_status):
        async with anyio.create_task_group() as self.tg:
            for name in names:
                await self.join(name)
            task_status.started()
            await anyio.sleep_forever()

    async def join(self, name):
        node = self.nodes[name] = Node(self, name)
        self.tg.start_soon(node.kernel.run)
        self.tg.start_soon(node.observe)
        await settle()

    async def finish(self, fn, *args):
        """Run a call to its end, moving time on as it needs; return its outcome."""
        outcome = []

        async def run():
            try:
                outcome.append(await fn(*args))
            except GatewayError as exc:
                outcome.append(exc)

        async with anyio.create_task_group() as tg:
            tg.start_soon(run)
            for _ in range(2_000):
                await settle()
                if outcome:
                    break
                await self.clock.advance(10)
            assert outcome, "no end within 20 s"
        return outcome[0]

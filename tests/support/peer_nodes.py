"""Nodes with a real ``peers`` service over loopback and fakes of the other services."""

from __future__ import annotations

from contextlib import asynccontextmanager
from dataclasses import dataclass, replace

import anyio

from hickorybeam.clock import SystemClock
from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.kernel import Kernel, Service
from hickorybeam.model import (
    Call,
    CallKind,
    ClientAccount,
    ConfigState,
    EntryVm,
    Region,
    ResidencyRule,
    ResponseChunk,
    ResponseEnd,
    ResponseHead,
    Usage,
    Versioned,
    VmId,
    ref_of,
)
from hickorybeam.peers import PeersService
from hickorybeam.ports import Topic
from hickorybeam.settings import PeerSettings, PlatformSettings, Settings, TlsSettings, VmSettings
from hickorybeam.telemetry import Counters

PLAIN = TlsSettings(plain=True)


def make_call(**fields):
    base = {"request_id": "r1", "account": "tour", "key_digest": "d", "kind": CallKind.CHAT}
    return Call(**{**base, "served": "m", **fields})


def make_state(*objects, position=1):
    return ConfigState(
        position=position, objects={ref_of(obj): Versioned(1, obj) for obj in objects}
    )


def home_state(regions=("dakar", "thies"), allowed=None, position=1):
    return make_state(
        *(Region(name=name, data_centres=(name + "-1",)) for name in regions),
        ResidencyRule(name="home", regions=tuple(allowed or regions)),
        ClientAccount(name="tour", rate=10, burst=10, residency="home"),
        position=position,
    )


class FakeMembers(Service):
    name = "members"

    def __init__(self, vm):
        self.vm = vm

    @property
    def own_vm(self):
        return self.vm

    def vms(self):
        return (self.vm,)

    def find(self, vm):
        return self.vm if vm == self.vm.id else None

    def region_loads(self):
        return ()

    def report_load(self, loads):
        pass

    def publish(self, name, note, **kwargs):
        pass

    def subscribe(self, name, listener):
        pass

    def announce_leaving(self):
        pass

    def announce_serving(self, **ports):
        pass


class FakeConfig(Service):
    name = "config"

    def __init__(self, state):
        self.state = state
        self.fetched = None
        self.waits = []

    def current(self):
        return self.state

    def age_ms(self):
        return 0

    async def wait_for(self, position, *, timeout_ms):
        self.waits.append(position)
        if self.fetched is None or self.fetched.position < position:
            raise GatewayError(ErrorKind.CONFIG_BEHIND)
        self.state = self.fetched
        return self.state

    async def wait_past(self, position):
        await anyio.sleep_forever()

    async def submit(self, ticket):
        raise NotImplementedError


class FakeDispatch(Service):
    """Yields a fixed response and records the calls; ``plan`` selects what fails and when."""

    name = "dispatch"

    def __init__(self):
        self.calls = []
        self.produced = 0
        self.closed = anyio.Event()
        self.plan = "whole"
        self.resume = anyio.Event()
        self.resume.set()
        self.chunks = (b"one", b"two", b"three")

    async def run(self, call):
        self.calls.append(call)
        try:
            if self.plan.startswith("refuse "):
                raise GatewayError(
                    ErrorKind(self.plan.split()[1]), retry_after_ms=70, entries=("a",)
                )
            if self.plan == "hang":
                await anyio.sleep_forever()
            yield ResponseHead(200)
            for data in self.chunks:
                self.produced += 1
                yield ResponseChunk(data, tokens=1)
                await self.resume.wait()
                if self.plan == "stall":
                    await anyio.sleep_forever()
                if self.plan == "crash":
                    raise RuntimeError("a fault in dispatch")
                if self.plan == "no end":
                    return
                if self.plan == "fail":
                    raise GatewayError(ErrorKind.BACKEND_SILENT, "engine")
            yield ResponseEnd(Usage(3, 4), "engine-1", "dakar")
        finally:
            self.closed.set()


class Node:
    """An entry VM that runs in its own kernel until ``kill``."""

    def __init__(
        self, name="vm-a", region="dakar", *, state=None, port=0, peers=None, incarnation="1"
    ):
        self.cfg = Settings(
            vm=VmSettings(name=name, region=region, data_centre=region + "-1", peer_port=port),
            platform=PlatformSettings(urls=()),
            peers=peers or PeerSettings(tls=PLAIN),
        )
        self.clock = SystemClock()
        self.counters = Counters()
        self.peers = PeersService(cfg=self.cfg, clock=self.clock, counters=self.counters)
        self.members = FakeMembers(
            EntryVm(
                id=VmId(name, incarnation),
                region=region,
                data_centre=region + "-1",
                host="127.0.0.1",
                http_port=1,
                peer_port=port,
            )
        )
        self.config = FakeConfig(state or home_state())
        self.dispatch = FakeDispatch()
        self.kernel = Kernel(self.clock)
        for service in (self.peers, self.members, self.config, self.dispatch):
            self.kernel.add(service)

    @property
    def vm(self):
        return self.members.vm

    def with_port(self, port):
        """Return this VM's record with another peer port, such as a relay's."""
        return replace(self.vm, peer_port=port)

    @asynccontextmanager
    async def running(self):
        ready = anyio.Event()
        scope = anyio.CancelScope()
        self.kill = scope.cancel

        async def run():
            with scope:
                await self.kernel.run(ready=ready.set)

        async with anyio.create_task_group() as tg:
            tg.start_soon(run)
            await ready.wait()
            self.members.vm = self.with_port(self.peers.port)
            yield self
            self.kill()


async def collect(parts):
    """Return the parts received and the error that ended them, if any."""
    received = []
    try:
        async for part in parts:
            received.append(part)  # noqa: PERF401 - the parts before an error are kept
    except GatewayError as exc:
        return received, exc
    return received, None


@dataclass(frozen=True, slots=True)
class EchoMessage:
    text: str


ECHO = Topic("echo", EchoMessage, EchoMessage)


def enter(context, manager):
    return context.stack.enter_context(context.portal.wrap_async_context_manager(manager))

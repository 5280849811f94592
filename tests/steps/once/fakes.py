"""Idempotency services of several VMs in one process, with fakes of the services they use."""

from __future__ import annotations

from dataclasses import replace

import anyio
import anyio.lowlevel
from tests.steps.shares import fakes as shares

from hickorybeam import ports
from hickorybeam.errors import ErrorKind, GatewayError, Ran
from hickorybeam.kernel import Started
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
    Versioned,
    VmId,
    ref_of,
)
from hickorybeam.once import IdempotencyService
from hickorybeam.settings import PlatformSettings, Settings, VmSettings
from hickorybeam.telemetry import Counters

LARGE = 200_000


class FakeDispatch:
    """Records the calls that run; ``plan`` sets how the next calls end."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.plan = "responds"
        self.go = anyio.Event()
        self.cancelled = 0

    async def run(self, call):
        if self.plan == "refuses":
            raise GatewayError(ErrorKind.OVERLOADED)
        self.fleet.ran.append((call.account, call.body))
        try:
            if self.plan == "waits":
                await self.go.wait()
            if self.plan == "falls silent":
                raise GatewayError(ErrorKind.BACKEND_SILENT)
            yield ResponseHead(201)
            if self.plan == "breaks":
                raise GatewayError(ErrorKind.STREAM_BROKEN)
            if self.plan == "ends early":
                return
            size = LARGE if self.plan == "sends a long response" else 1
            yield ResponseChunk(b"booked" * size)
            yield ResponseEnd()
        except (GeneratorExit, anyio.get_cancelled_exc_class()):
            self.cancelled += 1
            raise


class FakePeers:
    """Passes a forwarded call to the idempotency service of the other VM."""

    def __init__(self, fleet, node):
        self.fleet = fleet
        self.node = node
        self.lose_response = False

    def serve(self, topic, handler):
        pass

    async def ask(self, vm, topic, request, *, timeout_ms=None):
        raise NotImplementedError

    async def forward(self, call, vm):
        other = self.fleet.nodes.get(vm.id.name)
        if other is None or other.cut:
            raise GatewayError(ErrorKind.PEER_UNREACHABLE, ran=Ran.NO)
        async for part in other.service.run(replace(call, hops=1)):
            if self.lose_response:
                raise GatewayError(ErrorKind.PEER_UNREACHABLE, ran=Ran.UNKNOWN)
            yield part


class FakeMembers(shares.FakeMembers):
    """Membership: every running VM."""

    def vms(self):
        return tuple(node.vm for node in self.fleet.nodes.values())


class Node:
    """One VM with its idempotency service."""

    def __init__(self, fleet, name, region, incarnation):
        self.fleet = fleet
        self.paused = False
        self.cut = False
        self.vm = EntryVm(
            id=VmId(name, incarnation),
            region=region,
            data_centre=region,
            host="127.0.0.1",
            http_port=1,
            peer_port=1,
        )
        self.dispatch = FakeDispatch(fleet)
        self.platform = shares.FakePlatform(fleet.store, self)
        self.members = FakeMembers(fleet, self)
        self.peers = FakePeers(fleet, self)
        self.config = shares.FakeConfig([])
        self.config.state = fleet.state
        cfg = Settings(
            vm=VmSettings(name=name, region=region, data_centre=region),
            platform=PlatformSettings(urls=("http://127.0.0.1:1",)),
        )
        self.service = IdempotencyService(cfg=cfg, clock=fleet.clock, counters=Counters())
        self.scope = anyio.CancelScope()

    def find(self, name, kind):
        return getattr(self, name)

    def has(self, name):
        return name != ports.BUDGET

    async def awake(self):
        while self.paused:
            await anyio.lowlevel.checkpoint()

    async def run(self):
        self.service.bind(self)
        with self.scope:
            await self.service.main(Started())


class Fleet:
    """VMs by name; ``ran`` lists every call that reached a backend server."""

    def __init__(self):
        self.clock = shares.QuickClock()
        self.store = shares.Store(self.clock)
        self.nodes = {}
        self.ran = []
        objects = [
            Region(name="dakar-plateau", data_centres=("dakar-plateau",)),
            Region(name="thies-nord", data_centres=("thies-nord",)),
            ResidencyRule(name="home", regions=("dakar-plateau",)),
            ClientAccount(name="acme", rate=1.0, burst=1.0),
            ClientAccount(name="kept", rate=1.0, burst=1.0, residency="home"),
        ]
        self.state = ConfigState(
            position=1, objects={ref_of(obj): Versioned(1, obj) for obj in objects}
        )

    async def __aenter__(self):
        self.tg = anyio.create_task_group()
        await self.tg.__aenter__()
        return self

    async def __aexit__(self, *exc):
        self.tg.cancel_scope.cancel()
        return await self.tg.__aexit__(*exc)

    async def start(self, name, region="dakar-plateau", incarnation="1"):
        node = Node(self, name, region, incarnation)
        self.nodes[name] = node
        self.tg.start_soon(node.run)
        await shares.settle()
        return node

    async def crash(self, name):
        self.nodes.pop(name).scope.cancel()
        await shares.settle()

    async def send(self, name, call):
        """Send a call and return its outcome, which is filled in as the call proceeds."""
        outcome = Outcome()

        async def ask():
            with outcome.scope:
                try:
                    async for part in self.nodes[name].service.run(call):
                        outcome.parts.append(part)
                except GatewayError as exc:
                    outcome.error = exc
                outcome.done = True

        self.tg.start_soon(ask)
        await shares.settle()
        return outcome


class Outcome:
    """What the caller of one attempt received."""

    def __init__(self):
        self.parts = []
        self.error = None
        self.done = False
        self.scope = anyio.CancelScope()


def booking(key, *, account="acme", body=b"wheel 3 at ten", idempotent=False):
    return Call(
        request_id="r",
        account=account,
        key_digest="d",
        kind=CallKind.PLAIN,
        served="booking",
        path="/bookings",
        body=body,
        idempotent=idempotent,
        idempotency_key=key,
    )

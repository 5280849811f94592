"""The real front and backends services, with fakes of the services between them."""

from __future__ import annotations

from contextlib import AsyncExitStack, aclosing

import anyio
from tests.steps.backends.rig import FAST_ENGINE, FakeConfig

from hickorybeam.backends import BackendsService
from hickorybeam.clock import SystemClock
from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.front import FrontService
from hickorybeam.kernel import Kernel, Service
from hickorybeam.model import (
    BackendKind,
    BackendServer,
    ClientAccount,
    ClientKey,
    EntryVm,
    ModelService,
    PlainService,
    Region,
    ResidencyRule,
    ServiceRoute,
    VmId,
    key_digest,
)
from hickorybeam.ports import DISPATCH, MEMBERS, ONCE
from hickorybeam.settings import (
    BackendSettings,
    FrontSettings,
    PlatformSettings,
    Settings,
    VmSettings,
)
from hickorybeam.standins import engine, plain
from hickorybeam.telemetry import Counters

SECRET = "sk-family"
OPERATOR = "sk-operator"
FRONT_SETTINGS = FrontSettings(
    operator_keys=(key_digest(OPERATOR),),
    max_body_bytes=20_000,
    max_header_bytes=4_000,
    max_connections_per_address=8,
    idle_ms=1_500,
    body_timeout_ms=300,
    stall_ms=500,
    memory_bytes=400_000,
    default_deadline_ms=3_000,
)


class FakeDispatch(Service):
    """Runs each call at its only backend server, or raises ``refusal`` if a test sets it."""

    name = DISPATCH

    def __init__(self, backends):
        self.backends = backends
        self.calls = []
        self.refusal = None
        self.servers = {}
        self.closed = 0

    async def run(self, call):
        self.calls.append(call)
        if self.refusal is not None:
            raise self.refusal
        try:
            async with aclosing(self.backends.run(call, self.servers[call.served])) as parts:
                async for part in parts:
                    yield part
        finally:
            self.closed += 1


class FakeMembers(Service):
    """A fleet of two VMs in region ``here`` and one in ``there``."""

    name = MEMBERS

    def __init__(self):
        self.own_vm = vm("vm-1", "here", 8001)
        self.fleet = [self.own_vm, vm("vm-2", "here", 8002), vm("vm-3", "there", 8003)]
        self.leaving_announced = False

    def vms(self):
        return tuple(self.fleet)

    def find(self, vm):
        return None

    def region_loads(self):
        return ()

    def report_load(self, loads):
        pass

    def publish(self, name, note, *, urgent=False):
        pass

    def subscribe(self, name, listener):
        pass

    def announce_serving(self, *, http_port):
        self.http_port = http_port

    def announce_leaving(self):
        self.leaving_announced = True


class FakeOnce(Service):
    """Issues idempotency keys, and records the key of each call that it runs."""

    name = ONCE

    def __init__(self, dispatch):
        self.dispatch = dispatch
        self.keys = []

    def issue(self, account, count):
        return tuple(f"{account}-{number}" for number in range(count))

    def run(self, call):
        self.keys.append(call.idempotency_key)
        return self.dispatch.run(call)


def vm(name, region, port):
    return EntryVm(
        id=VmId(name, "1"),
        region=region,
        data_centre="dc",
        host="127.0.0.1",
        http_port=port,
        peer_port=1,
    )


class Rig:
    """One VM of region ``here``, an engine and a plain service."""

    def __init__(self, settings=FRONT_SETTINGS):
        self.settings = settings
        self.clock = SystemClock()
        self.counters = Counters()

    async def __aenter__(self):
        self.stack = await AsyncExitStack().__aenter__()
        enter = self.stack.enter_async_context
        self.engine = await enter(engine.serve(models=("small",), shape=FAST_ENGINE))
        self.plain = await enter(plain.serve())
        cfg = Settings(
            vm=VmSettings(name="vm-1", region="here", data_centre="dc"),
            platform=PlatformSettings(urls=()),
            front=self.settings,
            backends=BackendSettings(first_byte_ms=400, between_ms=300),
        )
        common = {"cfg": cfg, "clock": self.clock, "counters": self.counters}
        backends = BackendsService(**common)
        self.config = FakeConfig(*self.objects())
        self.dispatch = FakeDispatch(backends)
        self.dispatch.servers = {
            "small": self.server("engine", BackendKind.ENGINE, self.engine.port),
            "bookings": self.server("plain", BackendKind.PLAIN, self.plain.port),
        }
        self.members = FakeMembers()
        self.once = FakeOnce(self.dispatch)
        self.front = FrontService(**common)
        self.kernel = Kernel(self.clock)
        services = (self.config, backends, self.dispatch, self.members, self.once, self.front)
        for service in services:
            self.kernel.add(service)
        self.tg = await enter(anyio.create_task_group())
        ready = anyio.Event()
        self.stopped = anyio.Event()
        self.tg.start_soon(self.run, ready)
        await ready.wait()
        return self

    async def run(self, ready):
        await self.kernel.run(ready=ready.set)
        self.stopped.set()

    async def __aexit__(self, *exc):
        self.tg.cancel_scope.cancel()
        return await self.stack.__aexit__(None, None, None)

    def objects(self, *, residency=None, rule_regions=("there",)):
        return (
            Region(name="here", data_centres=("dc",)),
            Region(name="there", data_centres=("dc",)),
            ResidencyRule(name="rule", regions=rule_regions),
            ClientAccount(name="family", rate=1e6, burst=1e6, residency=residency),
            ClientKey(name=key_digest(SECRET), account="family"),
            ModelService(name="small", regions=("here",)),
            PlainService(name="bookings", regions=("here",), timeout_ms=300),
            ServiceRoute(name="all", host="shop.example", prefix="/", service="bookings"),
            ServiceRoute(
                name="look",
                host="shop.example",
                prefix="/look/",
                service="bookings",
                idempotent=True,
                timeout_ms=700,
            ),
            ServiceRoute(name="lost", host="shop.example", prefix="/none/", service="nothing"),
        )

    def server(self, name, kind, port):
        return BackendServer(
            name=name, kind=kind, region="here", data_centre="dc", host="127.0.0.1", port=port
        )

    def refuse(self, kind, **fields):
        self.dispatch.refusal = GatewayError(ErrorKind(kind), **fields)

    def count(self, name, **labels):
        return self.counters.registry.get_sample_value(f"hickorybeam_{name}_total", labels) or 0

    @property
    def url(self):
        return f"http://127.0.0.1:{self.front.port}"

"""A small gateway over loopback: a stand-in store, servers in two regions, VMs before them."""

from __future__ import annotations

from contextlib import AsyncExitStack, asynccontextmanager

import anyio
import msgspec

from hickorybeam.clock import SystemClock
from hickorybeam.gateway.daemon import build
from hickorybeam.gateway.feed import FeedService
from hickorybeam.gateway.fleet import FleetService
from hickorybeam.gateway.relay import RelayService
from hickorybeam.http1 import BrokenAnswerError, UpstreamPool
from hickorybeam.http1.head import request_bytes
from hickorybeam.ports import FEED, FLEET, RELAY
from hickorybeam.settings import (
    GatewaySettings,
    PeerSettings,
    PlatformSettings,
    Settings,
    TlsSettings,
    VmSettings,
)
from hickorybeam.standins.keyvalue import serve_store
from hickorybeam.standins.server import ServerStandIn, serve_server

REGIONS = {"north-1": "north", "south-1": "south"}
KEYS = {"small": "key-of-small", "large": "key-of-large", "northern": "key-of-northern"}
HOST = "shop.example"


def route(name, kind, service, **more):
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": 3_000,
        "target-latency-ms": 200,
        "priority": 1,
        "service": service,
        "max-attempts": 2,
        "public": False,
        "sticky": kind == "streaming",
        "resumable": False,
        "home-regions": [],
        **more,
    }


def account(name, **more):
    return {
        "name": name,
        "api-keys": [KEYS[name]],
        "unit": "tokens",
        "uncached-tokens": 10,
        "rate-per-s": 0,
        "burst": 0,
        "home-regions": [],
        **more,
    }


def first_config():
    """Two services and a route for each way in which requests may be repeated."""
    return {
        "version": 3,
        "routes": [
            route("look", "safe", "books"),
            route("order", "unsafe", "books"),
            route("chat", "streaming", "model"),
            route("plan", "streaming", "model", resumable=True),
            route("local", "safe", "books", **{"home-regions": ["south"]}),
        ],
        "services": [
            {"name": "books", "health-path": "/health", "cold-start-s": 0, "cold-per-s": 0},
            {
                "name": "model",
                "health-path": "/health",
                "cold-start-s": 2,
                "cold-per-s": 2,
                "engine": {"slots": 8, "kv-cache-tokens": 10_000},
            },
        ],
        "limits": {
            "max-header-bytes": 4_096,
            "max-body-bytes": 65_536,
            "header-timeout-ms": 500,
            "idle-timeout-ms": 2_000,
        },
        "tenants": [
            account("small"),
            account("large"),
            account("northern", **{"home-regions": ["north"]}),
        ],
    }


class Reply:
    """What a caller saw: a status, the body and whether the answer was whole."""

    def __init__(self, status, headers=(), body=b"", whole=True):
        self.status = status
        self.headers = dict(headers)
        self.body = body
        self.whole = whole

    @property
    def retry_after(self):
        value = self.headers.get(b"retry-after")
        return None if value is None else float(value)


class GatewayRig:
    """What a scenario works with; every method runs in the rig's event loop."""

    def __init__(self, store, stack):
        self.store = store
        self.app = store.app
        self.servers = {}
        self.vms = {}
        self.config = first_config()
        self._stack = stack
        self._pool = UpstreamPool(SystemClock(), connect_ms=500, silent_ms=2_000)
        self._numbers = iter(range(1, 1_000_000))

    def configure(self, config=None):
        self.config = config or self.config
        self.app.put("op/config", msgspec.json.encode(self.config))

    async def add_server(self, name, service, data_centre, **more):
        server = ServerStandIn(name, service, data_centre, self.app, **more)
        self.servers[name] = await self._stack.enter_async_context(serve_server(server))
        return server

    async def add_vm(self, name, data_centre):
        return await self._stack.enter_async_context(self.vm(name, data_centre))

    @asynccontextmanager
    async def vm(self, name, data_centre, *, seeds=(), store=None):
        cfg = Settings(
            vm=VmSettings(name=name, region=REGIONS[data_centre], data_centre=data_centre),
            platform=PlatformSettings(
                urls=(store or self.store.url,), prefix="hickorybeam/", timeout_ms=600
            ),
            peers=PeerSettings(tls=TlsSettings(plain=True)),
            gateway=GatewaySettings(
                regions=REGIONS, grace_s=2.0, seeds=tuple(seeds), repeat_allowance=40
            ),
        )
        async with running(build(cfg)) as vm:
            self.vms[name] = vm
            yield vm

    async def until(self, what, *, limit_s=8.0):
        """Wait until a condition holds; the limit ends a hung run and decides no verdict."""
        with anyio.fail_after(limit_s):
            while not what():
                await anyio.sleep(0.01)

    async def settled(self):
        """Wait until every VM knows the configuration, every server and every other VM."""

        def known(vm):
            knowledge = vm.knowledge
            return (
                knowledge.config is not None
                and knowledge.config.version >= self.config["version"]
                and set(self.servers) <= set(knowledge.standings)
                and vm.fleet.heard() == len(self.vms)
                and all("model" in (it.forecasts or {}) for it in vm.fleet.peers.values())
            )

        await self.until(lambda: all(known(vm) for vm in self.vms.values()))

    async def call(
        self, vm, path, *, key="small", method="GET", body=b"", wait_ms=2_000, tokens=None, more=()
    ):
        """Send one request as a caller and return what came back."""
        request_id = b"%016x" % next(self._numbers)
        headers = [
            (b"host", HOST.encode()),
            (b"x-hickorybeam-request-id", request_id),
            (b"x-hickorybeam-deadline-milliseconds", b"%d" % wait_ms),
        ]
        if key is not None:
            headers.append((b"authorization", b"Bearer " + KEYS.get(key, key).encode()))
        if tokens is not None:
            headers.append((b"x-hickorybeam-token-counts", tokens))
        data = request_bytes(method, path.encode(), (*headers, *more), body)
        return await self.exchange(self.vms[vm].ports.callers, data)

    async def exchange(self, port, data, *, limit_s=10.0):
        """Send bytes on a new connection and read one answer."""
        conn = await self._pool.take(("127.0.0.1", port), fresh=True)
        parts = []
        try:
            with anyio.fail_after(limit_s):
                conn.send(data)
                head = await conn.head()
                while chunk := await conn.chunk():
                    parts.append(chunk)
        except BrokenAnswerError:
            status = 0 if not parts and conn._head is None else conn._head.status
            return Reply(status, (), b"".join(parts), whole=False)
        finally:
            conn.abort()
        return Reply(head.status, head.headers, b"".join(parts))

    def ran(self, service=None):
        """All requests that ran, at every server of a service."""
        return [
            it
            for server in self.servers.values()
            if service in (None, server.service)
            for it in server.ran
        ]


class RunningVm:
    """One gateway VM of this process."""

    def __init__(self, kernel):
        self.kernel = kernel
        self.feed = kernel.find(FEED, FeedService)
        self.fleet = kernel.find(FLEET, FleetService)
        self.relay = kernel.find(RELAY, RelayService)
        self.scope = anyio.CancelScope()
        self.ended = anyio.Event()

    @property
    def knowledge(self):
        return self.feed.knowledge

    @property
    def ports(self):
        return self.relay.ports()

    def kill(self):
        """End it as a crash would: nothing is said, nothing finished."""
        self.scope.cancel()


@asynccontextmanager
async def running(kernel):
    vm = RunningVm(kernel)
    ready = anyio.Event()

    async def run():
        with vm.scope:
            await kernel.run(ready=ready.set)
        vm.ended.set()

    async with anyio.create_task_group() as tg:
        tg.start_soon(run)
        await ready.wait()
        try:
            yield vm
        finally:
            vm.scope.cancel()


@asynccontextmanager
async def small_gateway(*, vms=("n1",), servers=(), south=False):
    """A store, servers and VMs, settled.

    :param south: add a VM and a server of each service in the other region.
    """
    async with AsyncExitStack() as stack:
        store = await stack.enter_async_context(serve_store())
        rig = GatewayRig(store, stack)
        rig.configure()
        for name, service in servers or (("b1", "books"), ("m1", "model")):
            await rig.add_server(name, service, "north-1")
        for name in vms:
            await rig.add_vm(name, "north-1")
        if south:
            await rig.add_server("b9", "books", "south-1")
            await rig.add_server("m9", "model", "south-1")
            await rig.add_vm("s1", "south-1")
        await rig.settled()
        yield rig

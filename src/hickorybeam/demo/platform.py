"""The gateway before the platform's stand-ins, in one process: a calm day and some faults."""

from __future__ import annotations

from contextlib import AsyncExitStack, asynccontextmanager
from typing import TYPE_CHECKING

import anyio

from hickorybeam.clock import SystemClock
from hickorybeam.gateway.daemon import build
from hickorybeam.gateway.feed import FeedService
from hickorybeam.gateway.fleet import FleetService
from hickorybeam.gateway.relay import Ports, RelayService
from hickorybeam.http1 import BrokenResponseError, UpstreamPool
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
from hickorybeam.standins.deployment import REGIONS, caller_headers, first_config
from hickorybeam.standins.keyvalue import KeyValueApp, serve_store
from hickorybeam.standins.server import ServerStandIn, serve_server

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from hickorybeam.gateway.routing_state import RoutingState
    from hickorybeam.http1 import RawHeaders
    from hickorybeam.kernel import Kernel

__all__ = (
    "Answer",
    "PlatformFleet",
    "RunningVm",
    "start_platform_fleet",
    "tell",
)

SETTLE_LIMIT_S = 8.0
CALL_LIMIT_S = 10.0
# How long a VM of the demo may take to stop.
GRACE_S = 2.0


class Answer:
    """What a caller saw: a status (0 for none), the body, and whether the answer was whole."""

    def __init__(
        self,
        status: int,
        headers: tuple[tuple[bytes, bytes], ...] = (),
        body: bytes = b"",
        *,
        whole: bool = True,
    ) -> None:
        self.status = status
        self.headers = dict(headers)
        self.body = body
        self.whole = whole

    @property
    def retry_after(self) -> float | None:
        """When the caller may come back, in seconds."""
        value = self.headers.get(b"retry-after")
        return None if value is None else float(value)


class RunningVm:
    """One gateway VM of this process."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.feed = kernel.find(FEED, FeedService)
        self.fleet = kernel.find(FLEET, FleetService)
        self.relay = kernel.find(RELAY, RelayService)
        self.scope = anyio.CancelScope()
        self.ended = anyio.Event()

    @property
    def routing_state(self) -> RoutingState:
        """What it knows."""
        return self.feed.routing_state

    @property
    def ports(self) -> Ports:
        """The ports that it listens on."""
        return self.relay.ports()

    def kill(self) -> None:
        """End it as a crash would: nothing is said, nothing finished."""
        self.scope.cancel()


class PlatformFleet:
    """A stand-in store, servers in two regions, VMs before them, and a caller."""

    def __init__(self, app: KeyValueApp, url: str, stack: AsyncExitStack) -> None:
        self.app = app
        self.url = url
        self.servers: dict[str, ServerStandIn] = {}
        self.vms: dict[str, RunningVm] = {}
        self.config = first_config()
        self.grace_s = GRACE_S
        self._stack = stack
        self._pool = UpstreamPool(SystemClock(), connect_ms=500, silent_ms=2_000)
        self._numbers = iter(range(1, 1_000_000))

    def configure(self) -> None:
        """Write the configuration as the operator does."""
        self.app.configure(self.config)

    async def add_server(self, name: str, service: str, data_centre: str) -> ServerStandIn:
        """Start a backend server that registers itself."""
        server = ServerStandIn(name, service, data_centre, self.app)
        self.servers[name] = await self._stack.enter_async_context(serve_server(server))
        return server

    async def add_vm(self, name: str, data_centre: str) -> RunningVm:
        """Start a VM that ends with the fleet."""
        return await self._stack.enter_async_context(self.vm(name, data_centre))

    @asynccontextmanager
    async def vm(
        self, name: str, data_centre: str, *, seeds: tuple[str, ...] = ()
    ) -> AsyncIterator[RunningVm]:
        """Run a VM until the block ends."""
        cfg = Settings(
            vm=VmSettings(name=name, region=REGIONS[data_centre], data_centre=data_centre),
            platform=PlatformSettings(urls=(self.url,), prefix="hickorybeam/", timeout_ms=600),
            peers=PeerSettings(tls=TlsSettings(plain=True)),
            gateway=GatewaySettings(
                regions=REGIONS, grace_s=self.grace_s, seeds=seeds, repeat_allowance=40
            ),
        )
        async with _running(build(cfg)) as vm:
            self.vms[name] = vm
            yield vm

    async def until(self, what: Callable[[], bool], *, limit_s: float = SETTLE_LIMIT_S) -> None:
        """Wait until a condition holds; the limit ends a hung run and decides no verdict."""
        with anyio.fail_after(limit_s):
            while not what():  # noqa: ASYNC110 - what is awaited is set by many owners
                await anyio.sleep(0.01)

    async def settled(self) -> None:
        """Wait until every VM knows the configuration, every server and every other VM."""
        await self.until(lambda: all(self._settled(vm) for vm in self.vms.values()))

    def _settled(self, vm: RunningVm) -> bool:
        config = vm.routing_state.config
        return (
            config is not None
            and config.version >= self.config["version"]
            and set(self.servers) <= set(vm.routing_state.server_states)
            and vm.fleet.live_vm_count() == len(self.vms)
            and all(
                "model" in (it.forecasts or {})
                for it in vm.fleet.peers.by_name.values()
                if it.vm.region != vm.fleet.own_vm.region
            )
        )

    async def call(
        self,
        vm: str,
        path: str,
        *,
        key: str | None = "small",
        method: str = "GET",
        body: bytes = b"",
        wait_ms: int = 2_000,
        tokens: bytes | None = None,
        more: tuple[tuple[bytes, bytes], ...] = (),
    ) -> Answer:
        """Send one request as a caller and return what came back."""
        headers = caller_headers(
            f"{next(self._numbers):016x}", key=key, wait_ms=wait_ms, tokens=tokens
        )
        data = request_bytes(method, path.encode(), (*headers, *more), body)
        return await self.exchange(self.vms[vm].ports.callers, data)

    async def exchange(self, port: int, data: bytes, *, host: str = "127.0.0.1") -> Answer:
        """Send bytes on a new connection and read one answer."""
        conn = await self._pool.acquire((host, port), fresh=True)
        parts: list[bytes] = []
        status = 0
        headers: RawHeaders = ()
        try:
            with anyio.fail_after(CALL_LIMIT_S):
                conn.send(data, head_only=data.startswith(b"HEAD "))
                head = await conn.read_head()
                status, headers = head.status, head.headers
                while chunk := await conn.read_chunk():
                    parts.append(chunk)
        except BrokenResponseError:
            return Answer(status, headers, b"".join(parts), whole=False)
        finally:
            conn.abort()
        return Answer(status, headers, b"".join(parts))


@asynccontextmanager
async def _running(kernel: Kernel) -> AsyncIterator[RunningVm]:
    vm = RunningVm(kernel)
    ready = anyio.Event()

    async def run() -> None:
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
async def start_platform_fleet() -> AsyncIterator[PlatformFleet]:
    """Run a stand-in store with a configuration, and no VM yet."""
    async with AsyncExitStack() as stack:
        served = await stack.enter_async_context(serve_store())
        fleet = PlatformFleet(served.app, served.url, stack)
        fleet.configure()
        yield fleet


async def tell(say: Callable[[str], None]) -> None:
    """Run two regions, serve a calm day's requests, and let some things fail."""
    async with start_platform_fleet() as fleet:
        for name, service, data_centre in (
            ("b1", "books", "north-1"),
            ("m1", "model", "north-1"),
            ("b9", "books", "south-1"),
            ("m9", "model", "south-1"),
        ):
            await fleet.add_server(name, service, data_centre)
        for name, data_centre in (("n1", "north-1"), ("n2", "north-1"), ("s1", "south-1")):
            await fleet.add_vm(name, data_centre)
        await fleet.settled()
        say(f"{len(fleet.vms)} VMs and {len(fleet.servers)} servers in 2 regions have met")
        await _serve(fleet, say)
        await _fail(fleet, say)


async def _serve(fleet: PlatformFleet, say: Callable[[str], None]) -> None:
    looked = await fleet.call("n1", "/look/1")
    say(f"a lookup: {looked.status}, {looked.body.decode()}")
    stream = await fleet.call("n1", "/chat/1", method="POST", body=b"{}", tokens=b"50,10")
    say(f"a stream: {stream.status}, {stream.body.count(b'id: ')} events, whole: {stream.whole}")
    away = await fleet.call("n1", "/local/1")
    say(f"a request at home in the south, asked in the north: {away.status}, {away.body.decode()}")
    unknown = await fleet.call("n1", "/look/1", key="nobody's")
    say(f"an unknown key: {unknown.status}")


async def _fail(fleet: PlatformFleet, say: Callable[[str], None]) -> None:
    fleet.servers["b1"].faults.lost = 2
    order = await fleet.call("n1", "/order/1", method="POST", body=b"{}")
    ran = len(fleet.servers["b1"].ran) + len(fleet.servers["b9"].ran)
    say(f"an order whose answer is lost: {order.status}, {ran - 2} run")
    looked = await fleet.call("n1", "/look/2")
    say(f"a lookup whose first answer is lost: {looked.status}, {looked.body.decode()}")
    fleet.app.silent = True
    looked = await fleet.call("n2", "/look/3")
    say(f"a lookup while the store is silent: {looked.status}, {looked.body.decode()}")

"""The service ``relay``: the ports that callers, peers and operators' tools connect to."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, ClassVar

import anyio
from absl import logging

from hickorybeam.gateway.attempt import (
    HOP_ACCOUNT,
    HOP_TIME_LEFT_MS,
    HOP_RESUME_AFTER,
    HOP_SERVICE,
    HOP_URGENCY,
    AdmittedRequest,
)
from hickorybeam.gateway.feed import CHANGES_PATH, STATE_PATH, FeedService
from hickorybeam.gateway.fleet import FleetService
from hickorybeam.gateway.request_handler import RequestHandler, shutdown_times
from hickorybeam.http1 import HttpServer, UpstreamPool, find
from hickorybeam.kernel import Service
from hickorybeam.model.routing import Repeat, Route
from hickorybeam.platform import decode_call, decode_query, directory_answer
from hickorybeam.policy.directory_listing import RegionVms, vms_to_list
from hickorybeam.ports import FEED, FLEET, RELAY
from hickorybeam.sockets import bound_socket, split_address
from hickorybeam.telemetry.decisions import DecisionLog

if TYPE_CHECKING:
    import socket
    from collections.abc import Sequence

    from hickorybeam.clock import Clock
    from hickorybeam.http1 import Incoming, Reply
    from hickorybeam.http1.server import Handler
    from hickorybeam.kernel import Kernel, Started
    from hickorybeam.model.routing import GatewayVm
    from hickorybeam.settings import GatewaySettings, Settings
    from hickorybeam.telemetry import Counters

__all__ = ("Ports", "RelayService")

# How long callers keep a directory's answer, and some of them three times as long: they go on
# using a VM that is gone, or has begun to shut down, until then; it still takes everything.
LIST_VALID_MS = 800
CONNECT_MS = 600
SILENT_MS = 2_000
FORECAST_EVERY_MS = 100
METRICS_PATH = b"/metrics"
CHANGES_PREFIX = CHANGES_PATH.encode()
USUAL_URGENCY = 5
JSON = ((b"content-type", b"application/json"),)
MSGPACK = ((b"content-type", b"application/msgpack"),)
PLAIN = ((b"content-type", b"text/plain; version=0.0.4"),)
DRAIN_POLL_MS = 25


@dataclass(frozen=True, slots=True)
class Ports:
    """The ports of one VM, as bound; 0 before that."""

    callers: int = 0
    peers: int = 0
    ready: int = 0
    directory: int = 0
    state: int = 0


class RelayService(Service):
    """Listens and hands requests to their path."""

    name: ClassVar[str] = RELAY
    needs: ClassVar[tuple[str, ...]] = (FEED, FLEET)

    def __init__(self, *, cfg: Settings, clock: Clock, counters: Counters) -> None:
        self._cfg = cfg
        self._clock = clock
        self._counters = counters
        self._servers: list[HttpServer] = []
        self._bound = Ports()
        self._leaving = False
        self._in_flight = counters.gauge("requests_in_flight", "Requests being answered")

    def bind(self, kernel: Kernel) -> None:
        """Look up neighbours."""
        self._feed = kernel.find(FEED, FeedService)
        self._fleet = kernel.find(FLEET, FleetService)
        if self._cfg.gateway is None:
            raise ValueError("settings have no section 'gateway'")
        self._gateway = self._cfg.gateway
        self._path = RequestHandler(
            cfg=self._gateway,
            clock=self._clock,
            counters=self._counters,
            feed=self._feed,
            fleet=self._fleet,
            pool=UpstreamPool(self._clock, connect_ms=CONNECT_MS, silent_ms=SILENT_MS),
            log=DecisionLog(self._clock),
        )

    def reload(self, cfg: GatewaySettings) -> None:
        """Take over what may change while requests run; open connections stay."""
        self._gateway = cfg
        self._path.reload(cfg)

    async def main(self, started: Started) -> None:
        """Listen until cancelled; started again after a crash, it listens where it did."""
        try:
            async with anyio.create_task_group() as tg:
                for handler, sock in self._listeners():
                    server = HttpServer(
                        handler,
                        clock=self._clock,
                        tasks=tg,
                        limits=self._feed.knowledge.callers,
                        on_malformed=self._malformed,
                    )
                    await server.listen_on(sock)
                    self._servers.append(server)
                self._in_flight.set_function(lambda: self._callers.in_flight)
                tg.start_soon(self._forecast)
                tg.start_soon(self._path.run_placement)
                self._fleet.serve(caller_port=self._callers.port)
                started()
        finally:
            self._bound = self.ports() if self._servers else self._bound
            for server in self._servers:
                server.stop_accepting()
            self._servers = []

    def _listeners(self) -> tuple[tuple[Handler, socket.socket], ...]:
        cfg, bound = self._gateway, self._bound
        return (
            (self._path.handle, socket_of(cfg.callers, bound.callers)),
            (self._hop, self._fleet.take_peer_socket()),
            (self._ready, socket_of(cfg.ready, bound.ready)),
            (self._directory, socket_of(cfg.directory, bound.directory)),
            (self._state, socket_of(cfg.state, bound.state)),
        )

    @property
    def _callers(self) -> HttpServer:
        return self._servers[0]

    def ports(self) -> Ports:
        """Return the ports that it really listens on."""
        return Ports(*(server.port for server in self._servers))

    async def drain(self) -> None:
        """Leave the directory, refuse what could not be finished, and finish what runs.

        Callers go on using open connections and lists that name this VM for a while. A port
        closed at once would cut requests that were on their way.
        """
        begun = self._clock.now()
        self._leaving = True
        times = shutdown_times(self._gateway)
        end = begun + times.finish_by_ms
        for server in self._servers:
            server.closing = True
        await self._fleet.leave()
        await self._until(begun + times.accept_all_until_ms)
        self._path.accept_until(round(end))
        await self._until(begun + times.accept_until_ms)
        self._path.drain()
        for server in self._servers:
            server.stop_accepting()
            server.close_idle()
        while self._busy() and self._clock.now() < end:
            await self._clock.sleep(DRAIN_POLL_MS)
            for server in self._servers[:2]:
                server.close_idle()
        logging.info("drained, %d requests cut", self._busy())

    def _busy(self) -> int:
        return sum(server.in_flight for server in self._servers[:2])

    async def _until(self, due_ms: float) -> None:
        await self._clock.sleep(due_ms - self._clock.now())

    async def _forecast(self) -> None:
        while True:
            await self._clock.sleep(FORECAST_EVERY_MS)
            self._fleet.forecast = self._path.forecasts()

    def _malformed(self, status: int) -> None:
        self._counters.refusals.labels(f"malformed_{status}").inc()

    async def _hop(self, req: Incoming, reply: Reply) -> None:
        """Run a request that a VM of another region hands over, by a server of this one."""
        if req.target == METRICS_PATH:
            reply.whole(200, PLAIN, self._counters.text())
            return
        if req.target.startswith(CHANGES_PREFIX):
            self._changes(req, reply)
            return
        errand = errand_of(req)
        if errand is None:
            reply.whole(404)
            return
        await self._path.handle_admitted(errand, reply, local_only=True)

    def _changes(self, req: Incoming, reply: Reply) -> None:
        """Hand a VM that doesn't watch the store the changes that it lacks."""
        after = req.target.removeprefix(CHANGES_PREFIX)
        found = self._feed.changes_after(int(after)) if after.isdigit() else None
        if found is None:
            reply.whole(404)
        else:
            reply.whole(200, MSGPACK, found)

    async def _ready(self, req: Incoming, reply: Reply) -> None:
        ready = self._feed.knowledge.config is not None and not self._leaving
        reply.whole(200 if ready else 503)

    async def _directory(self, req: Incoming, reply: Reply) -> None:
        """Name VMs that the caller should use."""
        query = decode_query(req.target)
        if query is None:
            reply.whole(404)
            return
        vms = self._named(query.host, query.region)
        if not vms:
            reply.whole(503)
            return
        addresses = [f"{vm.host}:{vm.caller_port}" for vm in vms[:64]]
        answer = directory_answer(addresses, ttl_ms=LIST_VALID_MS)
        reply.whole(200, JSON, answer)

    def _named(self, host: str, region: str) -> Sequence[GatewayVm]:
        """Return the VMs that a caller of a region should use."""
        knowledge = self._feed.knowledge
        if knowledge.config is None:
            # Homes aren't known yet; a caller led out of them can't be served there.
            return ()
        return vms_to_list(
            region,
            homes=knowledge.table.homes(host.lower()),
            regions=set(self._gateway.regions.values()),
            vms_of=self._vms_of,
            fleet_known=self._fleet.settled(),
        )

    def _vms_of(self, region: str) -> RegionVms:
        """Sort a region's VMs by what they still take."""
        times = shutdown_times(self._gateway)
        leaving = self._fleet.leaving_vms(region)
        return RegionVms(
            serving=self._fleet.region_vms(region),
            draining=[vm for vm, for_ms in leaving if for_ms < times.accept_all_until_ms],
            draining_short_only=[
                vm for vm, for_ms in leaving if times.accept_all_until_ms <= for_ms < times.accept_until_ms
            ],
        )

    async def _state(self, req: Incoming, reply: Reply) -> None:
        if req.target.decode("latin-1") == STATE_PATH and self._feed.knowledge.config:
            reply.whole(200, MSGPACK, self._feed.state())
        else:
            reply.whole(404)


def urgency_told(value: bytes | None) -> int:
    """Read the urgency that another VM tells; what cannot be read counts as usual."""
    return int(value) if value is not None and value.isdigit() else USUAL_URGENCY


def socket_of(address: str, bound_port: int) -> socket.socket:
    """Return a socket bound to ``host:port``.

    :param bound_port: goes before the address's own, where it was bound to a free port before.
    """
    host, port = split_address(address)
    return bound_socket(host, bound_port or port)


def errand_of(req: Incoming) -> AdmittedRequest | None:
    """Read a request that another VM hands over; ``None`` if it is none."""
    service = find(req.headers, HOP_SERVICE)
    left = find(req.headers, HOP_TIME_LEFT_MS)
    if service is None or left is None or not left.isdigit():
        return None
    call = decode_call(req)
    account, resume = find(req.headers, HOP_ACCOUNT), find(req.headers, HOP_RESUME_AFTER)
    route = Route(name="hop", host="", prefix="/", repeat=Repeat.ONCE, targets=())
    return AdmittedRequest(
        call=call,
        route=route,
        service=service.decode("latin-1"),
        account=None if account is None else account.decode("latin-1"),
        urgency=urgency_told(find(req.headers, HOP_URGENCY)),
        deadline_ms=req.arrived_ms + int(left),
        resume_after=None if resume is None else resume.decode("latin-1"),
    )

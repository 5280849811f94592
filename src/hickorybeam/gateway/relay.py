"""The service ``relay``: the ports that callers, other VMs and operators' tools connect to."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, ClassVar

import anyio
from absl import logging

from hickorybeam.errors import ErrorKind
from hickorybeam.gateway.crashes.part_blocks import SUSPECTS_PATH, PartBlocksService
from hickorybeam.gateway.feed import CHANGES_PATH, SNAPSHOT_PATH, FeedService
from hickorybeam.gateway.fleet import FleetService
from hickorybeam.gateway.forwarding.hop import (
    HOP_NOT_RUN,
    MAX_HOP_HEADER_BYTES,
    NO_SERVER_ASKED,
    decode_forwarded_request,
    hop_run,
)
from hickorybeam.gateway.held_bytes import HeldBytes
from hickorybeam.gateway.intake_bounds import IntakeBounds
from hickorybeam.gateway.learned_metrics import LearnedMetrics
from hickorybeam.gateway.report_metrics import ReportMetrics
from hickorybeam.gateway.request_handler import RequestHandler
from hickorybeam.gateway.seed_bootstrap import STATE_PATH
from hickorybeam.gateway.settings_limits import shutdown_times
from hickorybeam.gateway.stray_log import StrayLog
from hickorybeam.http1 import HttpServer, UpstreamPool, parse_count
from hickorybeam.kernel import Service
from hickorybeam.platform import REQUEST_ID, decode_query, directory_response, refusal_headers
from hickorybeam.policy.directory_listing import RegionVms, vms_to_list
from hickorybeam.ports import FEED, FLEET, PART_BLOCKS, RELAY
from hickorybeam.sockets import bind_socket, split_address
from hickorybeam.telemetry.decisions import DecisionLog
from hickorybeam.telemetry.promise_log import PromiseLog

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable, Sequence

    from anyio.abc import TaskGroup

    from hickorybeam.clock import Clock
    from hickorybeam.http1 import IncomingRequest, RawHeaders, ResponseWriter
    from hickorybeam.http1.server import Handler
    from hickorybeam.kernel import Kernel, Started
    from hickorybeam.model.routing import CallerLimits, GatewayVm
    from hickorybeam.policy.shutdown import ShutdownSchedule
    from hickorybeam.settings import GatewaySettings, Settings
    from hickorybeam.telemetry import Counters

__all__ = ("Ports", "RelayService")

# How long callers cache a directory response; some cache it three times as long. Until then they
# use a VM that is gone or shutting down; one that is shutting down still accepts everything then.
DIRECTORY_TTL_MS = 800
CONNECT_TIMEOUT_MS = 600
UNACKED_TIMEOUT_MS = 2_000
# What the kernel keeps of a response whose caller reads nothing. Only callers hold responses up:
# what this VM asks for itself, such as a large configuration, is read at once.
RESPONSE_RECEIVE_BYTES = 65_536
METRICS_PATH = b"/metrics"
CHANGES_PREFIX = CHANGES_PATH.encode()
JSON_HEADERS = ((b"content-type", b"application/json"),)
MSGPACK_HEADERS = ((b"content-type", b"application/msgpack"),)
METRICS_HEADERS = ((b"content-type", b"text/plain; version=0.0.4"),)
DRAIN_POLL_INTERVAL_MS = 25
MAX_SHUTDOWN_SLEEP_MS = 200
# No call of the ports for readiness, the directory and the state has a body.
MAX_UNUSED_BODY_BYTES = 16_384
NO_SERVICE = 503
# Another VM may have room at once, and this one has as soon as a crowd has been refused.
NO_ROOM_RETRY_AFTER_MS = 500
NO_ROOM_HEADERS = refusal_headers("", retry_after_ms=NO_ROOM_RETRY_AFTER_MS)


@dataclass(frozen=True, slots=True)
class Ports:
    """TCP port numbers of one VM; 0 until bound."""

    callers: int = 0
    peers: int = 0
    ready: int = 0
    directory: int = 0
    state: int = 0


class RelayService(Service):
    """Listens on the VM's ports and passes requests to their handlers."""

    name: ClassVar[str] = RELAY
    needs: ClassVar[tuple[str, ...]] = (FEED, FLEET, PART_BLOCKS)

    def __init__(self, *, cfg: Settings, clock: Clock, counters: Counters) -> None:
        self._cfg = cfg
        self._clock = clock
        self._counters = counters
        self._promises = PromiseLog(clock, counters)
        self._strays = StrayLog(clock, counters)
        self._servers: list[HttpServer] = []
        self._bounds = IntakeBounds(cfg=cfg, clock=clock, counters=counters)
        self._bound_ports = Ports()
        self._leaving = False
        self._learned_metrics = LearnedMetrics(counters)
        self._report_metrics = ReportMetrics(counters)
        self._in_flight = counters.gauge("requests_in_flight", "Requests being answered")

    def bind(self, kernel: Kernel) -> None:
        """Look up the feed and the fleet, and set up the request handler."""
        self._feed = kernel.find(FEED, FeedService)
        self._fleet = kernel.find(FLEET, FleetService)
        if self._cfg.gateway is None:
            raise ValueError("settings have no section 'gateway'")
        self._gateway = self._cfg.gateway
        self._part_blocks = kernel.find(PART_BLOCKS, PartBlocksService)
        pool = UpstreamPool(
            self._clock,
            connect_ms=CONNECT_TIMEOUT_MS,
            silent_ms=UNACKED_TIMEOUT_MS,
            receive_bytes=RESPONSE_RECEIVE_BYTES,
        )
        pool.on_stray = self._strays.record
        self._handler = RequestHandler(
            cfg=self._gateway,
            clock=self._clock,
            counters=self._counters,
            feed=self._feed,
            fleet=self._fleet,
            pool=pool,
            log=DecisionLog(self._clock),
            promises=self._promises,
            part_blocks=self._part_blocks,
            held_bytes=HeldBytes(self._bounds.max_held_bytes),
        )
        self._fleet.region_forecasts = self._handler.forecasts

    def reload(self, cfg: GatewaySettings) -> None:
        """Apply changed settings to running and new requests; connections stay open."""
        self._gateway = cfg
        self._handler.reload(cfg)

    async def main(self, started: Started) -> None:
        """Listen until cancelled; after a crash, listen on the same ports again."""
        try:
            async with anyio.create_task_group() as tg:
                for port, handler, sock in self._listeners():
                    server = self._server(port, handler, tg)
                    await server.listen_on(sock)
                    self._servers.append(server)
                self._in_flight.set_function(lambda: self._caller_server.in_flight)
                tg.start_soon(self._handler.run_placement)
                self._fleet.start_registering(caller_port=self._caller_server.port)
                started()
        finally:
            self._bound_ports = self.ports() if self._servers else self._bound_ports
            for server in self._servers:
                server.stop_accepting()
            self._servers = []

    def _server(self, port: str, handler: Handler, tg: TaskGroup) -> HttpServer:
        """Return a server; that of the peers' port takes the heads that other VMs' make longer.

        What it refuses by itself has not run, and the VM that forwarded it may ask elsewhere. The
        refusal is none of a backend server's, and must not reach the caller as one.
        """
        is_for_peers = port == "peers"
        limits = {"callers": self._caller_limits, "peers": self._peer_limits}
        judges = {"callers": self._handler.check_head, "peers": check_forwarded_head}
        return HttpServer(
            handler,
            clock=self._clock,
            tasks=tg,
            limits=limits.get(port, self._bodiless_limits),
            on_refused=self._record_refused,
            id_header=REQUEST_ID,
            echoes_id=port in ("peers", "state"),
            refusal_headers=peer_refusal_headers if is_for_peers else caller_refusal_headers,
            judge=judges.get(port, refuse_body),
            intake=self._bounds.of_port(port),
            # A run whose VM is cut off would go on for nobody.
            silent_ms=UNACKED_TIMEOUT_MS if is_for_peers else 0,
        )

    def _caller_limits(self) -> CallerLimits:
        """Return the operator's limits, with bodies no larger than this VM can ever have room for.

        Such a request would be refused for lack of room each time, and come back for ever.
        """
        limits = self._feed.routing_state.caller_limits()
        most = self._bounds.largest_body
        return limits if limits.body_bytes <= most else replace(limits, body_bytes=most)

    def _peer_limits(self) -> CallerLimits:
        limits = self._caller_limits()
        return replace(limits, header_bytes=limits.header_bytes + MAX_HOP_HEADER_BYTES)

    def _bodiless_limits(self) -> CallerLimits:
        return replace(self._feed.routing_state.caller_limits(), body_bytes=MAX_UNUSED_BODY_BYTES)

    def _listeners(self) -> tuple[tuple[str, Handler, socket.socket], ...]:
        cfg, bound = self._gateway, self._bound_ports
        return (
            ("callers", self._handler.handle, bind_address(cfg.callers, bound.callers)),
            ("peers", self._serve_peer, self._fleet.take_peer_socket()),
            ("ready", self._serve_readiness, bind_address(cfg.ready, bound.ready)),
            ("directory", self._serve_directory, bind_address(cfg.directory, bound.directory)),
            ("state", self._serve_state, bind_address(cfg.state, bound.state)),
        )

    @property
    def _caller_server(self) -> HttpServer:
        return self._servers[0]

    def ports(self) -> Ports:
        """Return the ports that the service listens on."""
        return Ports(*(server.port for server in self._servers))

    async def drain(self) -> None:
        """Leave the directory, refuse requests that might not finish, and finish the others.

        Callers keep using open connections and cached directory responses for a while. If the
        ports were closed at once, requests already on their way would be cut off.
        """
        began_ms = self._clock.now()
        self._leaving = True
        for server in self._servers:
            server.closing = True
        await self._fleet.announce_leaving()
        await self._sleep_in_shutdown(began_ms, lambda it: it.accept_all_until_ms)
        self._handler.accept_until(round(began_ms + self._shutdown().finish_by_ms))
        await self._sleep_in_shutdown(began_ms, lambda it: it.accept_until_ms)
        self._handler.drain()
        for server in self._servers:
            server.stop_accepting()
            server.close_idle()
        while (
            self._unfinished_count()
            and self._clock.now() < began_ms + self._shutdown().finish_by_ms
        ):
            await self._clock.sleep(DRAIN_POLL_INTERVAL_MS)
            for server in self._servers[:2]:
                server.close_idle()
        logging.info("drained, %d requests cut off", self._unfinished_count())

    def _shutdown(self) -> ShutdownSchedule:
        return shutdown_times(self._gateway)

    async def _sleep_in_shutdown(
        self, began_ms: int, phase_ends_ms: Callable[[ShutdownSchedule], float]
    ) -> None:
        """Sleep until a phase of a shutdown ends; its length may change with the settings."""
        while (left_ms := began_ms + phase_ends_ms(self._shutdown()) - self._clock.now()) > 0:
            await self._clock.sleep(min(left_ms, MAX_SHUTDOWN_SLEEP_MS))

    def _unfinished_count(self) -> int:
        return sum(server.unfinished for server in self._servers[:2])

    def _record_refused(self, status: int, request_id: str) -> None:
        """Count and log a request that was refused before it was read; none of it has run."""
        kind = ErrorKind.VM_FULL.value if status == NO_SERVICE else f"malformed_{status}"
        self._counters.refusals.labels(kind).inc()
        self._promises.write_unread(request_id, status=status, kind=kind)

    async def _serve_peer(self, req: IncomingRequest, reply: ResponseWriter) -> None:
        """Serve the peers' port: requests forwarded by another region's VM, metrics, changes.

        A forwarded request is run by a server of this region.
        """
        if req.target == METRICS_PATH:
            states = self._feed.routing_state.server_states.values()
            self._learned_metrics.update(states, self._clock.now())
            self._report_metrics.update(self._fleet.peers.report_ages_ms())
            reply.send(200, METRICS_HEADERS, self._counters.text())
            return
        if req.target.startswith(CHANGES_PREFIX):
            after = parse_count(req.target.removeprefix(CHANGES_PREFIX))
            send_state(reply, None if after is None else self._feed.changes_after(after))
            return
        if req.target == SNAPSHOT_PATH.encode():
            send_state(reply, self._feed.encode_snapshot())
            return
        request = decode_forwarded_request(req)
        if request is None:
            reply.send(404)
            return
        await self._handler.handle_forwarded(request, reply, hop_run(req.headers))

    async def _serve_readiness(self, req: IncomingRequest, reply: ResponseWriter) -> None:
        ready = self._feed.routing_state.config is not None and not self._leaving
        reply.send(200 if ready else 503)

    async def _serve_directory(self, req: IncomingRequest, reply: ResponseWriter) -> None:
        """Send the addresses of the VMs that the caller should use."""
        query = decode_query(req.target)
        if query is None:
            reply.send(404)
            return
        vms = self._listed_vms(query.host, query.region)
        if not vms:
            reply.send(503)
            return
        addresses = [f"{vm.host}:{vm.caller_port}" for vm in vms[:64]]
        body = directory_response(addresses, ttl_ms=DIRECTORY_TTL_MS)
        reply.send(200, JSON_HEADERS, body)

    def _listed_vms(self, host: str, region: str) -> Sequence[GatewayVm]:
        """Return the VMs that a caller of a region should use."""
        routing_state = self._feed.routing_state
        if routing_state.config is None:
            # Home regions aren't known yet; VMs outside them could not serve the caller.
            return ()
        return vms_to_list(
            region,
            homes=routing_state.route_table.homes(host.lower()),
            regions=set(self._gateway.regions.values()),
            vms_of=self._vms_by_phase,
            fleet_known=self._fleet.fleet_known(),
        )

    def _vms_by_phase(self, region: str) -> RegionVms:
        """Return a region's VMs by what they still accept."""
        schedule = shutdown_times(self._gateway)
        leaving = self._fleet.leaving_vms(region)
        return RegionVms(
            serving=self._fleet.region_vms(region),
            draining=[vm for vm, for_ms in leaving if for_ms < schedule.accept_all_until_ms],
            draining_short_only=[
                vm
                for vm, for_ms in leaving
                if schedule.accept_all_until_ms <= for_ms < schedule.accept_until_ms
            ],
        )

    async def _serve_state(self, req: IncomingRequest, reply: ResponseWriter) -> None:
        """Send what a VM needs that starts while the store is away."""
        path = req.target.decode("latin-1")
        if path == STATE_PATH and self._feed.routing_state.config:
            reply.send(200, MSGPACK_HEADERS, self._feed.encode_state())
        elif path == SUSPECTS_PATH:
            reply.send(200, MSGPACK_HEADERS, self._part_blocks.encode_suspects())
        else:
            reply.send(404)


def caller_refusal_headers(status: int) -> RawHeaders:
    """Return the headers of a refusal before a request was read whole."""
    return NO_ROOM_HEADERS if status == NO_SERVICE else ()


def peer_refusal_headers(status: int) -> RawHeaders:
    """Return the headers of such a refusal that another VM gets."""
    return (*caller_refusal_headers(status), (HOP_NOT_RUN, NO_SERVER_ASKED))


def check_forwarded_head(head: IncomingRequest) -> Callable[[ResponseWriter], None] | None:
    """Refuse a large body on the peers' port that belongs to no forwarded request."""
    return None if decode_forwarded_request(head) else refuse_body(head)


def refuse_body(head: IncomingRequest) -> Callable[[ResponseWriter], None]:
    """Refuse a large body where none is expected."""
    return lambda reply: reply.send(404)


def send_state(reply: ResponseWriter, state: bytes | None) -> None:
    """Send what another VM lacks; 404 if it is not known here."""
    if state is None:
        reply.send(404)
    else:
        reply.send(200, MSGPACK_HEADERS, state)


def bind_address(address: str, bound_port: int) -> socket.socket:
    """Return a socket bound to ``host:port``.

    :param bound_port: port of an earlier start; if not 0, used instead of the address's own.
    """
    host, port = split_address(address)
    return bind_socket(host, bound_port or port)

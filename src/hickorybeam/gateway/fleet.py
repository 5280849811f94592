"""The service ``fleet``: which VMs there are, what accounts spend there, and their server usage.

Each VM registers itself in the store under a lease, and sends status reports to the others in
datagrams: running totals of what accounts spent, its usage of backend servers, and the expected
wait in its region. A lost datagram does no lasting harm, since every report is whole or soon
followed by a whole one.
"""

from __future__ import annotations

import random
import secrets
from dataclasses import replace
from typing import TYPE_CHECKING, ClassVar

import anyio
import msgspec
from absl import logging

from hickorybeam.gateway.coordinator_ranking import CoordinatorRanking
from hickorybeam.gateway.crashes.notice import CrashNotice
from hickorybeam.gateway.datagrams import PeerPort
from hickorybeam.gateway.feed import FeedService
from hickorybeam.gateway.forwarding.run_messages import (
    CancelRun,
    CheckRun,
    RunAnswers,
    RunEnded,
)
from hickorybeam.gateway.leaving_records import LeavingRecords
from hickorybeam.gateway.peers import DISCOVERY_MS, MIN_STABLE_MS, PeerTable
from hickorybeam.gateway.placement.messages import (
    HeldPlacements,
    PlacementRequest,
    PlacementResponse,
    PlacementUpdate,
)
from hickorybeam.gateway.registration import Registration
from hickorybeam.gateway.report_receiver import ReportReceiver
from hickorybeam.gateway.server_notices import ServerNotices
from hickorybeam.gateway.server_rates import ServerRates
from hickorybeam.gateway.status_report import Audience, StatusReport
from hickorybeam.gateway.stream_messages import StreamAnswer, StreamQuestion
from hickorybeam.gateway.usage_reporting import OwnUsage, apply_peer_usage
from hickorybeam.gateway.version_records import VersionRecords
from hickorybeam.kernel import Service
from hickorybeam.model.routing import GatewayVm
from hickorybeam.policy.fleet_quota import FleetQuota
from hickorybeam.policy.prefix_holders import PrefixHolders
from hickorybeam.policy.report_intervals import (
    jittered_interval_ms,
    local_report_interval_ms,
    peer_timeout_ms,
    remote_report_interval_ms,
    watch_pause_ms,
    watch_poll_timeout_ms,
    watcher_timeout_ms,
)
from hickorybeam.policy.stream_versions import StreamVersions
from hickorybeam.policy.watchers import count_watchers, should_watch
from hickorybeam.ports import FEED, FLEET, PLATFORM
from hickorybeam.store import PollingPlatform, WatchBatch
from hickorybeam.untrusted import InvalidBytesError, decode_msgpack

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable, Sequence
    from typing import Any

    from hickorybeam.clock import Clock
    from hickorybeam.gateway.peers import Peer, RemoteCandidate
    from hickorybeam.gateway.status_report import (
        GrantedUsage,
        ReportedLoad,
        ServerUsage,
        WaitForecast,
    )
    from hickorybeam.http1.pool import Address
    from hickorybeam.kernel import Kernel, Started
    from hickorybeam.policy.crash_messages import ToldPart
    from hickorybeam.policy.stream_versions import ToldStreams
    from hickorybeam.settings import GatewaySettings, Settings
    from hickorybeam.telemetry import Counters

__all__ = ("FleetService",)

# All messages that VMs send each other in datagrams.
PeerMessage = (
    StatusReport
    | PlacementRequest
    | PlacementResponse
    | PlacementUpdate
    | HeldPlacements
    | StreamQuestion
    | StreamAnswer
    | CrashNotice
    | CancelRun
    | CheckRun
    | RunEnded
    | RunAnswers
)
# Anybody can send datagrams, as many as the link carries.
INVALID_LOG_INTERVAL_S = 1
# One in this many reports to the own data centre is whole; the others hold only what changed.
WHOLE_REPORT_EVERY = 10
# VMs of the own data centre that one report tells of streams, in turn; the others can ask them.
MAX_TOLD_OF_STREAMS = 4


class FleetService(Service):
    """Tracks the other VMs and exchanges status reports with them."""

    name: ClassVar[str] = FLEET
    needs: ClassVar[tuple[str, ...]] = (PLATFORM, FEED)

    def __init__(self, *, cfg: Settings, clock: Clock, counters: Counters) -> None:
        self._cfg = cfg
        self._clock = clock
        self._started_ms = clock.now()
        self._regions = cfg.gateway.regions if cfg.gateway else {}
        allowance = cfg.gateway.quota_allowance if cfg.gateway else 0.0
        self.quota = FleetQuota(allowance=allowance)
        self._own_usage = OwnUsage(clock, self.quota)
        self.prefix_holders = PrefixHolders(audience.value for audience in Audience)
        self.stream_versions = StreamVersions()
        self._leaving_since_ms: int | None = None
        # Returns the expected waits in this region, for a report to another one.
        self.region_forecasts: Callable[[], dict[str, WaitForecast]] = dict
        # Sum of the report intervals of the region's other VMs.
        self.report_lag_ms = 0.0
        self.own_vm = GatewayVm(
            name=cfg.vm.name,
            incarnation=secrets.token_hex(4),
            region=cfg.vm.region,
            data_centre=cfg.vm.data_centre,
            host=cfg.vm.host,
            caller_port=0,
            peer_port=cfg.vm.peer_port,
            power=cfg.vm.power,
        )
        self.peers = PeerTable(clock, self.own_vm)
        self.coordinators = CoordinatorRanking(self.own_vm, self.peers, self._is_stable)
        self._counters = counters
        self._message_handlers: dict[type[PeerMessage], Callable[[Any], None]] = {}
        # Returns this VM's usage of servers in slots that other VMs granted.
        self.granted_usage: Callable[[], GrantedUsage] = dict
        # Returns accounts' leads at overloaded services that this VM places for its region.
        self.account_leads: Callable[[], dict[str, dict[str, float]]] = dict
        # Returns the parts of prompts that servers crashed under, for whole reports.
        self.suspects_to_report: Callable[[bool], list[ToldPart]] = lambda to_new_vm: []
        self._rng = random.Random()
        self._local_report_count = 0
        self._report_turns: dict[str, int] = {}
        self._serving = anyio.Event()
        self._peer_port = PeerPort(cfg.vm.host, cfg.vm.peer_port)
        self._sent_bytes = counters.counter("peer_bytes", "Bytes of datagrams sent to other VMs")
        live_vms = counters.gauge("vms_heard", "Live VMs of the fleet, including this one")
        live_vms.set_function(lambda: self.live_vm_count())

    @property
    def leaving(self) -> bool:
        """Whether this VM is shutting down."""
        return self._leaving_since_ms is not None

    def bind(self, kernel: Kernel) -> None:
        """Look up the store and the feed."""
        self._store = kernel.find(PLATFORM, PollingPlatform)  # type: ignore[type-abstract]
        self._feed = kernel.find(FEED, FeedService)
        self._feed.on_batch(self._apply_batch)
        self._feed.on_config(self._apply_config)
        self.server_notices = ServerNotices(self._clock, self._feed.routing_state, self._counters)
        self._leaving_records = LeavingRecords(
            clock=self._clock,
            store=self._store,
            prefix=f"{self._cfg.platform.prefix}leaving/",
            server_notices=self.server_notices,
        )
        self.version_records = VersionRecords(
            clock=self._clock,
            store=self._store,
            prefix=self._cfg.platform.prefix,
            feed=self._feed,
        )
        self.server_rates = ServerRates(
            routing_state=self._feed.routing_state,
            coordinators=self.coordinators,
            own_name=self.own_vm.name,
        )
        self.reports = ReportReceiver(
            clock=self._clock,
            own_vm=self.own_vm,
            feed=self._feed,
            peers=self.peers,
            quota=self.quota,
            prefix_holders=self.prefix_holders,
            stream_versions=self.stream_versions,
            server_notices=self.server_notices,
            send_levels=self._send_levels,
        )
        self.on_message(StatusReport, self.reports.receive)
        key = f"{self._cfg.platform.prefix}vm/{self.own_vm.name}"
        self._registration = Registration(self._store, self._clock, key)

    def reload(self, cfg: GatewaySettings) -> None:
        """Use the new regions, and the new allowance for accounts that are added from now on."""
        self.quota.allowance = cfg.quota_allowance
        self._regions = cfg.regions
        # Servers may be in other regions now.
        self._feed.routing_state.servers_revision += 1

    def region_of(self, data_centre: str) -> str | None:
        """Return the region of a data centre, ``None`` if it isn't in the settings."""
        return self._regions.get(data_centre)

    def in_own_region(self, data_centre: str) -> bool:
        """Return whether a data centre is in this VM's region."""
        return self.region_of(data_centre) == self.own_vm.region

    def _is_stable(self) -> bool:
        return self._clock.now() - self._started_ms >= MIN_STABLE_MS and not self.leaving

    def fleet_known(self) -> bool:
        """Return whether this VM has run long enough to have received reports of all others."""
        return self._clock.now() - self._started_ms >= DISCOVERY_MS

    def live_vm_count(self) -> int:
        """Return the number of live VMs, this one included."""
        return 1 + self.peers.live_count()

    def known_vm_count(self) -> int:
        """Return the number of known VMs that are not leaving, this one included."""
        return 1 + self.peers.known_count()

    def region_vms(self, region: str) -> list[GatewayVm]:
        """Return the VMs of a region that accept callers' requests."""
        found = self.peers.serving_vms(region)
        if region == self.own_vm.region and not self.leaving:
            found.append(self.own_vm)
        return found

    def leaving_vms(self, region: str) -> list[tuple[GatewayVm, int]]:
        """Return the VMs of a region that are shutting down, and for how long each has, in ms."""
        found = self.peers.leaving_vms(region)
        if region == self.own_vm.region and self._leaving_since_ms is not None:
            found.append((self.own_vm, self._clock.now() - self._leaving_since_ms))
        return found

    def on_message(self, kind: type[PeerMessage], handle: Callable[[Any], None]) -> None:
        """Register the handler of a kind of message; messages without a handler are dropped."""
        self._message_handlers[kind] = handle

    def send_message(self, vm: str, message: PeerMessage) -> None:
        """Send a message to one VM of the region, if it is known."""
        peer = self.peers.by_name.get(vm)
        if peer is not None:
            self._send_datagram(msgspec.msgpack.encode(message), peer)

    def send_to(self, address: Address, message: PeerMessage) -> None:
        """Send a message to the VM at an address, whichever VM is known there now."""
        self._send_bytes(msgspec.msgpack.encode(message), address)

    def has_local_watcher(self) -> bool:
        """Return whether another live VM of this data centre watches the store."""
        return any(self._live_local_peers().values())

    def hears_nobody(self) -> bool:
        """Return whether all that this VM hears of has been silent for a while.

        The store may be silent as nothing changes, and other VMs as they have ended. If the store
        answers a call after their reports have been missed, this VM is not cut off.
        """
        since_ms = self.peers.isolated_since_ms()
        answered_ms = self._store.answered_ms
        return since_ms is not None and (answered_ms is None or answered_ms <= since_ms)

    def store_answer_age_ms(self) -> int | None:
        """Return the time since the store last answered a call, ``None`` if it never has."""
        answered_ms = self._store.answered_ms
        return None if answered_ms is None else self._clock.now() - answered_ms

    def report_cold(self, server_id: str, cold_ms: int) -> None:
        """Report to the region's VMs that a server said it is cold."""
        self._own_usage.mark_cold(server_id, cold_ms)

    def remote_candidates(self, service: str, *, leaving: bool = False) -> list[RemoteCandidate]:
        """Return VMs of other regions that accept requests for a service.

        :param leaving: return VMs that are shutting down instead of those that are not.
        """
        return self.peers.remote_candidates(service, leaving=leaving)

    async def main(self, started: Started) -> None:
        """Register and exchange reports until cancelled."""
        port = await self._peer_port.open(self.receive_datagram)
        self.own_vm = replace(self.own_vm, peer_port=port)
        started()
        try:
            async with anyio.create_task_group() as tg:
                tg.start_soon(self._register)
                tg.start_soon(self._leaving_records.keep)
                tg.start_soon(self.version_records.keep)
                tg.start_soon(self._report_locally)
                tg.start_soon(self._report_remotely)
        finally:
            self._peer_port.close()

    def take_peer_socket(self) -> socket.socket:
        """Return a socket bound to the TCP side of the peers' port."""
        return self._peer_port.take_tcp_socket()

    def start_registering(self, *, caller_port: int) -> None:
        """Start to register this VM, once callers and peers can connect."""
        self.own_vm = replace(self.own_vm, caller_port=caller_port)
        self._serving.set()

    async def announce_leaving(self) -> None:
        """Report that this VM is shutting down, and delete its registration."""
        self._leaving_since_ms = self._clock.now()
        self._send_local_reports()
        encoded: dict[Audience, bytes] = {}
        for peers in self.peers.remote_peers().values():
            for peer in peers:
                self._send_report(peer, encoded)
        await self._registration.withdraw()

    async def _register(self) -> None:
        await self._serving.wait()
        await self._registration.keep_registered(self.own_vm)

    def _apply_config(self) -> None:
        config = self._feed.routing_state.config
        if config is not None:
            self.quota.configure(config.accounts.values(), self._clock.now())

    def _apply_batch(self, batch: WatchBatch) -> None:
        prefix = f"{self._cfg.platform.prefix}vm/"
        for item in batch.puts:
            if item.key.startswith(prefix):
                self.peers.apply_registration(item.value)
        for key in batch.deletes:
            if key.startswith(prefix):
                self.peers.mark_unregistered(key.removeprefix(prefix))
        self.peers.prune()
        self._leaving_records.apply(batch)
        self.version_records.apply(batch)
        if self._registration.key in batch.deletes:
            self._registration.entry_deleted()

    async def _report_locally(self) -> None:
        while True:
            await self._clock.sleep(local_report_interval_ms(len(self.peers.local_peers())))
            now = self._clock.now()
            self.peers.prune()
            self.coordinators.invalidate()
            self._adjust_intervals()
            self.quota.set_live_vms(1 + self.peers.quota_peer_count(), self.known_vm_count(), now)
            live_peers = [it for it in self.peers.by_name.values() if self.peers.is_live(it)]
            apply_peer_usage(self._feed.routing_state, live_peers, own_name=self.own_vm.name)
            self._send_local_reports()

    async def _report_remotely(self) -> None:
        while True:
            just_started = not self.fleet_known()
            interval_ms = remote_report_interval_ms(
                self.known_vm_count(), just_started=just_started
            )
            await self._clock.sleep(jittered_interval_ms(interval_ms, self._rng))
            self._send_remote_reports()

    def _adjust_intervals(self) -> None:
        """Adjust intervals and timeouts to the fleet's size, and whether to watch the store."""
        local, watchers = (
            len(self.peers.local_peers()),
            count_watchers(self.peers.data_centre_sizes()),
        )
        self.peers.peer_timeout_ms = peer_timeout_ms(local_peers=local, vms=self.known_vm_count())
        self.quota.peer_timeout_ms = self.peers.quota_peer_timeout_ms()
        self._store.watch_pause_ms = watch_pause_ms(watchers)
        self._store.watch_poll_timeout_ms = watch_poll_timeout_ms(watchers)
        self._feed.set_watcher(should_watch(self.own_vm.name, self._live_local_peers()))
        self.report_lag_ms = self.peers.report_lag_ms()

    def _live_local_peers(self) -> dict[str, bool]:
        """Return the VMs of this data centre that are live by the timeout for watchers.

        The value is whether a VM watches the store.
        """
        return self.peers.live_local_peers(watcher_timeout_ms(len(self.peers.local_peers())))

    def _send_local_reports(self) -> None:
        """Send a report to every VM of this data centre, with those received from other ones."""
        self._local_report_count += 1
        whole = self._local_report_count % WHOLE_REPORT_EVERY == 0
        relayed = self.reports.take_to_relay()
        report = self._build_report(Audience.NEAR, whole=whole, relayed=relayed, with_levels=False)
        data = data_without_streams = msgspec.msgpack.encode(report)
        peers = self.peers.local_peers()
        if report.streams and len(peers) > MAX_TOLD_OF_STREAMS:
            data_without_streams = msgspec.msgpack.encode(
                msgspec.structs.replace(report, streams=[])
            )
        first_told = self._local_report_count * MAX_TOLD_OF_STREAMS
        for index, peer in enumerate(peers):
            is_told = (index - first_told) % len(peers) < MAX_TOLD_OF_STREAMS
            self._send_datagram(data if is_told else data_without_streams, peer)

    def _send_remote_reports(self) -> None:
        """Send a report to one VM of each other data centre, in rotation; it relays the report.

        A full mesh over all data centres would cost each VM as many datagrams as there are VMs,
        and traffic between data centres is billed.
        """
        encoded: dict[Audience, bytes] = {}
        for data_centre, peers in self.peers.remote_peers().items():
            turn = self._report_turns.get(data_centre, self._first_turn())
            self._report_turns[data_centre] = turn + 1
            self._send_report(peers[turn % len(peers)], encoded)

    def _send_report(self, peer: Peer, encoded: dict[Audience, bytes]) -> None:
        """Send a report to a VM of another data centre.

        :param encoded: reports encoded so far, by audience.
        """
        audience = Audience.ASIDE if self.peers.in_own_region(peer) else Audience.FAR
        if audience not in encoded:
            encoded[audience] = self._encode_report(audience)
        self._send_datagram(encoded[audience], peer)

    def _first_turn(self) -> int:
        """Return the first index of this VM's rotation; VMs differ, to spread their reports."""
        return int(self.own_vm.incarnation, 16)

    def _encode_report(
        self,
        audience: Audience,
        *,
        whole: bool = True,
        relayed: Sequence[StatusReport] = (),
        with_levels: bool = False,
    ) -> bytes:
        report = self._build_report(audience, whole=whole, relayed=relayed, with_levels=with_levels)
        return msgspec.msgpack.encode(report)

    def _send_datagram(self, data: bytes, peer: Peer) -> None:
        self._send_bytes(data, (peer.vm.host, peer.vm.peer_port))

    def _send_bytes(self, data: bytes, address: Address) -> None:
        self._sent_bytes.inc(self._peer_port.send(data, address))

    def _build_report(
        self, audience: Audience, *, whole: bool, relayed: Sequence[StatusReport], with_levels: bool
    ) -> StatusReport:
        far = audience is Audience.FAR
        granted = {} if far else self.granted_usage()
        return StatusReport(
            name=self.own_vm.name,
            incarnation=self.own_vm.incarnation,
            up_ms=self._clock.now() - self._started_ms,
            leaving=self.leaving,
            revision=self._feed.revision,
            follows=self._feed.watches_store,
            fresh=self.reports.needs_levels,
            spent=self._own_usage.spent(whole=whole),
            servers={} if far else self._server_usage(granted, whole=whole),
            forecasts=self.region_forecasts() if far else {},
            whole=whole,
            relayed=list(relayed),
            levels=self.quota.levels() if with_levels else None,
            # Other VMs may not know it: one that restarts while the store is out isn't registered.
            vm=None if self._registration.held else self.own_vm,
            holds={} if with_levels else self.prefix_holders.take_updates(audience.value),
            cold={} if far else self._own_usage.remaining_cold_ms(),
            granted=granted,
            limits={} if far else self.server_notices.limits.to_report(to_new_vm=with_levels),
            departing=({} if far else self.server_notices.heard_leaving(to_new_vm=with_levels)),
            leads=self.account_leads() if whole else {},
            loads={} if far else self._loads_to_report(),
            suspects=self.suspects_to_report(with_levels) if whole else [],
            streams=[] if with_levels else self._untold_streams(audience),
        )

    def _untold_streams(self, audience: Audience) -> list[ToldStreams]:
        return self.stream_versions.take_untold(audience.value, self._clock.now())

    def _loads_to_report(self) -> dict[str, ReportedLoad]:
        """Return what servers told this VM, but for those that one VM places all requests to.

        That VM is told with the updates on its requests.
        """
        return self.server_notices.loads.to_report(is_told=self.server_rates.is_coordinated)

    def _server_usage(self, granted: GrantedUsage, *, whole: bool) -> dict[str, ServerUsage]:
        return self._own_usage.server_usage(self._feed.routing_state, granted, whole=whole)

    def receive_datagram(self, data: bytes) -> None:
        """Decode a datagram and pass it to the handler of its type."""
        try:
            message = decode_msgpack(data, PeerMessage)
        except InvalidBytesError as exc:
            logging.log_every_n_seconds(
                logging.WARNING, "invalid datagram ignored: %s", INVALID_LOG_INTERVAL_S, exc
            )
            return
        handle = self._message_handlers.get(type(message))
        if handle is not None:
            handle(message)

    def _send_levels(self, peer: Peer) -> None:
        """Send this VM's quota levels to one that has just started."""
        audience = Audience.ASIDE if self.peers.in_own_region(peer) else Audience.FAR
        self._send_datagram(self._encode_report(audience, with_levels=True), peer)

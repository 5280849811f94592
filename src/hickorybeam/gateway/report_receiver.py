"""Apply other VMs' status reports, directly received or relayed by a VM of this data centre."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from absl import logging

from hickorybeam.gateway.peers import DISCOVERY_MS
from hickorybeam.policy.report_age import ReportAge

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorybeam.clock import Clock
    from hickorybeam.gateway.feed import FeedService
    from hickorybeam.gateway.peers import Peer, PeerTable
    from hickorybeam.gateway.server_notices import ServerNotices
    from hickorybeam.gateway.status_report import StatusReport
    from hickorybeam.http1.pool import Address
    from hickorybeam.model.routing import GatewayVm
    from hickorybeam.policy.crash_messages import ToldPart
    from hickorybeam.policy.fleet_quota import FleetQuota
    from hickorybeam.policy.prefix_holders import PrefixHolders
    from hickorybeam.policy.stream_versions import StreamVersions

    # Takes a region and the leads of its accounts, by service, as its coordinator told them.
    LeadsHandler = Callable[[str, dict[str, dict[str, float]]], None]
    # Takes the parts of prompts that servers crashed under.
    SuspectsHandler = Callable[[list[ToldPart]], None]

__all__ = ("ReportReceiver",)

# Twice the largest fleet. Anybody can send datagrams in a VM's name, as many as the link carries,
# until the next report takes along what there is to relay.
MAX_TO_RELAY = 800
# A VM that stood still reads many at once.
OLD_REPORT_LOG_INTERVAL_S = 1


class ReportReceiver:
    """Passes what status reports tell to whoever keeps it.

    :param own_vm: the VM of this process.
    :param send_levels: sends this VM's quota levels to a VM that has just started.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        own_vm: GatewayVm,
        feed: FeedService,
        peers: PeerTable,
        quota: FleetQuota,
        prefix_holders: PrefixHolders,
        stream_versions: StreamVersions,
        server_notices: ServerNotices,
        send_levels: Callable[[Peer], None],
    ) -> None:
        self._clock = clock
        self._started_ms = clock.now()
        self._own_vm = own_vm
        self._feed = feed
        self._peers = peers
        self._quota = quota
        self._prefix_holders = prefix_holders
        self._stream_versions = stream_versions
        self._server_notices = server_notices
        self._send_levels = send_levels
        self._to_relay: list[StatusReport] = []
        # By name, for one start of the VM.
        self._ages: dict[str, tuple[str, ReportAge]] = {}
        self.on_leads: LeadsHandler = lambda region, leads: None
        self.on_suspects: SuspectsHandler = lambda suspects: None
        # Whether this VM has just started and needs an older one's quota levels.
        self.needs_levels = True

    def receive(self, report: StatusReport) -> None:
        """Apply a VM's report and those that it relays."""
        sender = self._apply(report)
        for relayed in report.relayed:
            if relayed.name != self._own_vm.name:
                self._apply(relayed)
        if sender is None or sender.vm.data_centre == self._own_vm.data_centre:
            return
        if len(self._to_relay) < MAX_TO_RELAY:
            # Whoever needs a stream's version asks the VMs of its data centre, this one too.
            self._to_relay.append(msgspec.structs.replace(report, streams=[]))

    def take_to_relay(self) -> list[StatusReport]:
        """Return the reports for the VMs of this data centre that came from other ones."""
        found, self._to_relay = self._to_relay, []
        return found

    def _apply(self, report: StatusReport) -> Peer | None:
        """Apply a VM's report; return the VM unless it is unknown, or the report is old."""
        now = self._clock.now()
        age_ms = self._age_ms(report, now)
        is_old = age_ms >= self._peers.peer_timeout_ms
        peer = self._peers.record_report(report.name, report.vm, is_old=is_old)
        if peer is None:
            return None
        self._apply_lasting(report, peer, now)
        if is_old:
            logging.log_every_n_seconds(
                logging.WARNING,
                "a report of VM %s is no news of it, it arrived %d ms late",
                OLD_REPORT_LOG_INTERVAL_S,
                report.name,
                age_ms,
            )
            return None
        if report.leaving and not peer.leaving:
            peer.leaving_since_ms = now
        peer.leaving = report.leaving
        peer.watches_store = report.follows
        self._feed.note_peer_revision(report.revision, now, source=self._change_source(peer))
        if self._peers.in_own_region(peer):
            self._apply_own_region(report, peer, now)
        else:
            peer.forecasts = report.forecasts
        if report.leads:
            self.on_leads(peer.vm.region, report.leads)
        self._exchange_levels(report, peer, now)
        return peer

    def _age_ms(self, report: StatusReport, now_ms: int) -> int:
        incarnation, age = self._ages.get(report.name, ("", ReportAge()))
        if incarnation != report.incarnation:
            known = self._peers.by_name
            self._ages = {name: it for name, it in self._ages.items() if name in known}
            age = ReportAge()
            self._ages[report.name] = (report.incarnation, age)
        return age.age_ms(report.up_ms, now_ms)

    def _apply_lasting(self, report: StatusReport, peer: Peer, now_ms: int) -> None:
        """Apply what holds however late a report arrives."""
        self._prefix_holders.merge(report.holds, now_ms)
        self._stream_versions.merge(report.streams, now_ms, vm=report.name)
        if self._peers.in_own_region(peer):
            self._server_notices.apply_leaving(report.departing)
        if report.suspects:
            self.on_suspects(report.suspects)
        started_later = report.up_ms < now_ms - self._started_ms
        incarnation = f"{report.name}/{report.incarnation}"
        self._quota.apply_totals(incarnation, report.spent, now_ms, started_later=started_later)

    def _apply_own_region(self, report: StatusReport, peer: Peer, now_ms: int) -> None:
        """Apply what a VM of this region tells of the region's servers."""
        known = {} if report.whole or peer.servers is None else peer.servers
        peer.servers = known | report.servers
        peer.granted_usage = report.granted
        for server, cold_ms in report.cold.items():
            self._feed.routing_state.mark_cold(server, cold_ms, now_ms)
        self._server_notices.limits.apply(report.limits)
        self._server_notices.loads.apply(report.loads)

    def _change_source(self, peer: Peer) -> Address | None:
        """Return the address to request changes from if the VM is local and watches the store."""
        if not peer.watches_store or peer.vm.data_centre != self._own_vm.data_centre:
            return None
        return (peer.vm.host, peer.vm.peer_port)

    def _exchange_levels(self, report: StatusReport, peer: Peer, now_ms: int) -> None:
        """Adopt the quota levels of an older VM, or send this VM's to a younger one."""
        up_ms = now_ms - self._started_ms
        if report.levels is not None and self.needs_levels and report.up_ms > up_ms:
            self.needs_levels = False
            self._quota.adopt_levels(report.levels, now_ms)
        if self.needs_levels and up_ms > DISCOVERY_MS:
            self.needs_levels = False
        if report.fresh and report.up_ms < up_ms:
            self._send_levels(peer)

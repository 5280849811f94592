"""What a prompt costs the VM that places for its region: placed, refused, beside others that wait.

    python -m bench.placing_cost

One process, no network: a question is decoded, a server chosen, the answer encoded, and the
words on the request's reading and end are taken. 40 VMs of two other regions tell their waits,
where nothing is idle, so each prompt is held against them as well.
"""

from __future__ import annotations

import time
from types import SimpleNamespace

import msgspec

from hickorybeam.clock import SystemClock
from hickorybeam.gateway.fleet import PeerMessage
from hickorybeam.gateway.peers import Peer, PeerTable
from hickorybeam.gateway.placement.coordinator import PlacementCoordinator
from hickorybeam.gateway.placement.local import LocalPlacement
from hickorybeam.gateway.placement.messages import (
    PlacementRequest,
    PlacementUpdate,
    SendStatus,
)
from hickorybeam.gateway.placement.service_queue import ServiceQueues
from hickorybeam.gateway.region_servers import RegionServers
from hickorybeam.gateway.remote_selector import RemoteSelector
from hickorybeam.gateway.routing_state import RoutingState
from hickorybeam.gateway.target_selector import TargetSelector
from hickorybeam.model.routing import GatewayVm, RegisteredServer
from hickorybeam.policy.prefix_holders import PrefixHolders
from hickorybeam.policy.shutdown import ShutdownSchedule
from hickorybeam.telemetry import Counters

SERVERS = (14, 35, 71, 200)
URGENCY = 1
WAITING = (0, 200)
PROMPTS = 2_000
SLOTS = 12
SUBJECTS = 40
REGIONS = ("r", "s", "t")
PEERS_PER_REGION = 20
REMOTE_WAIT_MS = 2_000


def main() -> None:
    """Measure each size and print the table."""
    print("| servers | waiting | placed, ms of processor | refused, ms of processor |")
    print("|---|---|---|---|")
    for servers in SERVERS:
        for waiting in WAITING:
            placed, refused = placed_ms(servers, waiting), refused_ms(servers, waiting)
            print(f"| {servers} | {waiting} | {placed:.3f} | {refused:.3f} |")


class Coordinator:
    """A placement coordinator before servers of its region, the network left out."""

    def __init__(self, servers: int) -> None:
        self.clock, self.routing_state = SystemClock(), RoutingState()
        for number in range(servers):
            server = RegisteredServer(
                id=f"i-{number:010x}",
                service="m",
                host="127.0.0.1",
                port=number,
                data_centre="d",
                slots=SLOTS,
            )
            self.routing_state.update_server(server, self.clock.now())
        self.queues = ServiceQueues(self.clock, Counters())
        fleet = fake_fleet(self.clock)
        listed = RegionServers(routing_state=self.routing_state, fleet=fleet)
        selector = TargetSelector(
            clock=self.clock,
            routing_state=self.routing_state,
            fleet=fleet,
            queues=self.queues,
            remote_selector=RemoteSelector(
                shutdown=ShutdownSchedule(8_000),
                clock=self.clock,
                routing_state=self.routing_state,
                fleet=fleet,
                servers=listed,
            ),
            servers=listed,
        )
        self.placing = PlacementCoordinator(
            clock=self.clock,
            fleet=fleet,
            selector=selector,
            local_placement=LocalPlacement(
                clock=self.clock,
                queues=self.queues,
                selector=selector,
                routing_state=self.routing_state,
            ),
        )

    def wait(self, count: int) -> None:
        """Put so many requests into the queue, none of which is more urgent than others."""
        queue = self.queues.for_service("m").wait_queue
        for _ in range(1_000):
            queue.record_departure(self.clock.now())
        for _ in range(count):
            queue.enter(URGENCY, 60_000, self.clock.now())

    def fill(self) -> None:
        """Fill all servers, so that the next prompt is refused."""
        for state in self.routing_state.server_states.values():
            state.own_requests = 10 * SLOTS


def fake_fleet(clock: SystemClock) -> SimpleNamespace:
    """Return what placement asks of the fleet, with peers in two other regions."""
    own_vm = vm("v0", "r")
    peers = PeerTable(clock, own_vm)
    for region in REGIONS:
        for number in range(PEERS_PER_REGION):
            name = f"{region}{number}"
            peer = peers.by_name[name] = Peer(vm(name, region), 0, last_seen_ms=clock.now())
            peer.forecasts = {"m": (REMOTE_WAIT_MS, 5)}
    peers.peer_timeout_ms = 60_000
    return SimpleNamespace(
        own_vm=own_vm,
        peers=peers,
        prefix_holders=PrefixHolders(("near", "far")),
        in_own_region=lambda data_centre: True,
        region_of=lambda data_centre: "r",
        region_vms=lambda region: [],
        report_lag_ms=0.0,
        server_rates=SimpleNamespace(
            record_send=lambda state, now_ms: None, may_send=lambda state, now_ms: True
        ),
        coordinators=SimpleNamespace(
            is_coordinator=lambda service: True, serving_vms=lambda: ["v0"]
        ),
        remote_candidates=peers.remote_candidates,
        send_message=lambda vm, word: msgspec.msgpack.encode(word),
    )


def vm(name: str, region: str) -> GatewayVm:
    return GatewayVm(
        name=name,
        incarnation="0",
        region=region,
        data_centre=f"{region}-1",
        host="127.0.0.1",
        caller_port=0,
        peer_port=0,
        power=1.0,
    )


def placed_ms(servers: int, waiting: int) -> float:
    """Return the processor time of a prompt that gets a server and ends."""
    coordinator = Coordinator(servers)
    coordinator.wait(waiting)
    words = [msgspec.msgpack.encode(question(number)) for number in range(PROMPTS)]
    began = time.process_time()
    for number, word in enumerate(words):
        coordinator.placing.handle_request(msgspec.msgpack.decode(word, type=PeerMessage))
        for ending in (SendStatus.READ, SendStatus.ANSWERED):
            told = msgspec.msgpack.encode(PlacementUpdate("r1", [(number, ending)]))
            coordinator.placing.handle_update(msgspec.msgpack.decode(told, type=PeerMessage))
    return (time.process_time() - began) * 1_000 / PROMPTS


def refused_ms(servers: int, waiting: int) -> float:
    """Return the processor time of a prompt that is refused, since all servers are full."""
    coordinator = Coordinator(servers)
    coordinator.wait(waiting)
    coordinator.fill()
    words = [msgspec.msgpack.encode(question(number)) for number in range(PROMPTS)]
    began = time.process_time()
    for word in words:
        coordinator.placing.handle_request(msgspec.msgpack.decode(word, type=PeerMessage))
    return (time.process_time() - began) * 1_000 / PROMPTS


def question(number: int) -> PlacementRequest:
    return PlacementRequest(
        vm="r1",
        number=number,
        service="m",
        account="a",
        homes=[],
        parts=[(f"{number % SUBJECTS:08x}", 6_300), (f"{number:08x}", 2_890)],
        prompt_tokens=9_190,
        output_tokens=50,
        urgency=URGENCY,
        target_ms=1_000,
        gone_ms=1,
        left_ms=5_000,
        tried=[],
        refused=[],
        again=False,
        here_only=False,
    )


if __name__ == "__main__":
    main()

"""What one prompt costs the VM that places for its region, by servers of the region.

    python -m bench.placing_cost

One process, no network: a question is decoded, a server chosen, the answer encoded, and the
words on the request's reading and end are taken.
"""

from __future__ import annotations

import time
from types import SimpleNamespace

import msgspec

from hickorybeam.clock import SystemClock
from hickorybeam.gateway.fleet import PeerMessage
from hickorybeam.gateway.local_placement import LocalPlacement
from hickorybeam.gateway.placement_coordinator import PlacementCoordinator
from hickorybeam.gateway.placement_messages import PlacementRequest, PlacementUpdate, SendStatus
from hickorybeam.gateway.remote_selector import RemoteSelector
from hickorybeam.gateway.routing_state import RoutingState
from hickorybeam.gateway.service_queue import ServiceQueues
from hickorybeam.gateway.target_selector import TargetSelector
from hickorybeam.model.routing import RegisteredServer
from hickorybeam.policy.prefix_holders import PrefixHolders
from hickorybeam.policy.shutdown import ShutdownSchedule

SERVERS = (14, 35, 62, 200)
PROMPTS = 2_000
SLOTS = 12
SUBJECTS = 40


def main() -> None:
    """Measure each size and print the table."""
    print("| servers | ms of processor a prompt |\n|---|---|")
    for servers in SERVERS:
        print(f"| {servers} | {cost_ms(servers):.3f} |")


def cost_ms(servers: int) -> float:
    clock, routing_state = SystemClock(), RoutingState()
    for number in range(servers):
        server = RegisteredServer(
            id=f"i-{number:010x}",
            service="m",
            host="127.0.0.1",
            port=number,
            data_centre="d",
            slots=SLOTS,
        )
        routing_state.update_server(server, clock.now())
    fleet = SimpleNamespace(
        own_vm=SimpleNamespace(name="v0", region="r", data_centre="d"),
        peers=SimpleNamespace(by_name={}),
        prefix_holders=PrefixHolders(),
        in_own_region=lambda data_centre: True,
        report_lag_ms=0.0,
        coordinators=SimpleNamespace(
            is_coordinator=lambda service: True,
            cold_server_senders=lambda server: [],
            serving_vms=lambda: ["v0"],
        ),
        remote_candidates=lambda service, leaving=False: [],
        send_message=lambda vm, word: msgspec.msgpack.encode(word),
    )
    lines = ServiceQueues(clock)
    placing = TargetSelector(
        clock=clock,
        routing_state=routing_state,
        fleet=fleet,
        queues=lines,
        remote_selector=RemoteSelector(
            shutdown=ShutdownSchedule(8_000),
            clock=clock,
            routing_state=routing_state,
            fleet=fleet,
        ),
    )
    queueing = LocalPlacement(clock=clock, queues=lines, selector=placing)
    grants = PlacementCoordinator(
        clock=clock, fleet=fleet, selector=placing, local_placement=queueing
    )
    words = [msgspec.msgpack.encode(question(number)) for number in range(PROMPTS)]
    began = time.process_time()
    for number, word in enumerate(words):
        grants.handle_request(msgspec.msgpack.decode(word, type=PeerMessage))
        for ending in (SendStatus.READ, SendStatus.ANSWERED):
            told = msgspec.msgpack.encode(PlacementUpdate("v1", [(number, ending)]))
            grants.handle_update(msgspec.msgpack.decode(told, type=PeerMessage))
    return (time.process_time() - began) * 1_000 / PROMPTS


def question(number: int) -> PlacementRequest:
    return PlacementRequest(
        vm="v1",
        number=number,
        service="m",
        account="a",
        homes=[],
        parts=[(f"{number % SUBJECTS:08x}", 6_300), (f"{number:08x}", 2_890)],
        prompt_tokens=9_190,
        output_tokens=50,
        urgency=1,
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

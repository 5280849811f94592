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
from hickorybeam.gateway.grants import Grants
from hickorybeam.gateway.routing_state import RoutingState
from hickorybeam.gateway.line import Lines
from hickorybeam.gateway.place_words import Ending, Told, Wanted
from hickorybeam.gateway.placing import Placing
from hickorybeam.gateway.queueing import Queueing
from hickorybeam.model.routing import RegisteredServer
from hickorybeam.policy.prefix_holders import PrefixHolders
from hickorybeam.policy.shutdown import Shutdown

SERVERS = (12, 35, 67, 200)
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
        prefix_holders=PrefixHolders(),
        in_own_region=lambda data_centre: True,
        report_lag_ms=0.0,
        who_places=SimpleNamespace(
            places=lambda service: True, warming=lambda server: [], serving=lambda: ["v0"]
        ),
        remote_candidates=lambda service, leaving=False: [],
        send_message=lambda vm, word: msgspec.msgpack.encode(word),
    )
    lines = Lines(clock)
    placing = Placing(
        shutdown=Shutdown(8_000), clock=clock, routing_state=routing_state, fleet=fleet, lines=lines
    )
    queueing = Queueing(clock=clock, lines=lines, placing=placing)
    grants = Grants(clock=clock, fleet=fleet, placing=placing, queueing=queueing)
    words = [msgspec.msgpack.encode(question(number)) for number in range(PROMPTS)]
    began = time.process_time()
    for number, word in enumerate(words):
        grants.wanted(msgspec.msgpack.decode(word, type=PeerMessage))
        for ending in (Ending.READ, Ending.ANSWERED):
            told = msgspec.msgpack.encode(Told("v1", [(number, ending)]))
            grants.told(msgspec.msgpack.decode(told, type=PeerMessage))
    return (time.process_time() - began) * 1_000 / PROMPTS


def question(number: int) -> Wanted:
    return Wanted(
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

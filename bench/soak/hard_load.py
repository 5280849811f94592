"""Faults of the gateway's soak in which load is hard to bear.

Servers change their speed and say so, an account floods a service, callers read nothing. Each is
judged by what the others get meanwhile.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import anyio

from hickorybeam.http1.head import request_bytes
from hickorybeam.standins.deployment import caller_headers

if TYPE_CHECKING:
    from bench.soak.target import SoakTarget

__all__ = ("change_speed", "flood", "read_nothing")

# Percent of usual, and what a faulty server may say instead.
SPEEDS = (b"55", b"100", b"180", b"250", b"0", b"-1", b"nan", b"99999999")
SPEED_CHANGES = 6
SPEED_CHANGE_S = 0.4
FLOOD_CALLERS = 40
FLOOD_S = 2.5
# Time that servers hold a slot in a flood, so that it fills them.
FLOOD_WORK_MS = 120
FLOOD_WAIT_MS = 1_500
# Until the overload is noticed, the flood takes its place in the order of arrival.
NOTICED_AFTER_S = 1.0
OTHERS_ASKED = 12
# Of the others' prompts, this share has to be served while the flood goes on.
MIN_OTHERS_SERVED = 0.5
SILENT_READERS = 100
SILENT_S = 1.0


async def change_speed(soak: SoakTarget) -> None:
    """Let servers say another speed each time, some of which make no sense."""
    for _ in range(SPEED_CHANGES):
        for server in soak.servers:
            server.time_factor = soak.rng.choice(SPEEDS)
        await anyio.sleep(SPEED_CHANGE_S)
    for server in soak.servers:
        server.time_factor = None


async def flood(soak: SoakTarget) -> None:
    """Let one account ask for more than all servers bear; the other one is served on."""
    for server in soak.servers:
        server.work_ms = FLOOD_WORK_MS
    served = 0
    with anyio.move_on_after(FLOOD_S):
        async with anyio.create_task_group() as tg:
            for _ in range(FLOOD_CALLERS):
                tg.start_soon(_ask_on, soak)
            await anyio.sleep(NOTICED_AFTER_S)
            for _ in range(OTHERS_ASKED):
                served += await soak.prompt("small", FLOOD_WAIT_MS)
    for server in soak.servers:
        server.work_ms = 1
    if served < OTHERS_ASKED * MIN_OTHERS_SERVED and not soak.disturbed:
        soak.broken(f"in a flood {served} of another account's {OTHERS_ASKED} prompts were served")


async def _ask_on(soak: SoakTarget) -> None:
    while True:
        await soak.prompt("large", FLOOD_WAIT_MS)


async def read_nothing(soak: SoakTarget) -> None:
    """Let callers send requests and read nothing; a VM answers others meanwhile."""
    port = soak.rng.choice(soak.caller_ports)
    headers = caller_headers("0" * 16, key="small", wait_ms=FLOOD_WAIT_MS, tokens=b"50,10")
    data = request_bytes("POST", b"/chat/x", headers, b"{}")
    readers = []
    try:
        for _ in range(SILENT_READERS):
            readers.append(socket.create_connection(("127.0.0.1", port), timeout=1.0))
            readers[-1].sendall(data)
        await anyio.sleep(SILENT_S)
    except OSError:
        # The VM was killed by an earlier fault and starts.
        return
    finally:
        for reader in readers:
            reader.close()

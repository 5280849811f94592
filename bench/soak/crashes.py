"""Faults of the gateway's soak in which servers crash, under a part of prompts or without one.

The engines learn a part under which they crash, and prompts with it come to any VM while VMs are
killed or the store is silent; sound prompts share its first part and its account.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from hickorybeam.http1 import find_header
from hickorybeam.platform import names
from hickorybeam.platform.requests import decode_parts
from hickorybeam.standins.crashes import CrashPoint

if TYPE_CHECKING:
    from bench.soak.target import SoakTarget

    from hickorybeam.standins.server import ServerStandIn

__all__ = ("check_crashing_parts", "crash_servers", "crash_under_part", "disturb")

MODEL = "model"
SHARED = "5c1e:30"
PROMPTS = 16
PROMPT_EVERY_S = 0.25
PROMPT_WAIT_MS = 1_000
CRASHES = 5
# Of the sound prompts at the end, this share has to be served.
SOUND_PROMPTS = 12
MIN_SOUND_SERVED = 0.5
# Requests with a part that may reach servers after five have crashed under it, and the time after
# the fifth crash in which VMs that were killed or had no store may still have to hear of it.
CRASHES_TO_LEARN = 5
MAX_AFTER_LEARNED = 3
CONTACT_MS = 2_000


async def crash_under_part(soak: SoakTarget) -> None:
    """Let prompts with a part crash servers, while VMs or the store fail beside it."""
    part = f"dead{soak.rng.randrange(16**6):06x}"
    point = soak.rng.choice(list(CrashPoint))
    for server in models(soak):
        server.crash.parts |= {part}
        server.crash.point = point
    async with anyio.create_task_group() as tg:
        tg.start_soon(disturb, soak)
        for _ in range(PROMPTS):
            tg.start_soon(_ask, soak, f"{SHARED},{part}:20")
            await anyio.sleep(PROMPT_EVERY_S)
    disturbed = soak.disturbed
    served = 0
    for _ in range(SOUND_PROMPTS):
        served += await soak.prompt("small", PROMPT_WAIT_MS, parts=f"{SHARED},b0b0:20")
    if served < SOUND_PROMPTS * MIN_SOUND_SERVED and not disturbed and not soak.disturbed:
        soak.broken(f"{served} of {SOUND_PROMPTS} sound prompts beside part {part} were served")


async def _ask(soak: SoakTarget, parts: str) -> None:
    await soak.prompt("small", PROMPT_WAIT_MS, parts=parts)


async def disturb(soak: SoakTarget) -> None:
    """Kill a VM or silence the store in the middle, or neither."""
    await anyio.sleep(soak.rng.uniform(0.5, 2.0))
    match soak.rng.choice(("kill", "store", "nothing")):
        case "kill":
            await soak.restart(soak.rng.randrange(soak.vm_count))
        case "store":
            await soak.store_silent()


async def crash_servers(soak: SoakTarget) -> None:
    """Crash servers one after the other, or some at once, under popular parts."""
    at_once = soak.rng.random() < 0.5
    async with anyio.create_task_group() as tg:
        for _ in range(CRASHES):
            for server in models(soak) if at_once else [soak.rng.choice(models(soak))]:
                tg.start_soon(_ask, soak, f"{SHARED},b0b0:20")
                if server.process is not None and server.process.is_up:
                    server.end_process()
            await anyio.sleep(soak.rng.uniform(0.3, 0.8))


def models(soak: SoakTarget) -> list[ServerStandIn]:
    """Return the model servers."""
    return [it for it in soak.servers if it.service == MODEL]


def check_crashing_parts(soak: SoakTarget) -> None:
    """Judge what reached the servers with parts under which five of them had crashed."""
    for part in set().union(*(it.crash.parts for it in models(soak))):
        times = sorted(
            arrival.at_ms
            for server in models(soak)
            for arrival in server.ran
            if part in part_ids(find_header(arrival.headers, names.PREFIX))
        )
        learned_ms = (
            times[CRASHES_TO_LEARN - 1] + CONTACT_MS if len(times) > CRASHES_TO_LEARN else 0
        )
        late = [at_ms for at_ms in times if learned_ms and at_ms > learned_ms]
        soak.count(f"crashes under a part: {len(times)}")
        if len(late) > MAX_AFTER_LEARNED:
            soak.broken(f"part {part} reached servers {len(late)} times after five had crashed")


def part_ids(header: bytes | None) -> set[str]:
    """Return the ids of a prompt's parts."""
    return {it.id for it in decode_parts(header)}

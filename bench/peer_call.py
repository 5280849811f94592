"""Processor time of calls between two VMs, both ends together, over loopback.

Usage: python bench/peer_call.py [--tls]. Prints one table: requests one after the other and
many at once, and forwarded answers by how many parts each has and how fast they come.
"""

from __future__ import annotations

import sys
import tempfile
import time
from contextlib import AsyncExitStack
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import anyio

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests"))
from hickorybeam.model import ResponseChunk, ResponseEnd, ResponseHead
from hickorybeam.peers import make_authority, make_certificate
from hickorybeam.settings import PeerSettings, TlsSettings
from support.peer_nodes import ECHO, EchoMessage, Node, make_call

CALLS = 2_000
AT_ONCE = 20
ANSWERS = 20
PART_BYTES = 120


@dataclass(frozen=True, slots=True)
class Row:
    """One line of the table."""

    what: str
    count: int
    cpu_ms: float
    wall_ms: float


async def measured(what: str, count: int, func) -> Row:
    wall, cpu = time.perf_counter(), time.process_time()
    await func()
    return Row(
        what,
        count,
        (time.process_time() - cpu) * 1000 / count,
        (time.perf_counter() - wall) * 1000 / count,
    )


def tls_settings(folder: Path, use: bool) -> TlsSettings:
    if not use:
        return TlsSettings(plain=True)
    wall_ms = time.time_ns() // 1_000_000
    authority = make_authority(folder, wall_ms=wall_ms)
    issued = make_certificate(folder, wall_ms=wall_ms)
    return TlsSettings(
        ca_file=str(authority.cert_file),
        cert_file=str(issued.cert_file),
        key_file=str(issued.key_file),
    )


async def unary(a: Node, b: Node, calls: int) -> None:
    for _ in range(calls):
        await a.peers.ask(b.vm, ECHO, EchoMessage("salaam"))


async def unary_at_once(a: Node, b: Node) -> None:
    async with anyio.create_task_group() as tg:
        for _ in range(AT_ONCE):
            tg.start_soon(unary, a, b, CALLS // AT_ONCE)


async def forwarded(a: Node, b: Node, answers: int) -> None:
    async def one() -> None:
        async for _ in a.peers.forward(make_call(), b.vm):
            pass

    async with anyio.create_task_group() as tg:
        for _ in range(answers):
            tg.start_soon(one)


def answering(parts: int, gap_ms: float):
    async def run(call):
        yield ResponseHead(200)
        for _ in range(parts):
            if gap_ms:
                await anyio.sleep(gap_ms / 1000)
            yield ResponseChunk(b"x" * PART_BYTES, tokens=1)
        yield ResponseEnd()

    return run


async def main(use_tls: bool) -> None:
    async def echo(sender, words):
        return words

    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory())) / "tls"
        peers = PeerSettings(tls=tls_settings(folder, use_tls))
        a = await stack.enter_async_context(Node("vm-a", peers=peers).running())
        b = Node("vm-b", "thies", peers=peers)
        b.peers.serve(ECHO, echo)
        await stack.enter_async_context(b.running())
        await unary(a, b, 200)
        rows = [
            await measured("request, one at a time", CALLS, partial(unary, a, b, CALLS)),
            await measured(f"request, {AT_ONCE} at once", CALLS, partial(unary_at_once, a, b)),
        ]
        for parts, gap_ms in ((1, 0), (200, 0), (50, 10), (50, 40)):
            b.dispatch.run = answering(parts, gap_ms)
            what = f"part of a forwarded answer, {parts} parts, {gap_ms} ms apart"
            count = ANSWERS * parts
            rows.append(await measured(what, count, partial(forwarded, a, b, ANSWERS)))
        print(f"TLS: {use_tls}")
        print(f"{'what':58} {'count':>6} {'cpu ms each':>12} {'wall ms each':>13}")
        for row in rows:
            print(f"{row.what:58} {row.count:6} {row.cpu_ms:12.3f} {row.wall_ms:13.3f}")


if __name__ == "__main__":
    anyio.run(main, "--tls" in sys.argv)

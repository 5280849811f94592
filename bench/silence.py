"""How long it takes to notice that a connection fell silent, for each kind of connection.

Prints a table of limit and measured time. Run it as ``PYTHONPATH=. python bench/silence.py``; it
uses the rigs of the tests, whose limits are short.
"""

from __future__ import annotations

import socket
import statistics
import time
from typing import TYPE_CHECKING

import anyio
import fire
from tests.steps.backends import rig as backends
from tests.steps.front import rig as front

from hickorybeam.standins.http import Fault, FaultKind

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

MS = 1000
TOKENS = 6


async def engine_before_first_byte(rig: backends.Rig) -> int:
    """Return ms until a call to an engine that took it and said nothing is given up."""
    rig.engine.app.faults.set(Fault(kind=FaultKind.ACCEPT_SILENT, count=1))
    got = await rig.run_call(rig.engine_call(), rig.servers["engine"])
    assert got.error is not None
    return got.took_ms


async def engine_in_stream(rig: backends.Rig) -> int:
    """Return ms that a silence in mid-stream adds to a stream that is then whole."""
    whole = await rig.run_call(rig.engine_call(tokens=TOKENS), rig.servers["engine"])
    rig.engine.app.faults.set(Fault(kind=FaultKind.SILENT, after=3, count=1))
    got = await rig.run_call(rig.engine_call(tokens=TOKENS), rig.servers["engine"])
    assert got.error is None
    assert got.tokens == TOKENS
    return got.took_ms - whole.took_ms


async def plain_service(rig: backends.Rig) -> int:
    """Return ms until a call to a plain service that says nothing is given up."""
    rig.plain.app.faults.set(Fault(kind=FaultKind.ACCEPT_SILENT, count=1))
    got = await rig.run_call(rig.plain_call("GET", "/bytes"), rig.servers["plain"])
    assert got.error is not None
    return got.took_ms


async def caller_without_request(rig: front.Rig) -> int:
    """Return ms until a caller that connects and says nothing is let go."""
    return await until_closed(rig, b"")


async def caller_in_head(rig: front.Rig) -> int:
    """Return ms until a caller that stops in the middle of a head is refused."""
    return await until_closed(rig, b"GET / HTTP/1.1\r\nhost: x\r\n")


async def until_closed(rig: front.Rig, data: bytes) -> int:
    """Return ms until the front closes a connection on which only this was sent."""
    async with await anyio.connect_tcp("127.0.0.1", rig.front.port) as stream:
        if data:
            await stream.send(data)
        begun = time.monotonic()
        try:
            while True:
                await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return round((time.monotonic() - begun) * MS)


async def caller_that_reads_nothing(rig: front.Rig) -> int:
    """Return ms until a caller that takes none of a large answer is dropped."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    await anyio.to_thread.run_sync(sock.connect, ("127.0.0.1", rig.front.port))
    path = "/v1/services/bookings/bytes?count=50000000"
    key = f"authorization: Bearer {front.SECRET}"
    closed = rig.dispatch.closed
    sock.sendall(f"GET {path} HTTP/1.1\r\nhost: x\r\n{key}\r\n\r\n".encode())
    begun = time.monotonic()
    while rig.dispatch.closed == closed:
        await anyio.sleep(0.002)
    sock.close()
    return round((time.monotonic() - begun) * MS)


async def measure(times: int) -> None:
    """Print the table."""
    print(f"{'connection':<34} {'limit':>7} {'median':>7} {'longest':>8}   ({times} each)")
    async with backends.Rig() as rig:
        limits = backends.BACKEND_SETTINGS
        await line(
            "engine, before its first byte",
            limits.first_byte_ms,
            times,
            rig,
            engine_before_first_byte,
        )
        await line(
            "engine, in mid-stream, resumed", limits.between_ms, times, rig, engine_in_stream
        )
        await line("plain service", 300, times, rig, plain_service)
    async with front.Rig() as rig:
        cfg = front.FRONT_SETTINGS
        await line("caller without a request", cfg.idle_ms, times, rig, caller_without_request)
        await line(
            "caller in the middle of a head", cfg.body_timeout_ms, times, rig, caller_in_head
        )
        await line("caller that reads nothing", cfg.stall_ms, times, rig, caller_that_reads_nothing)


async def line(
    name: str, limit: int, times: int, rig: object, run: Callable[..., Awaitable[int]]
) -> None:
    """Measure one kind and print it."""
    found = [await run(rig) for _ in range(times)]
    print(f"{name:<34} {limit:>7} {statistics.median(found):>7.0f} {max(found):>8}")


def main(times: int = 10) -> None:
    """Measure each kind this many times, one after the other."""
    anyio.run(measure, times)


if __name__ == "__main__":
    fire.Fire(main)

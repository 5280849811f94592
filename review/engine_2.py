"""A model engine or a plain server as a process of its own, for the scripts of the second review.

It registers in the store at its start, answers what the pages say of engines, and writes a line for
each request that reaches it and for the beginning and end of each run.

    engine_2.py JSON

From SIGUSR1 to SIGUSR2 it is faulty: it breaks off a share of its streams, and answers 500 to a
share of its other calls; its health is good. A run whose connection has closed goes on for
``linger-ms``, and its report lists it until then.

The one argument holds its settings, see ``DEFAULTS``.
"""

from __future__ import annotations

import asyncio
import base64
import json
import random
import re
import signal
import sys
import time
from typing import Any

DEFAULTS: dict[str, Any] = {
    "id": "i-1",
    "service": "guide-model",
    "zone": "dakar-plateau",
    "port": 0,
    "store": 0,
    "log": "",
    "slots": 64,
    "events": 58,
    "event-ms": 25,
    "first-ms": 30,
    # How long a run goes on after its connection has closed.
    "linger-ms": 0,
    # How old what its report tells is.
    "report-lag-ms": 200,
    # While it is faulty: the shares of streams that it breaks off, and of reports that fail.
    "cut-share": 0.0,
    "report-share": 0.0,
    "seed": 1,
    # How its streams are framed: "chunked", or "close" for neither a length nor chunks.
    "framing": "chunked",
    # Several processes of one engine listen on its port; the first one registers. 0: now.
    "workers": 1,
    "registers": True,
    "born": 0,
    "version": "v1",
    "heartbeat-ms": 1_200,
}


class Engine:
    """One start of an engine."""

    def __init__(self, cfg: dict[str, Any]) -> None:
        self.cfg = {**DEFAULTS, **cfg}
        self.born = self.cfg["born"] or time.time_ns() // 1_000_000
        self.is_faulty = False
        self.rng = random.Random(self.cfg["seed"])
        # By id: when it began, and when it ended, once it has.
        self.runs: dict[str, tuple[float, float | None]] = {}
        self.lingering: set[asyncio.Task[None]] = set()
        self.log = open(self.cfg["log"], "a", buffering=1)  # noqa: SIM115 - open to the end

    def note(self, event: str, request_id: str = "", **more: object) -> None:
        """Write a line with the time that all processes of the machine share."""
        line = {"at": time.monotonic(), "engine": self.cfg["id"], "event": event}
        self.log.write(json.dumps({**line, "request": request_id, **more}) + "\n")

    async def main(self) -> None:
        """Listen, register, and renew the entry until the process ends."""
        server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.cfg["port"], reuse_port=self.cfg["workers"] > 1
        )
        self.cfg["port"] = server.sockets[0].getsockname()[1]
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGUSR1, self.set_faulty, True)
        loop.add_signal_handler(signal.SIGUSR2, self.set_faulty, False)
        self.note("listens", born=self.born)
        sequence = 0
        if not self.cfg["registers"]:
            await asyncio.Event().wait()
        while True:
            sequence += 1
            await self.register(sequence)
            await asyncio.sleep(self.cfg["heartbeat-ms"] / 1000)

    def set_faulty(self, is_faulty: bool) -> None:
        """Be faulty, or sound, from now on."""
        self.is_faulty = is_faulty
        self.note("faulty" if is_faulty else "sound")

    def fails(self, share: str) -> bool:
        """Return whether a call goes wrong."""
        return self.is_faulty and self.rng.random() < self.cfg[share]

    async def register(self, sequence: int) -> None:
        """Write the entry in the store."""
        cfg = self.cfg
        entry = {
            "service": cfg["service"],
            "address": f"127.0.0.1:{cfg['port']}",
            "zone": cfg["zone"],
            "version": cfg["version"],
            "slots": cfg["slots"],
            "state": "ready",
            "cold-remaining-ms": 0,
            "sequence": sequence,
            "born": self.born,
        }
        value = base64.b64encode(json.dumps(entry).encode()).decode()
        write = [{"key": f"servers/{cfg['id']}", "value": value, "lease": 0}]
        body = json.dumps({"expect": [], "write": write, "remove": []}).encode()
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", cfg["store"])
            head = f"POST /kv-txn HTTP/1.1\r\nHost: store\r\nContent-Length: {len(body)}\r\n"
            writer.write(head.encode() + b"Connection: close\r\n\r\n" + body)
            await reader.read()
            writer.close()
            if sequence == 1:
                self.note("registered")
        except OSError as exc:
            self.note("not registered", why=repr(exc))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection."""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = header(head, "content-length")
                body = await reader.readexactly(int(length)) if length else b""
                await self.answer(head, body, reader, writer)
                if writer.is_closing():
                    return
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(
        self,
        head: bytes,
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer one request."""
        path = head.split(b" ", 2)[1].decode("latin-1")
        own = f"X-Hickorybeam-Instance-Id: {self.cfg['id']}\r\n"
        if path == "/health":
            writer.write(plain(200, own + self.load()))
            return
        if path == "/report":
            fails = self.fails("report-share")
            self.note("report 500" if fails else "report")
            kind = "Content-Type: application/json\r\n"
            writer.write(plain(500, "") if fails else plain(200, kind, self.report()))
            return
        request_id = header(head, "x-hickorybeam-request-id")
        echoed = f"X-Hickorybeam-Request-Id: {request_id}\r\n"
        if (expected := header(head, "x-hickorybeam-expect-instance")) != self.cfg["id"]:
            self.note("421", request_id, expected=expected)
            writer.write(plain(421, echoed + own))
            return
        if sum(end is None for _, end in self.runs.values()) >= self.cfg["slots"]:
            self.note("full", request_id)
            writer.write(plain(503, echoed + "X-Hickorybeam-Not-Executed: 1\r\n" + self.load()))
            return
        self.runs[request_id] = (time.monotonic(), None)
        self.note("runs", request_id, after=header(head, "last-event-id"))
        signed = f"{echoed}X-Hickorybeam-Response-Signature: s.{request_id}\r\n{self.load()}"
        watch = asyncio.create_task(reader.read(1))
        work = asyncio.create_task(self.run(head, body, signed, writer))
        try:
            await asyncio.wait({work, watch}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done() or not work.result():
                work.cancel()
                self.note("closed", request_id)
                linger = asyncio.create_task(self.linger(request_id))
                self.lingering.add(linger)
                linger.add_done_callback(self.lingering.discard)
                raise ConnectionResetError
            self.end_run(request_id)
        finally:
            watch.cancel()
            await asyncio.wait({watch})

    async def linger(self, request_id: str) -> None:
        """Work on at a run whose connection has closed."""
        await asyncio.sleep(self.cfg["linger-ms"] / 1000)
        self.end_run(request_id)

    def end_run(self, request_id: str) -> None:
        """End a run; its report lists it for a little longer."""
        self.runs[request_id] = (self.runs[request_id][0], time.monotonic())
        self.note("ended", request_id)

    async def write_plain(self, signed: str, body: bytes, writer: asyncio.StreamWriter) -> None:
        """Write a plain answer: what the request's body says, in parts if it comes unframed."""
        cfg = self.cfg
        if cfg["framing"] == "chunked":
            writer.write(plain(200, signed, body))
            return
        writer.write(f"HTTP/1.1 200 OK\r\n{signed}Connection: close\r\n\r\n".encode())
        size = -(-len(body) // cfg["events"])
        for at in range(0, len(body), size):
            writer.write(body[at : at + size])
            await asyncio.sleep(cfg["event-ms"] / 1000)
        writer.close()

    async def run(
        self, head: bytes, body: bytes, signed: str, writer: asyncio.StreamWriter
    ) -> bool:
        """Run one request; return whether its answer is whole."""
        cfg = self.cfg
        await asyncio.sleep(cfg["first-ms"] / 1000)
        if not head.split(b" ", 2)[1].startswith((b"/plan/", b"/studio/")):
            await self.write_plain(signed, body, writer)
            return True
        is_chunked = cfg["framing"] == "chunked"
        framing = "Transfer-Encoding: chunked" if is_chunked else "Connection: close"
        kind = f"Content-Type: text/event-stream\r\n{framing}\r\n"
        writer.write(f"HTTP/1.1 200 OK\r\n{kind}{signed}\r\n".encode())
        first = int(header(head, "last-event-id") or 0) + 1
        cut_at = first + 3 if self.fails("cut-share") else 0
        for number in range(first, cfg["events"] + 1):
            if number == cut_at:
                return False
            told = cfg["version"].encode()
            event = b"id: %d\ndata: piece %d of %s\n\n" % (number, number, told)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event) if is_chunked else event)
            await asyncio.sleep(cfg["event-ms"] / 1000)
        if is_chunked:
            writer.write(b"0\r\n\r\n")
        else:
            writer.close()
        return True

    def load(self) -> str:
        """Return the header that tells its load."""
        running = sum(end is None for _, end in self.runs.values())
        return f"X-Hickorybeam-Server-Load: {running},0,{self.cfg['slots']}\r\n"

    def report(self) -> bytes:
        """Return its report, as of some time ago."""
        as_of = time.monotonic() - self.cfg["report-lag-ms"] / 1000
        runs = [
            [it, 0, 0, 0]
            for it, (began, end) in self.runs.items()
            if began <= as_of and (end is None or end > as_of)
        ]
        told = {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 1,
            "queued": 0,
            "running": len(runs),
            "kv-cache-used": 0,
            "kv-cache-total": 248_023,
            "handles": 0,
            "state": "ready",
            "next": 0,
            "runs": runs,
            "born": self.born,
        }
        return json.dumps(told).encode()


def header(head: bytes, name: str) -> str:
    """Return a header's value, empty without one."""
    found = re.search(rb"(?i)\r\n" + name.encode() + rb":[ \t]*([^\r]*)\r\n", head)
    return found[1].decode("latin-1").strip() if found else ""


def plain(status: int, headers: str, body: bytes = b"") -> bytes:
    """Return a whole answer."""
    head = f"HTTP/1.1 {status} X\r\n{headers}Content-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


if __name__ == "__main__":
    asyncio.run(Engine(json.loads(sys.argv[1])).main())

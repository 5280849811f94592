"""What the scripts of the second review share: daemons, the store, links, engines, clients.

Daemons are started with the command of the deploy file, with settings rendered from its template.
The store and the links between machines are the project's stand-ins, the engines ``engine_2.py``.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

import anyio

from hickorybeam.clock import SystemClock
from hickorybeam.http1 import HttpServer
from hickorybeam.standins.keyvalue import serve_store
from hickorybeam.standins.links import CALM, LinkedStore, LinkHarm, Links

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from hickorybeam.standins.keyvalue import KeyValueApp, ServedStore

ROOT = Path(__file__).resolve().parent.parent
HOST = "shop.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The bounds of the sheet of the first deployment.
BOUNDS = {
    "grace-period-s": 8,
    "retry-budget-ratio": 0.2,
    "budget-window-s": 10,
    "budget-slack": 58,
    "quota-slack": 110_000,
}
HELD, BROKEN, NOT_RUN = 0, 1, 2
READY = 200
PORTS = (12_000, 30_000)
TAKEN: set[int] = set()
# The whole of a script.
LIMIT_S = 110


class Record:
    """The file ``record.txt`` of a case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self.began = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line with the time since the start."""
        self._file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write one line, and print it."""
        self.write(text)
        print(text, flush=True)


def free_ports(count: int) -> list[int]:
    """Return ports that are free for TCP and UDP.

    They lie below those that the kernel gives to whoever asks for any port, which would take them.
    """
    found: list[int] = []
    while len(found) < count:
        port = random.randint(*PORTS)
        if port not in TAKEN and is_free(port):
            TAKEN.add(port)
            found.append(port)
    return found


def is_free(port: int) -> bool:
    """Return whether a port is free for TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


def render(fields: dict[str, Any]) -> str:
    """Fill in the deploy file's template of the settings."""
    role = deploy_role()

    def value(found: re.Match[str]) -> str:
        here: Any = fields
        for name in found[1].split("."):
            here = here[int(name)] if isinstance(here, list) else here.get(name)
        return json.dumps(here) if found[2] else str(here)

    template = (ROOT / role["template"]).read_text()
    return re.sub(r"\{\{([a-z0-9.-]+)(\|json)?\}\}", value, template)


def deploy_role() -> dict[str, Any]:
    """Return the role of the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    (role,) = deploy["roles"].values()
    return role


class Vm:
    """One machine's daemon."""

    def __init__(self, name: str, zone: str, fields: dict[str, Any], folder: Path) -> None:
        self.name, self.zone = name, zone
        self.fields = fields
        self.settings = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self.child: subprocess.Popen[bytes] | None = None
        self.settings.write_text(render(fields))

    @property
    def port(self) -> int:
        """The port for clients."""
        return int(self.fields["listen-addresses"]["frontend"].rpartition(":")[2])

    def start(self) -> None:
        """Start the program of the deploy file."""
        words = deploy_role()["run"].split()
        command = [sys.executable, *words[1:]] if words[0] == "python3" else words
        env = {it: os.environ[it] for it in ("PATH", "HOME", "LANG") if it in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["HICKORYBEAM_CONFIG"] = str(self.settings)
        with self.log.open("ab") as log:
            self.child = subprocess.Popen(command, cwd=ROOT, env=env, stdout=log, stderr=log)

    def send(self, signum: int) -> None:
        """Send a signal to the process."""
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(signum)

    def kill(self) -> None:
        """End the process at once."""
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
            self.child.wait()

    def memory_mb(self) -> float:
        """Return the memory that the process takes now."""
        if self.child is None:
            return 0.0
        try:
            status = Path(f"/proc/{self.child.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+) kB", status)
        return int(found[1]) / 1000 if found else 0.0


@dataclass(slots=True)
class Run:
    """One run of a request at an engine; times are those of all processes of the machine."""

    request_id: str
    engine: str
    began: float
    ended: float | None = None


class Engine:
    """One engine's process."""

    def __init__(self, cfg: dict[str, Any], log: Path) -> None:
        self.cfg, self.log = {**cfg, "log": str(log)}, log
        self.child: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process, at the port of the start before if there was one."""
        command = [sys.executable, str(ROOT / "review/engine_2.py"), json.dumps(self.cfg)]
        self.child = subprocess.Popen(command, cwd=ROOT)

    def send(self, signum: int) -> None:
        """Send a signal to the process."""
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(signum)

    def kill(self) -> None:
        """End the process at once."""
        if self.child is not None and self.child.poll() is None:
            self.child.kill()
            self.child.wait()

    def lines(self) -> list[dict[str, Any]]:
        """Return what it has written."""
        return [json.loads(it) for it in self.log.read_text().splitlines()]

    def runs(self) -> list[Run]:
        """Return its runs."""
        found: dict[str, Run] = {}
        done: list[Run] = []
        for line in self.lines():
            if line["event"] == "runs":
                run = found[line["request"]] = Run(line["request"], line["engine"], line["at"])
                done.append(run)
            elif line["event"] == "ended":
                found[line["request"]].ended = line["at"]
        return done


@dataclass(slots=True)
class Call:
    """A client's request and its answer; the status is 0 without one."""

    request_id: str
    vm: str
    sent: float
    status: int = 0
    whole: bool = False
    body: bytes = field(default=b"", repr=False)


class Stage:
    """Everything that a case runs, in a temporary folder; all of it ends with the block."""

    def __init__(self, zones: dict[str, str], memory_mb: int = 300) -> None:
        self.zones = zones
        self.memory_mb = memory_mb
        self.vms: dict[str, Vm] = {}
        self.links = Links()
        self.stores: dict[str, LinkedStore] = {}
        self.engines: list[Engine] = []
        self.calls: list[Call] = []
        self._stack = AsyncExitStack()

    async def __aenter__(self) -> Stage:
        await self._stack.__aenter__()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._stack.callback(shutil.rmtree, self.folder, ignore_errors=True)
        self.served: ServedStore = await self._stack.enter_async_context(serve_store())
        self.tasks = await self._stack.enter_async_context(anyio.create_task_group())
        self._stack.callback(self.tasks.cancel_scope.cancel)
        self._stack.callback(self.kill_all)
        return self

    async def __aexit__(self, *exc: object) -> bool | None:
        return await self._stack.__aexit__(*exc)

    @property
    def app(self) -> KeyValueApp:
        """The store."""
        return self.served.app

    def kill_all(self) -> None:
        """End all daemons and engines."""
        for process in (*self.vms.values(), *self.engines):
            process.kill()

    async def add_vms(self, places: dict[str, str], seeds: int = 3) -> None:
        """Make machines by name and zone, each with links to all others; none is started."""
        ports = {name: free_ports(5) for name in places}
        first = [f"127.0.0.1:{ports[name][3]}" for name in list(places)[:seeds]]
        for name, zone in places.items():
            for other in places:
                if other != name:
                    await self.links.add(self.tasks, name, other)
            store = self.stores[name] = LinkedStore(self.app, self.links, name)
            server = HttpServer(store.answer, clock=SystemClock(), tasks=self.tasks)
            await server.listen("127.0.0.1", 0)
            address = [f"127.0.0.1:{it}" for it in ports[name]]
            fields = {
                "node-name": name,
                "region": self.zones[zone],
                "zone": zone,
                "ip-address": "127.0.0.1",
                "internal-ports": [ports[name][4], ports[name][4]],
                "limits": {
                    "cpu-share": 0.537,
                    "cpu-cores": 2,
                    "memory-mb": self.memory_mb,
                    "file-descriptors": 4100,
                },
                "platform": {"address": f"127.0.0.1:{server.port}"},
                "listen-addresses": {
                    "frontend": address[0],
                    "ready": address[1],
                    "directory": address[2],
                    "control": address[3],
                },
                "seed-addresses": first,
                "zones": self.zones,
                "bounds": BOUNDS,
            }
            self.vms[name] = Vm(name, zone, fields, self.folder)

    def region_of(self, name: str) -> str:
        """Return the region of a machine."""
        return self.zones[self.vms[name].zone]

    def start_all(self) -> None:
        """Start all daemons."""
        for vm in self.vms.values():
            vm.start()

    def add_engine(self, name: str, zone: str, **more: Any) -> Engine:
        """Start an engine."""
        cfg = {"id": name, "zone": zone, "store": self.served.server.port}
        told = {it.replace("_", "-"): value for it, value in more.items()}
        engine = Engine({**cfg, **told}, self.folder / f"{len(self.engines)}-{name}.engine")
        self.engines.append(engine)
        engine.start()
        return engine

    async def call(
        self, vm: str, path: str, key: str, *headers: str, wait_ms: int, body: bytes = b""
    ) -> Call:
        """Send a request to a machine as a client of its own connection."""
        call = Call(f"{len(self.calls) + 1:016x}", vm, time.monotonic())
        self.calls.append(call)
        data = request("POST", path, call.request_id, key, *headers, wait_ms=wait_ms, body=body)
        limit_s = wait_ms / 1000 + 1
        call.status, call.body, call.whole = await ask(self.vms[vm].port, data, limit_s)
        return call

    def write_calls(self, record: Record) -> list[Run]:
        """Write what was sent, answered and run into the record, and return the runs."""
        runs = sorted((it for e in self.engines for it in e.runs()), key=lambda it: it.began)
        by_id: dict[str, list[Run]] = {}
        for run in runs:
            by_id.setdefault(run.request_id, []).append(run)
        for call in self.calls:
            ran = [
                f"{it.engine} {it.began - call.sent:.3f}"
                f"-{'' if it.ended is None else f'{it.ended - call.sent:.3f}'}"
                for it in by_id.get(call.request_id, ())
            ]
            record.write(
                f"{call.request_id} sent at {call.sent - record.began:.3f} to {call.vm}, answered "
                f"{call.status}{'' if call.whole else ' not whole'}, run: {', '.join(ran) or '-'}"
            )
        return runs

    def cut_regions(self, store_region: str) -> None:
        """Cut all regions off from each other; the store stands in one of them."""
        for source, sink in self.links.by_pair:
            if self.region_of(source) != self.region_of(sink):
                self.links.way(source, sink).apply(LinkHarm(silent=True))
        for name, store in self.stores.items():
            if self.region_of(name) != store_region:
                store.harm = LinkHarm(silent=True)

    def heal(self) -> None:
        """End all cuts."""
        self.links.heal()
        for store in self.stores.values():
            store.harm = CALM

    async def wait_ready(self, limit_s: float = 30.0) -> None:
        """Wait until all daemons say that they are ready."""
        with anyio.fail_after(limit_s):
            for vm in self.vms.values():
                await self._wait_ready(vm)

    async def _wait_ready(self, vm: Vm) -> None:
        port = int(vm.fields["listen-addresses"]["ready"].rpartition(":")[2])
        question = b"GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n"
        for _ in itertools.count():
            status, _, _ = await ask(port, question)
            if status == READY:
                return
            await anyio.sleep(0.1)


def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route as the operator writes it."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": 6_000,
        "target-latency-ms": 700,
        "priority": 1,
        "service": service,
        "max-attempts": 2 if kind == "safe" else 1,
        "public": False,
        "sticky": kind == "streaming",
        "resumable": False,
        "home-regions": [],
        **more,
    }


def tenant(name: str, key: str, *, rate: float = 0, burst: float = 0) -> dict[str, Any]:
    """Return a tenant as the operator writes it."""
    return {
        "name": name,
        "api-keys": [key],
        "priority": 1,
        "unit": "tokens",
        "uncached-tokens": 200,
        "rate-per-s": rate,
        "burst": burst,
        "home-regions": [],
    }


def config(routes: list[dict[str, Any]], tenants: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a configuration with a model service and a plain one."""
    return {
        "version": 3,
        "routes": routes,
        "services": [
            {
                "name": "guide-model",
                "health-path": "/health",
                "max-connections": 370,
                "cold-start-s": 3.0,
                "cold-per-s": 2.6,
                "engine": {"slots": 64, "kv-cache-tokens": 248_023},
            },
            {
                "name": "bookings",
                "health-path": "/health",
                "max-connections": 110,
                "cold-start-s": 0.0,
                "cold-per-s": 0.0,
            },
        ],
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 4_194_304,
            "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        },
        "tenants": tenants,
    }


def request(
    method: str,
    path: str,
    request_id: str,
    key: str,
    *headers: str,
    wait_ms: int = 6_000,
    body: bytes = b"",
) -> bytes:
    """Return the bytes of a client's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Hickorybeam-Request-Id: {request_id}",
        f"X-Hickorybeam-Deadline-Milliseconds: {wait_ms}",
        f"Authorization: Bearer {key}",
        *headers,
    ]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def ask(port: int, data: bytes, limit_s: float = 8.0) -> tuple[int, bytes, bool]:
    """Send one request on a connection of its own.

    :return: the status, the body, and whether the answer is whole; 0 without an answer.
    """
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(data)
            return await read_answer(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, b"", False
    finally:
        if writer is not None:
            writer.close()


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, bytes, bool]:
    """Read one answer with a length or in chunks; one that breaks off isn't whole."""
    head = await reader.readuntil(b"\r\n\r\n")
    status = int(head.split()[1])
    found = re.search(rb"(?i)\ncontent-length:\s*(\d+)", head)
    body = b""
    try:
        if found:
            body = await reader.readexactly(int(found[1]))
            return status, body, True
        if not re.search(rb"(?i)\ntransfer-encoding:\s*chunked", head):
            return status, await reader.read(), True
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                return status, body, True
            body += chunk[:-2]
    except (asyncio.IncompleteReadError, OSError):
        return status, body, False


def main(folder: Path, play: Callable[[Record], Awaitable[bool]]) -> None:
    """Play a case and exit as the issue says; 2 if it couldn't run.

    :param play: returns whether the rule held.
    """
    record = Record(folder)
    record.say(f"TROUBLE={int(TROUBLE)}")

    async def bounded() -> bool:
        with anyio.fail_after(LIMIT_S):
            return await play(record)

    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        held = anyio.run(bounded)
    except BaseException as exc:
        record.say(f"could not run: {exc!r}")
        sys.exit(NOT_RUN)
    record.say("the rule held" if held else "the rule was broken")
    sys.exit(HELD if held else BROKEN)

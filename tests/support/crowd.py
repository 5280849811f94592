"""Crowds of callers that don't behave, before a VM in a process of its own."""

from __future__ import annotations

import asyncio
import contextlib
import os
import re
import signal
import socket
import tempfile
import time
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import anyio
from bench.gateway_cost import start_daemon

from hickorybeam.demo.deployment import free_ports
from hickorybeam.settings import (
    GatewaySettings,
    PeerSettings,
    PlatformSettings,
    Settings,
    TlsSettings,
    VmSettings,
)
from hickorybeam.standins.deployment import HOST, KEYS, REGIONS, first_config
from hickorybeam.standins.keyvalue import serve_store
from hickorybeam.standins.server import ServerStandIn, serve_server

# What the operator of the scenarios allows.
BODY_BYTES = 1_048_576
HEAD_BYTES = 16_384
LIMITS = {
    "max-header-bytes": HEAD_BYTES,
    "max-body-bytes": BODY_BYTES,
    "header-timeout-ms": 10_000,
    "idle-timeout-ms": 30_000,
}
PORTS = ("callers", "ready", "directory", "state", "peers")
MB = 1_000_000
START_LIMIT_S = 30
ANSWER_LIMIT_S = 20
# A crowd that has not sent all by then is held up, and stays as it is.
SEND_LIMIT_S = 12
CONNECTS_AT_ONCE = 100
SAMPLE_S = 0.05
LISTENING = "0A"
# What the kernel keeps for a client that reads nothing.
UNREAD_BYTES = 4_096


@dataclass
class SampledProcess:
    """A VM's process, and the most that it held."""

    ports: dict[str, int]
    path: Path
    memory_mb: float
    process: object = None
    most_bytes: int = 0
    most_files: int = 0

    @property
    def log(self):
        return self.path.with_suffix(".log").read_text(errors="replace")

    def sample(self):
        """Note the memory, with what was received and is not read yet, and the descriptors."""
        pid = self.process.pid
        with contextlib.suppress(OSError, ValueError):
            files = open_files(pid)
            held = status_bytes(pid, "VmRSS") + unread_bytes(files)
            self.most_bytes = max(self.most_bytes, held, status_bytes(pid, "VmHWM"))
            self.most_files = max(self.most_files, len(files))


def status_bytes(pid, name):
    """Return a size from a process's status; ``VmHWM`` is the peak of its resident memory."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(name + ":"):
            return int(line.split()[1]) * 1024
    raise ValueError(name)


def open_files(pid):
    """Return what a process's descriptors lead to, one entry for each."""
    found = []
    for link in Path(f"/proc/{pid}/fd").iterdir():
        with contextlib.suppress(OSError):
            found.append(os.readlink(link))
    return found


def unread_bytes(files):
    """Return the bytes that the kernel has received for a process's connections."""
    inodes = {it[len("socket:[") : -1] for it in files if it.startswith("socket:[")}
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        # The queue of a listening socket counts connections.
        if fields[9] in inodes and fields[3] != LISTENING:
            total += int(fields[4].partition(":")[2], 16)
    return total


@dataclass
class VmProcess(SampledProcess):
    """A gateway's VM."""

    cfg: Settings = None

    def start(self):
        self.process = start_daemon(self.cfg, self.path, log_path=self.path.with_suffix(".log"))


@dataclass
class CrowdedFleet:
    """The VMs' processes, their servers and their store."""

    store: object
    vms: dict[str, VmProcess]
    servers: dict[str, ServerStandIn] = field(default_factory=dict)


async def sample(processes):
    """Note what processes hold, until cancelled."""
    while True:
        for process in processes:
            process.sample()
        await anyio.sleep(SAMPLE_S)


@asynccontextmanager
async def crowded_fleet(
    *, memory_mb, file_descriptors, south=False, work_ms=1, slots=8, answer_bytes=0
):
    """Run a store, servers and a VM for each region, in processes of their own."""
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        served = await stack.enter_async_context(serve_store())
        served.app.configure(first_config() | {"limits": LIMITS})
        centres = ["north-1", *(["south-1"] if south else [])]
        fleet = CrowdedFleet(served.app, {})
        for centre in centres:
            for service in ("books", "model"):
                server = LargeAnswers(
                    f"{service}-{centre}", service, centre, served.app, work_ms=work_ms, slots=slots
                )
                server.answer_bytes = answer_bytes
                fleet.servers[server.id] = await stack.enter_async_context(serve_server(server))
        for centre in centres:
            vm = vm_process(centre, folder, served.url, memory_mb, file_descriptors)
            fleet.vms[centre] = vm
            vm.start()
            stack.callback(end, vm)
        for centre, vm in fleet.vms.items():
            await ready(vm, "/local/x" if centre == "south-1" else "/look/x")
        if south:
            await ready(fleet.vms["north-1"], "/local/x")
        tg = await stack.enter_async_context(anyio.create_task_group())
        tg.start_soon(sample, tuple(fleet.vms.values()))
        stack.callback(tg.cancel_scope.cancel)
        yield fleet


class LargeAnswers(ServerStandIn):
    """A server whose answers to lookups have so many bytes, if any are set."""

    answer_bytes = 0

    async def _run(self, req, reply, request_id):
        if self.answer_bytes and req.method == "GET":
            reply.send(200, self._headers(request_id), b"x" * self.answer_bytes)
        else:
            await super()._run(req, reply, request_id)


def vm_process(centre, folder, store_url, memory_mb, file_descriptors):
    ports = dict(zip(PORTS, free_ports(len(PORTS)), strict=True))
    addresses = {name: f"127.0.0.1:{ports[name]}" for name in PORTS if name != "peers"}
    cfg = Settings(
        vm=VmSettings(
            name=f"vm-{centre}",
            region=REGIONS[centre],
            data_centre=centre,
            peer_port=ports["peers"],
            memory_mb=memory_mb,
            file_descriptors=file_descriptors,
        ),
        platform=PlatformSettings(urls=(store_url,), prefix="hickorybeam/"),
        peers=PeerSettings(tls=TlsSettings(plain=True)),
        gateway=GatewaySettings(**addresses, regions=REGIONS, grace_s=4.0),
    )
    return VmProcess(ports, folder / f"{centre}.json", memory_mb, cfg=cfg)


def end(vm):
    vm.process.kill()
    vm.process.wait()


async def ready(vm, path):
    with anyio.fail_after(START_LIMIT_S):
        while (await ask(vm, path, b"POST", b"{}", limit_s=2))[0] != 200:
            await anyio.sleep(0.1)


def head(method, path, *lines, key="small", request_id=None, wait_ms=20_000, version=b"HTTP/1.1"):
    """Return the head of a request, without its end."""
    name = request_id or b"%016x" % next_id()
    return b"\r\n".join(
        (
            b"%s %s %s" % (method, path.encode(), version),
            b"host: " + HOST.encode(),
            b"x-hickorybeam-request-id: " + name,
            b"x-hickorybeam-deadline-milliseconds: %d" % wait_ms,
            b"authorization: Bearer " + KEYS.get(key, key).encode(),
            *lines,
        )
    )


def next_id():
    next_id.last += 1
    return next_id.last


next_id.last = int(time.time()) << 20

END = b"\r\n\r\n"


async def ask(vm, path, method, body, *, limit_s=ANSWER_LIMIT_S, port="callers"):
    """Send one ordinary request; return what ``exchange`` does."""
    data = head(method, path, b"content-length: %d" % len(body), b"connection: close") + END + body
    return await exchange(vm.ports[port], data, limit_s)


async def exchange(port, data, limit_s=ANSWER_LIMIT_S):
    """Send bytes; return the answer's status, body and time to come back in s; 0 for no answer."""
    with anyio.move_on_after(limit_s):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            return 0, b"", 0.0
        try:
            writer.write(data)
            answer = await reader.read(-1)
        except OSError:
            return 0, b"", 0.0
        finally:
            writer.transport.abort()
        first, _, rest = answer.partition(END)
        told = re.search(rb"\r\nretry-after: ([0-9.]+)", first.lower())
        return (int(first.split()[1]) if first else 0), rest, float(told[1]) if told else 0.0
    return 0, b"", 0.0


@dataclass
class CrowdClient(asyncio.Protocol):
    """One client: sends what it is given, notes what comes, and stays or leaves.

    :param reads: it reads answers.
    """

    payload: bytes
    reads: bool = True
    answer: bytes = b""
    closed: bool = False
    reset: bool = False
    transport: asyncio.Transport = None

    def connection_made(self, transport):
        self.transport = transport
        if not self.reads:
            transport.pause_reading()
        if self.payload:
            transport.write(self.payload)

    def data_received(self, data):
        self.answer = (self.answer + data)[:65_536]

    def connection_lost(self, exc):
        self.closed, self.reset = True, exc is not None

    @property
    def has_sent(self):
        return self.closed or not self.transport.get_write_buffer_size()

    @property
    def status(self):
        """The status of the last whole head that came, 0 without one."""
        last = self.answer.rpartition(b"HTTP/1.1 ")[2] if b"HTTP/1.1 " in self.answer else b""
        return int(last[:3]) if last[:3].isdigit() else 0


class Crowd:
    """Clients that each do the same at the same time."""

    def __init__(self, port, payloads, *, reads=True, trickle=b""):
        self._port = port
        self.clients = [CrowdClient(payload, reads) for payload in payloads]
        self._trickle = trickle

    async def come(self):
        """Connect, send, and wait until nothing more of it can be sent."""
        for i in range(0, len(self.clients), CONNECTS_AT_ONCE):
            async with anyio.create_task_group() as tg:
                for client in self.clients[i : i + CONNECTS_AT_ONCE]:
                    tg.start_soon(self._connect, client)
        with anyio.move_on_after(SEND_LIMIT_S):
            while not all(client.has_sent for client in self.clients):
                await anyio.sleep(SAMPLE_S)
        for byte in self._trickle:
            for client in self.clients:
                if not client.closed:
                    client.transport.write(bytes((byte,)))
            await anyio.sleep(10 * SAMPLE_S)
        await anyio.sleep(10 * SAMPLE_S)

    async def _connect(self, client):
        loop = asyncio.get_running_loop()
        try:
            with anyio.fail_after(SEND_LIMIT_S):
                sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
                sock.setblocking(False)
                if not client.reads:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BYTES)
                await loop.sock_connect(sock, ("127.0.0.1", self._port))
                await loop.create_connection(lambda: client, sock=sock)
        except (OSError, TimeoutError):
            client.closed = True

    def come_again(self):
        """Return a crowd of the clients that were closed."""
        payloads = [it.payload for it in self.clients if it.closed]
        return Crowd(self._port, payloads)

    def leave(self):
        """Close all connections."""
        for client in self.clients:
            if client.transport is not None:
                client.transport.abort()


def terminate(vm):
    vm.process.send_signal(signal.SIGTERM)

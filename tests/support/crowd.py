"""Crowds of callers that don't behave, before a VM in a process of its own."""

from __future__ import annotations

import asyncio
import re
import signal
import tempfile
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import anyio
from bench.crowd import BODY_BYTES, END, HEAD_BYTES, SampledProcess, head, sample
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
from hickorybeam.standins.deployment import REGIONS, first_config
from hickorybeam.standins.keyvalue import serve_store
from hickorybeam.standins.server import ServerStandIn, serve_server

# What the operator of the scenarios allows.
LIMITS = {
    "max-header-bytes": HEAD_BYTES,
    "max-body-bytes": BODY_BYTES,
    "header-timeout-ms": 10_000,
    "idle-timeout-ms": 30_000,
}
PORTS = ("callers", "ready", "directory", "state", "peers")
START_LIMIT_S = 30
ANSWER_LIMIT_S = 20


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


def terminate(vm):
    vm.process.send_signal(signal.SIGTERM)

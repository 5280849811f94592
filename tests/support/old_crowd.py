"""The older gateway's daemon in a process of its own, before a platform and an engine."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

import anyio
from bench.crowd import SampledProcess, sample
from bench.crowd.kinds import CHUNKED, END, SMALL_HEADERS, chunks

from hickorybeam.demo.deployment import free_ports
from hickorybeam.model import key_digest
from hickorybeam.standins import engine, platform
from support.crowd import end, exchange

OPERATOR, KEY = "operator-of-this-test", "key-of-this-test"
BODY_BYTES = 1_048_576
READY_LIMIT_S = 30
OK = 200
CHAT = json.dumps(
    {"model": "tiny", "max_tokens": 4, "messages": [{"role": "user", "content": "x" * 1_500}]}
).encode()
FULL = b"content-length: %d" % BODY_BYTES


def call(target, key, *lines, body=b""):
    """Return a request's bytes."""
    first = f"POST {target} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}".encode()
    return b"\r\n".join((first, *lines)) + END + body


def chat(key, *lines, body):
    return call("/v1/chat/completions", key, *lines, body=body)


KINDS = {
    "stops one byte short": lambda key: chat(key, FULL, body=b"x" * (BODY_BYTES - 1)),
    "stops short in chunks of 3 bytes": lambda key: chat(key, CHUNKED, body=chunks(3, BODY_BYTES)),
    "stops short in chunks of 64 KiB": lambda key: chat(
        key, CHUNKED, body=chunks(65_536, BODY_BYTES)
    ),
    "sends a head of many small headers without its end": lambda key: (
        b"GET /v1/models HTTP/1.1\r\nhost: x" + 2 * SMALL_HEADERS[: -len(b"\r\nab:")]
    )[:32_000],
    "sends nothing": lambda key: b"",
}


@asynccontextmanager
async def old_daemon(*, memory_mb, file_descriptors):
    """Run the daemon with an account, its key and a model, and give its process."""
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        served = await stack.enter_async_context(platform.serve())
        app = engine.EngineApp(models=("tiny",))
        engine_port = (await stack.enter_async_context(engine.serve(app=app))).port
        http_port, peer_port = free_ports(2)
        settings = {
            "vm": {
                "name": "vm-1",
                "region": "here",
                "data_centre": "dc",
                "http_port": http_port,
                "peer_port": peer_port,
                "memory_mb": memory_mb,
                "file_descriptors": file_descriptors,
            },
            "platform": {"urls": [f"http://127.0.0.1:{served.port}"]},
            "peers": {"tls": {"plain": True}},
            "front": {
                "operator_keys": [key_digest(OPERATOR)],
                "max_body_bytes": BODY_BYTES,
                # The crowd stands for callers at many addresses.
                "max_connections_per_address": 1_000,
            },
        }
        path = folder / "vm.json"
        path.write_text(json.dumps(settings))
        ports = {"callers": http_port, "peers": peer_port}
        vm = SampledProcess(ports, path, memory_mb)
        vm.process = start(path)
        stack.callback(end, vm)
        await configured(vm, engine_port)
        tg = await stack.enter_async_context(anyio.create_task_group())
        tg.start_soon(sample, (vm,))
        stack.callback(tg.cancel_scope.cancel)
        yield vm


def start(path):
    command = [sys.executable, "-m", "hickorybeam", "run", str(path)]
    with path.with_suffix(".log").open("wb") as log:
        return subprocess.Popen(command, stdout=log, stderr=log)


async def configured(vm, engine_port):
    """Submit the first ticket, and wait until a call is served."""
    backend = {"name": "e1", "kind": "engine", "region": "here", "data_centre": "dc"}
    ticket = {
        "number": 1,
        "note": "first state",
        "regions": [{"name": "here", "data_centres": ["dc"]}],
        "accounts": [{"name": "small", "rate": 100_000, "burst": 900_000}],
        "keys": [{"name": key_digest(KEY), "account": "small"}],
        "models": [{"name": "tiny", "regions": ["here"]}],
        "backends": [backend | {"host": "127.0.0.1", "port": engine_port, "serves": ["tiny"]}],
    }
    body = json.dumps(ticket).encode()
    length = b"content-length: %d" % len(body)
    submit = call("/v1/tickets", OPERATOR, length, b"connection: close", body=body)
    with anyio.fail_after(READY_LIMIT_S):
        while (await exchange(vm.ports["callers"], submit, 5))[0] not in (OK, 201):
            await anyio.sleep(0.1)
        while await ask_old(vm) != OK:
            await anyio.sleep(0.1)


async def ask_old(vm):
    """Send one ordinary call; return its status."""
    lines = (b"content-length: %d" % len(CHAT), b"connection: close")
    return (await exchange(vm.ports["callers"], chat(KEY, *lines, body=CHAT)))[0]

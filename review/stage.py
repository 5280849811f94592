"""What the review's scripts share: the daemons of the deploy file before stand-ins, on loopback.

Three machines in three regions, each with an address of its own (127.0.1.N) and the same ports, as
the platform gives them. Settings are rendered from ``deploy/settings.json`` with the bounds of
the small deployment ``tourdeterre``. Run with ``PYTHONPATH=src:target/deps``.
"""

from __future__ import annotations

import json
import os
import re
import secrets
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import TYPE_CHECKING, Any

import anyio
import msgspec

if TYPE_CHECKING:
    import signal
    from collections.abc import Awaitable, Callable, Mapping

ROOT = Path(__file__).resolve().parents[1]
# One data centre in each region.
REGIONS = {"dc-a": "north", "dc-b": "south", "dc-c": "east"}
BOUNDS = {
    "grace-period-s": 8,
    "retry-budget-ratio": 0.2,
    "budget-slack": 58,
    "budget-window-s": 10,
    "quota-slack": 110_000,
}
CONFIG_APPLY_S = 4.0
DRAIN_S = 4.0
HEARTBEAT_S = 1.2
LEAD_S = 12.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LAST_CHUNK = b"0\r\n\r\n"
PLACEHOLDER = re.compile(r"\{\{([a-z0-9.-]+)(\|json)?\}\}")


class CannotRunError(Exception):
    """The case could not run, so that it says nothing of the rule."""


LIMIT_S = 105.0


class Record:
    """Writes what is sent, answered and run to ``record.txt`` in the case's folder."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the script began."""
        return time.monotonic() - self._began

    def write(self, text: str, *, show: bool = False) -> None:
        """Write one line with the time; show it on the console as well."""
        line = f"{self.now():8.3f} {text}"
        print(line, file=self._file, flush=True)
        if show:
            print(line, flush=True)


def rendered(template: str, values: Mapping[str, Any]) -> str:
    """Fill in the placeholders of a settings template, as the platform does."""

    def fill(found: re.Match[str]) -> str:
        value: Any = values
        for part in found[1].split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return json.dumps(value) if found[2] else str(value)

    return PLACEHOLDER.sub(fill, template)


def free_ports(hosts: list[str], count: int) -> list[int]:
    """Return ports that are free on all hosts."""
    found: list[int] = []
    # Far from where another script looks at the same time, below the ports that Linux gives out.
    port = secrets.choice(range(10_000, 32_000, 16))
    while len(found) < count:
        port += 1
        if all(is_free(host, port) for host in hosts):
            found.append(port)
    return found


def is_free(host: str, port: int) -> bool:
    """Return whether nothing is bound to a port, over TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((host, port))
            except OSError:
                return False
    return True


class Machines:
    """The daemons, each one a process of its own; ends them all."""

    def __init__(self, folder: Path, store_address: str) -> None:
        self.hosts = [f"127.0.1.{i + 1}" for i in range(len(REGIONS))]
        self.port, self._ready, self._control, self._directory, self._peers = free_ports(
            self.hosts, 5
        )
        self._folder = folder
        self._store = store_address
        self._running: dict[int, subprocess.Popen[bytes]] = {}
        # What the platform fills in from now on.
        self.bounds = dict(BOUNDS)
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        role = deploy["roles"]["entry"]
        self._command = role["run"].split(" ")
        self._template = (ROOT / role["template"]).read_text(encoding="utf-8")

    def start(self, i: int) -> None:
        """Start the daemon of one machine with the command of the deploy file."""
        path = self.write_settings(i)
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {"HICKORYBEAM_CONFIG": str(path), "PYTHONPATH": str(ROOT / "target/deps")}
        command = [sys.executable if it == "python3" else it for it in self._command]
        log = (self._folder / f"node-{i}.log").open("ab")
        self._running[i] = subprocess.Popen(command, cwd=ROOT, env=env, stdout=log, stderr=log)

    def write_settings(self, i: int) -> Path:
        """Write the settings file of one machine, as the platform does when the settings change."""
        path, new = self._folder / f"node-{i}.json5", self._folder / f"node-{i}.new"
        new.write_text(rendered(self._template, self._settings(i)), encoding="utf-8")
        new.replace(path)
        return path

    def signal(self, i: int, signum: signal.Signals) -> None:
        """Send a signal to one machine's daemon."""
        self._running[i].send_signal(signum)

    def ended(self, i: int) -> int | None:
        """Return with what a daemon ended, ``None`` while it runs."""
        return self._running[i].poll()

    def end(self) -> None:
        """Kill all daemons."""
        for process in self._running.values():
            process.kill()
            process.wait()

    def logged(self, i: int, text: str) -> int:
        """Return how many lines of a machine's log hold a text."""
        log = (self._folder / f"node-{i}.log").read_text(encoding="utf-8", errors="replace")
        return sum(text in line for line in log.splitlines())

    def _settings(self, i: int) -> dict[str, Any]:
        centre = list(REGIONS)[i]
        host = self.hosts[i]
        return {
            "node-name": f"frontend-{centre}-1",
            "region": REGIONS[centre],
            "zone": centre,
            "ip-address": host,
            "internal-ports": [self._peers, self._peers],
            "limits": {"cpu-share": 0.537, "cpu-cores": 2},
            "platform": {"address": self._store},
            "listen-addresses": {
                "frontend": f"{host}:{self.port}",
                "ready": f"{host}:{self._ready}",
                "control": f"{host}:{self._control}",
                "directory": f"{host}:{self._directory}",
            },
            "seed-addresses": [f"{it}:{self._control}" for it in self.hosts],
            "zones": REGIONS,
            "bounds": self.bounds,
        }

    async def wait_ready(self) -> None:
        """Wait until all machines say that they are ready."""
        with anyio.move_on_after(20):
            for host in self.hosts:
                while (await ask(host, self._ready, b"GET", "/readiness", ()))[0] != 200:  # noqa: ASYNC110
                    await anyio.sleep(0.1)
            return
        raise CannotRunError("the daemons are not ready after 20 s")


async def ask(
    host: str,
    port: int,
    method: bytes,
    path: str,
    headers: tuple[tuple[bytes, bytes], ...],
    body: bytes = b"",
    *,
    limit_s: float = 8.0,
    options: bytes = b"close",
) -> tuple[int, bytes]:
    """Send one request on a new connection.

    :param options: value of its ``Connection`` header.
    :return: status and body; status 0 if the connection ended without a whole answer.
    """
    lines = [b"%s %s HTTP/1.1" % (method, path.encode()), b"connection: " + options]
    if not any(name == b"host" for name, _ in headers):
        lines.append(b"host: node")
    lines += [b"%s: %s" % pair for pair in headers]
    if body or method == b"POST":
        lines.append(b"content-length: %d" % len(body))
    raw = b""
    try:
        with anyio.fail_after(limit_s):
            async with await anyio.connect_tcp(host, port) as stream:
                await stream.send(b"\r\n".join(lines) + b"\r\n\r\n" + body)
                while True:
                    try:
                        raw += await stream.receive()
                    except anyio.EndOfStream:
                        break
    except (OSError, TimeoutError, anyio.BrokenResourceError):
        return 0, b""
    head, found, rest = raw.partition(b"\r\n\r\n")
    if not found:
        return 0, b""
    length = re.search(rb"(?i)\r\ncontent-length: *([0-9]+)", head)
    if length is not None and len(rest) < int(length[1]):
        return 0, b""
    if re.search(rb"(?i)\r\ntransfer-encoding: *chunked", head) and not rest.endswith(LAST_CHUNK):
        return 0, rest
    return int(head.split(b" ", 2)[1]), rest


def encoded(value: object) -> bytes:
    """Encode a value as JSON."""
    return msgspec.json.encode(value)


def run_case(play: Callable[[Path, Record], Awaitable[int]], folder: Path) -> int:
    """Run a case in a temporary folder and return its exit status: 2 if it couldn't run."""
    record = Record(folder)

    async def bounded(path: Path) -> int:
        with anyio.fail_after(LIMIT_S):
            return await play(path, record)

    with tempfile.TemporaryDirectory() as path:
        try:
            return anyio.run(bounded, Path(path))
        except Exception as exc:
            # A broken script must not look like a broken rule.
            record.write(f"cannot run: {exc!r}", show=True)
            return 2

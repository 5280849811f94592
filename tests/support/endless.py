"""Peers that send bytes without end, and a daemon in a process of its own."""

from __future__ import annotations

import contextlib
import os
import re
import socket
import subprocess
import sys
import threading
import time
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
# The most that one peer sends, so that a test ends on sources without a bound.
MAX_SENT_BYTES = 400_000_000
MAX_SENT_S = 8.0
PIECE_BYTES = 65_536
BATCH_EVERY_S = 0.001
SIGNED = b"X-Hickorybeam-Response-Signature: s\r\n"
MARKED = b"X-Hickorybeam-Not-Executed: 1\r\n"
ID_LINE = re.compile(rb"\r\n(x-hickorybeam-request-id: [^\r]*\r\n)", re.IGNORECASE)
OK = b"HTTP/1.1 200 OK\r\n"
INTERIM = b"HTTP/1.1 102 Processing\r\n\r\n"
STREAM = b"content-type: text/event-stream\r\n"
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
CHUNK = b"%x\r\n%s\r\n" % (PIECE_BYTES, b"x" * PIECE_BYTES)

# By form: what is sent first, and what is sent again and again after it.
ANSWERS = {
    "a status line": (b"HTTP/1.1 200 ", b"x"),
    "a header's name": (OK, b"x"),
    "a header's value": (OK + b"x-a: ", b"x"),
    "headers": (OK, b"a:\r\n"),
    "blank lines": (b"", b"\r\n"),
    "interim responses": (b"", INTERIM),
    "an interim header": (b"HTTP/1.1 102 Processing\r\nx-a: ", b"x"),
    "the answer to another": (OK + b"X-Hickorybeam-Request-Id: other\r\n" + CHUNKED, CHUNK),
    "a signed head's value": (OK + SIGNED + b"x-a: ", b"x"),
    "a body in chunks": (OK + SIGNED + CHUNKED, CHUNK),
    "a body in small chunks": (OK + SIGNED + CHUNKED, b"1\r\nx\r\n"),
    "a body until the close": (OK + SIGNED + b"\r\n", b"x"),
    "a body of a terabyte": (OK + SIGNED + b"content-length: 1000000000000\r\n\r\n", b"x"),
    "a chunk's size": (OK + SIGNED + CHUNKED, b"0"),
    "a chunk's extension": (OK + SIGNED + CHUNKED + b"5;", b"x"),
    "a trailer": (OK + SIGNED + CHUNKED + b"0\r\nx-a: ", b"x"),
    "trailers": (OK + SIGNED + CHUNKED + b"0\r\n", b"a:\r\n"),
    "a failure's body": (b"HTTP/1.1 500 E\r\n" + SIGNED + CHUNKED, CHUNK),
    "a rejection's body": (b"HTTP/1.1 503 E\r\n" + MARKED + CHUNKED, CHUNK),
    "an event": (OK + SIGNED + STREAM + CHUNKED, CHUNK),
    "events": (OK + SIGNED + STREAM + CHUNKED, b"9\r\ndata: x\n\n\r\n"),
}
GET = b"GET /look/x HTTP/1.1\r\nhost: shop.example\r\nauthorization: Bearer key-of-small\r\n"
POST = GET.replace(b"GET /look", b"POST /order")
REQUESTS = {
    "blank lines": (b"", b"\r\n"),
    "a request line": (b"GET /", b"x"),
    "a header's name": (GET, b"x"),
    "a header's value": (GET + b"x-a: ", b"x"),
    "blanks before a value": (GET + b"x-a: ", b" "),
    "headers": (GET, b"a:\r\n"),
    "a body in small chunks": (POST + CHUNKED, b"1\r\nx\r\n"),
    "a chunk's size": (POST + CHUNKED, b"0"),
    "a chunk's extension": (POST + CHUNKED + b"5;", b"x"),
    "a trailer": (POST + CHUNKED + b"0\r\nx-a: ", b"x"),
    "requests": (GET + b"\r\n", GET + b"\r\n"),
    "a body of a terabyte": (POST + b"content-length: 1000000000000\r\n\r\n", b"x"),
}


@dataclass
class Sent:
    """What went out on one connection: its bytes, and for how long until the other end closed."""

    size: int = 0
    seconds: float = 0.0
    closed: bool = False


def with_id(data, request):
    """Return an answer's bytes with the id of a request, as servers echo it."""
    found = ID_LINE.search(request)
    if found is None:
        return data
    for mark in (SIGNED, MARKED):
        data = data.replace(mark, found[1] + mark, 1)
    return data


def send_endlessly(sock, first, again, sent):
    """Send until the other end closes."""
    piece = again * max(1, PIECE_BYTES // len(again))
    began = time.monotonic()
    sock.settimeout(1.0)
    data = first
    try:
        while sent.size < MAX_SENT_BYTES and sent.seconds < MAX_SENT_S:
            with contextlib.suppress(TimeoutError):
                sent.size += sock.send(data)
                data = piece
            sent.seconds = time.monotonic() - began
    except OSError:
        sent.closed = True
    sent.seconds = time.monotonic() - began


@dataclass
class EndlessServer:
    """A backend server that answers health checks, and everything else without end."""

    form: str
    sent: list[Sent] = field(default_factory=list)
    port: int = 0

    def start(self):
        """Listen, and return the function that ends it."""
        listener = socket.create_server(("127.0.0.1", 0))
        self.port = listener.getsockname()[1]
        threading.Thread(target=self._accept, args=(listener,), daemon=True).start()

        def stop():
            with contextlib.suppress(OSError):
                listener.shutdown(socket.SHUT_RDWR)
            listener.close()

        return stop

    def _accept(self, listener):
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        with sock, contextlib.suppress(OSError):
            while True:
                head = sock.recv(PIECE_BYTES)
                if not head:
                    return
                if not head.startswith(b"GET /health"):
                    break
                sock.sendall(OK + b"content-length: 0\r\n\r\n")
            sent = Sent()
            self.sent.append(sent)
            first, again = ANSWERS[self.form]
            send_endlessly(sock, with_id(first, head), again, sent)


class Daemon:
    """A VM's daemon in a process of its own."""

    def __init__(self, folder, url, *, seeds=(), name="n1", centre="north-1"):
        # An address of its own: on 127.0.0.1, another test may take a port before it is bound.
        net = f"127.{1 + os.getpid() // 250 % 250}.{1 + os.getpid() % 250}"
        self.host = host = f"{net}.{1 if name == 'n1' else 2}"
        self._log = (folder / "daemon.log").open("ab")
        self.log = folder / "daemon.log"
        ports = free_ports(5, host)
        self.callers, self.ready, self.directory, self.state, self.peers = ports
        path = folder / "vm.json"
        path.write_text(
            f"""{{vm: {{name: "{name}", region: "{centre[:5]}", data_centre: "{centre}",
              host: "{host}", peer_port: {self.peers}}},
            platform: {{urls: ["{url}"], prefix: "hickorybeam/", timeout_ms: 1500}},
            peers: {{tls: {{plain: true}}}},
            gateway: {{regions: {{"north-1": "north", "south-1": "south"}},
              callers: "{host}:{self.callers}", ready: "{host}:{self.ready}",
              directory: "{host}:{self.directory}", state: "{host}:{self.state}",
              seeds: [{", ".join(f'"{seed}"' for seed in seeds)}], repeat_allowance: 1000}},
            log: {{format: "json"}}}}"""
        )
        env = os.environ | {"HICKORYBEAM_CONFIG": str(path), "PYTHONPATH": str(ROOT / "src")}
        command = [sys.executable, str(ROOT / "src" / "entry.py")]
        self.process = subprocess.Popen(command, env=env, stdout=self._log, stderr=self._log)

    def is_ready(self):
        """Return whether it says that it serves."""
        try:
            urllib.request.urlopen(f"http://{self.host}:{self.ready}/readiness", timeout=1).close()
        except OSError:
            return False
        return True

    def memory_mb(self):
        """Return its resident memory."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.split("VmRSS:")[1].split()[0]) / 1_024

    def peak_mb(self):
        """Return the most of resident memory that it has had."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.split("VmHWM:")[1].split()[0]) / 1_024

    def stop(self):
        """End it."""
        self.process.kill()
        self.process.wait()
        self._log.close()


def free_ports(count, host):
    """Return ports that are free for TCP and UDP."""
    found, kept = [], []
    while len(found) < count:
        sock = socket.create_server((host, 0))
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        port = sock.getsockname()[1]
        try:
            udp.bind((host, port))
        except OSError:
            sock.close()
        else:
            found.append(port)
            kept.append(sock)
        udp.close()
    for sock in kept:
        sock.close()
    return found

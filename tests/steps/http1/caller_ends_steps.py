from __future__ import annotations

import select
import signal
import socket
import time

from behave import given, then, when

from support.http_process import HOST, http_process

LIMIT_S = 10
LATE_S = 1.5
RECEIVE_BUFFER_BYTES = 16_384
LAST_CHUNK = b"0\r\n\r\n"


@given(
    "a server process on {loop} that ends connections whose callers read nothing for {stall:d} ms"
)
def step_process(context, loop, stall):
    manager = http_process(loop, stall_ms=stall)
    context.process, context.port = context.stack.enter_context(manager)


@when('a caller with HTTP/1.{version} asks it for "{target}" and {caller}')
def step_ask(context, version, target, caller):
    sock = socket.socket()
    context.stack.callback(sock.close)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.settimeout(LIMIT_S)
    sock.connect((HOST, context.port))
    request = f"GET {target} HTTP/1.{version}\r\nHost: a\r\nConnection: close\r\n\r\n"
    sock.sendall(request.encode())
    # Nothing is taken from the socket before the process has ended.
    assert select.select([sock], [], [], LIMIT_S)[0], "no answer"
    if caller == "half-closes":
        sock.shutdown(socket.SHUT_WR)
    time.sleep(LATE_S if caller == "reads late" else 0.1)
    context.caller, context.size, context.version = sock, int(target.split("/")[1]), version


@when('an old caller that keeps connections asks it for "{first}" and "{second}", and reads late')
def step_ask_both(context, first, second):
    sock = socket.socket()
    context.stack.callback(sock.close)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.settimeout(LIMIT_S)
    sock.connect((HOST, context.port))
    for target in (first, second):
        request = f"GET {target} HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\n\r\n"
        sock.sendall(request.encode())
    time.sleep(LATE_S)
    context.caller, context.size, context.version = sock, int(first.split("/")[1]), "0"


@when("the process {end}")
def step_end(context, end):
    match end:
        case "is killed":
            context.process.kill()
        case "stops in order":
            context.process.send_signal(signal.SIGTERM)
        case "goes on":
            return
    context.process.wait(LIMIT_S)


def read_all(sock):
    """Return the body, and whether the connection ended in order."""
    received = bytearray()
    try:
        while piece := sock.recv(65_536):
            received += piece
    except ConnectionResetError:
        return bytes(received), False
    return bytes(received.partition(b"\r\n\r\n")[2]), True


@then("the caller's connection was reset, or lacks the end of the body")
def step_broken(context):
    body, in_order = read_all(context.caller)
    whole = in_order and (context.version == "0" or body.endswith(LAST_CHUNK))
    assert not whole, f"{len(body)} of {context.size} bytes look like the whole body"


@then("the caller gets the whole body, and its connection ends in order")
def step_whole(context):
    body, in_order = read_all(context.caller)
    assert in_order, f"reset after {len(body)} bytes"
    if context.version == "1":
        assert body.endswith(LAST_CHUNK), body[-50:]
        return
    assert body == b"x" * context.size, f"{len(body)} of {context.size} bytes"


@then("the process has logged nothing")
def step_no_log(context):
    context.process.send_signal(signal.SIGTERM)
    context.process.wait(LIMIT_S)
    logged = context.process.stderr.read()
    assert not logged, logged.decode()

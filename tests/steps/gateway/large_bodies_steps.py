from __future__ import annotations

import socket

import anyio
from behave import given, then, when

from hickorybeam.gateway.relay import RelayService
from hickorybeam.ports import RELAY
from hickorybeam.standins.deployment import HOST, KEYS
from support.gateway import executed_requests, small_gateway

BODY_BYTES = 200_000
LIMIT_S = 20
SPENT_RATE = {"rate-per-s": 1, "burst": 1}


@given("a small gateway whose operator allows bodies of 1 MiB")
def step_gateway(context):
    context.fleet = context.stack.enter_context(
        context.portal.wrap_async_context_manager(small_gateway())
    )
    config = context.fleet.config
    # So long that no test waits for it.
    config["limits"] |= {"max-body-bytes": 1 << 20, "header-timeout-ms": 60_000}
    next(it for it in config["tenants"] if it["name"] == "large").update(SPENT_RATE)
    config["version"] += 1
    context.fleet.configure()
    context.call(in_force, context)


async def in_force(context):
    while vm(context).routing_state.caller_limits().body_bytes != 1 << 20:
        await anyio.sleep(0.02)


def vm(context):
    return context.fleet.vms["n1"]


def head(*lines, key="small", path="/order/x", name="00aa", length=BODY_BYTES):
    first = [f"POST {path} HTTP/1.1", f"host: {HOST}", "x-hickorybeam-deadline-milliseconds: 5000"]
    if name:
        first.append(f"x-hickorybeam-request-id: {name}")
    if key:
        first.append(f"authorization: Bearer {KEYS.get(key, key)}")
    if length:
        first.append(f"content-length: {length}")
    return ("\r\n".join((*first, *lines)) + "\r\n\r\n").encode()


HEADS = {
    "in order": head(),
    "with an unknown key": head(key="nobody's"),
    "without a key": head(key=""),
    "on a route that is not there": head(path="/nowhere/x"),
    "without an id": head(name=""),
    "of an account over its rate": head("x-hickorybeam-token-counts: 900,900", key="large"),
    "with a body over the limit": head(length=1 << 21),
    "with a length of 30 digits": head(length=10**15 - 1).replace(b"9" * 15, b"0" * 14 + b"9" * 16),
    "that waits to be told to go on, with an unknown key": head(
        "expect: 100-continue", key="nobody's", length=9
    ),
}


def send(context, data, port="callers"):
    number = getattr(vm(context).ports, port)
    context.sock = socket.create_connection(("127.0.0.1", number), timeout=LIMIT_S)
    context.stack.callback(context.sock.close)
    context.sock.sendall(data)


@when("a caller sends the head of a request {request}, and none of its body")
def step_head(context, request):
    kind, _, port = request.partition(' to the port "')
    send(context, HEADS[kind], port.rstrip('"') or "callers")


@when("a caller sends {count:d} bytes in chunks with an unknown key, and not the end")
def step_chunks(context, count):
    first = head("transfer-encoding: chunked", key="nobody's", length=0)
    send(context, first + b"%x\r\n%s\r\n" % (count, b"x" * count))


@when("a caller sends a request in order with its whole body")
def step_whole(context):
    send(context, HEADS["in order"] + b"x" * BODY_BYTES)


@given("its VM takes no more requests")
def step_draining(context):
    relay = vm(context).kernel.find(RELAY, RelayService)
    context.portal.call(relay._handler.drain)


@then("it gets {status:d}")
def step_status(context, status):
    found = context.sock.recv(65_536)
    assert found.startswith(b"HTTP/1.1 %d " % status), found[:300]


@then("no server ran anything")
def step_nothing_ran(context):
    assert not executed_requests(context.fleet)


@then("the servers ran {count:d} request with the whole body")
def step_ran(context, count):
    found = [len(it.body) for it in executed_requests(context.fleet)]
    assert found == [BODY_BYTES] * count, found

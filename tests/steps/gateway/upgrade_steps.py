from __future__ import annotations

import anyio
from behave import then, when

from hickorybeam.standins.deployment import caller_headers

OFFER = b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABk\r\n"
FIRST_CHUNK_BYTES = 100
LAST_CHUNK = b"0\r\n\r\n"


def framed(body, framing):
    """Return the header that tells a body's framing, and the body in it."""
    if framing == "a length":
        return b"Content-Length: %d\r\n" % len(body), body
    parts = (body[:FIRST_CHUNK_BYTES], body[FIRST_CHUNK_BYTES:])
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(it), it) for it in parts if it)
    return b"Transfer-Encoding: chunked\r\n", chunks + LAST_CHUNK


def order(number, body, framing, offer=b""):
    headers = caller_headers(f"{number:016x}", key="small", wait_ms=2_000)
    lines = b"".join(b"%s: %s\r\n" % pair for pair in headers)
    header, data = framed(body, framing)
    return b"POST /order/x HTTP/1.1\r\n" + lines + offer + header + b"\r\n" + data


@when(
    "an order with a body of {size:d} bytes, framed by {framing}, offers {protocol} to "
    '"{vm}", sent {pieces}'
)
def step_order_with_offer(context, size, framing, protocol, vm, pieces):
    rig = context.rig
    context.body = bytes(it % 251 for it in range(size))
    data = order(1, context.body, framing, OFFER)
    if pieces == "behind another":
        data = order(2, b"another", framing) + data
    piece = 1 if pieces == "byte by byte" else len(data)

    async def send():
        port = rig.vms[vm].ports.callers
        found = b""
        async with await anyio.connect_tcp("127.0.0.1", port) as stream:
            for start in range(0, len(data), piece):
                await stream.send(data[start : start + piece])
            while found.count(b"done by") < 1 + (pieces == "behind another"):
                found += await stream.receive()
        return found

    context.found = context.call(send)


@then("each order is answered once")
def step_answered(context):
    assert context.found.startswith(b"HTTP/1.1 200 "), context.found
    count = context.found.count(b"HTTP/1.1 200 ")
    assert count == len(context.rig.servers["b1"].ran), context.found


@then('server "{name}" has run one order with that body')
def step_ran_with_body(context, name):
    ran = [it for it in context.rig.servers[name].ran if it.request_id == f"{1:016x}"]
    assert [it.body for it in ran] == [context.body], [len(it.body) for it in ran]

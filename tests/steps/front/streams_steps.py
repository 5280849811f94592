from __future__ import annotations

from dataclasses import replace

import anyio
from behave import given, then, when
from tests.steps.front.rig import SECRET

from support.raw_server import framed_stream, serve_bytes

LAST_CHUNK = b"0\r\n\r\n"
REQUEST = "GET {path} HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer {key}\r\n{last}\r\n"


def to_bytes(text):
    return text.replace("\\n", "\n").replace("\\r", "\r").encode()


def serve(context, data, **options):
    rig = context.rig
    port = context.call(lambda: serve_bytes(rig.tg, data, **options))
    rig.dispatch.servers["bookings"] = replace(rig.dispatch.servers["bookings"], port=port)


@given('the plain service behind the front sends the stream "{events}" framed by "{framing}"')
def step_stream(context, events, framing):
    serve(context, framed_stream(to_bytes(events), framing), stays_open=framing != "close")


@given('the plain service behind the front sends the stream "{events}" and resets the connection')
def step_reset_stream(context, events):
    serve(context, framed_stream(to_bytes(events), "close"), resets=True)


@when('a caller of the front reads "{path}" to the end of its connection')
def step_read(context, path):
    request = REQUEST.format(path=path, key=SECRET, last="Connection: close\r\n").encode()

    async def exchange():
        received = b""
        with anyio.fail_after(5):
            async with await anyio.connect_tcp("127.0.0.1", context.rig.front.port) as stream:
                await stream.send(request)
                try:
                    while True:
                        received += await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return received

    context.raw_answer = context.call(exchange)


def read_chunks(data):
    """Return the body of a chunked answer, and whether its last chunk came."""
    body = b""
    while data:
        if data == LAST_CHUNK:
            return body, True
        size, _, rest = data.partition(b"\r\n")
        length = int(size, 16)
        body += rest[:length]
        data = rest[length + 2 :]
    return body, False


def check_answer(context, *, whole):
    head, _, rest = context.raw_answer.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200"), head
    assert b"transfer-encoding: chunked" in head, head
    body, ended = read_chunks(rest)
    assert ended == whole, rest
    return body


@then('the front\'s answer is "{events}" with its last chunk')
def step_whole(context, events):
    assert check_answer(context, whole=True) == to_bytes(events)


@then('the front\'s answer is "{events}" without its last chunk')
def step_broken(context, events):
    body = check_answer(context, whole=False)
    assert body == to_bytes(events), body


@then('the front\'s answer is "{events}" and an error event, without its last chunk')
def step_error_event(context, events):
    body = check_answer(context, whole=False)
    assert body.startswith(to_bytes(events) + b"event: error\ndata: "), body
    assert body.endswith(b"\n\n"), body

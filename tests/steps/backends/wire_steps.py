from __future__ import annotations

from dataclasses import replace

from behave import given, then, when
from tests.steps.backends.backends_steps import read

from hickorybeam.standins.http import Fault, FaultKind
from support.raw_server import framed_stream, serve_bytes

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"transfer-encoding: chunked\r\n\r\n"
BYTES = {
    "length": OK + b"content-length: 5\r\n\r\nhello",
    "chunked": CHUNKED + b"2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
    "close requested": OK + b"connection: close\r\ncontent-length: 5\r\n\r\nhello",
    "old http": b"HTTP/1.0 200 OK\r\n\r\nhello",
    "early hints": b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n"
    + OK
    + b"content-length: 5\r\n\r\nhello",
    "head": OK + b"content-length: 5\r\n\r\n",
    "no content": b"HTTP/1.1 204 No Content\r\n\r\n",
    "not modified": b"HTTP/1.1 304 Not Modified\r\ncontent-length: 5\r\n\r\n",
    "extra bytes": OK + b"content-length: 5\r\n\r\nhello" + OK + b"content-length: 1\r\n\r\nx",
    "extra bytes, no HTTP": OK + b"content-length: 5\r\n\r\nhello!",
    "extra bytes, closing": OK + b"connection: close\r\ncontent-length: 5\r\n\r\nhello!",
    "short": OK + b"content-length: 9\r\n\r\nhello",
    "half chunk": CHUNKED + b"9\r\nhello",
    "half chunk, spaces": OK + b"transfer-encoding: chunked \r\n\r\n9\r\nhello",
    "no last chunk": CHUNKED + b"5\r\nhello\r\n",
    "bad chunk": CHUNKED + b"5\r\nhello\r\nzz\r\n",
    "not http": b"SSH-2.0-OpenSSH\r\n\r\n",
    "two lengths": OK + b"content-length: 5\r\ncontent-length: 6\r\n\r\nhello",
    "length and chunked": OK + b"content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    "incomplete head": OK + b"content-le",
    "nothing": b"",
    "oversized head": OK + b"x-a: b\r\n" * 100_000 + b"\r\n",
    "switching protocols": b"HTTP/1.1 101 Switching\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n",
    "no length": OK + b"\r\nhello",
    "no length, reset": OK + b"\r\nhello",
    "no length, silent": OK + b"\r\nhel",
    "response to another": OK + b"x-request-id: other\r\ncontent-length: 5\r\n\r\nhello",
    "response to nobody": OK + b"x-request-id:\r\nContent-length: 5\r\n\r\nhello",
    "refusal of nobody": b"HTTP/1.1 503 Full\r\nx-request-id:\r\nx-ran: no\r\n"
    b"content-length: 0\r\n\r\n",
    "refusal of another": b"HTTP/1.1 503 Full\r\nx-ran: no\r\nx-request-id: other\r\n"
    b"content-length: 0\r\n\r\n",
    "half a status line": b"HTTP/1.1 503 " + OK + b"x-ran: no\r\ncontent-length: 5\r\n\r\nhello",
    "half a refusal": b"HTTP/1.1 503 Full\r\nx-ran: no\r\nx-a: "
    + OK
    + b"content-length: 5\r\n\r\nhello",
    "refusal of two": b"HTTP/1.1 503 Full\r\nx-ran: no\r\nx-request-id: other\r\n"
    b"x-request-id: other2\r\ncontent-length: 0\r\n\r\n",
}
STAYS_OPEN = {
    "length",
    "chunked",
    "early hints",
    "head",
    "no content",
    "not modified",
    "extra bytes",
    "no length, silent",
}
INVALID = {
    "a line break in a value": {"headers": (("x-a", "b\r\nx-admin: 1"),)},
    "a space in the target": {"path": "/x HTTP/1.1\r\nx-admin: 1"},
    "a colon in a name": {"headers": (("x-a: 1\r\nx-b", "c"),)},
}


@given('a raw server at the backends rig that sends "{what}"')
def step_raw_server(context, what):
    serve_raw(
        context,
        BYTES[what],
        stays_open=what in STAYS_OPEN,
        resets=what.endswith("reset"),
    )


@given('a raw server at the backends rig whose stream is "{events}" framed by "{framing}"')
def step_raw_stream(context, events, framing):
    context.events = events.replace("\\n", "\n").replace("\\r", "\r").encode()
    serve_raw(
        context, framed_stream(context.events, framing), stays_open=framing in ("chunked", "length")
    )


def serve_raw(context, data, **options):
    rig = context.rig
    port = context.call(lambda: serve_bytes(rig.tg, data, **options))
    rig.servers["raw"] = replace(rig.servers["plain"], name="raw", port=port)


@given("the backends rig's plain service responds to its first call {ms:d} ms late")
def step_late(context, ms):
    context.rig.plain.app.faults.set(Fault(kind=FaultKind.LATE, ms=ms, count=1))


@when('the backends rig sends "{method}" "{path}" to the raw server')
def step_send_raw(context, method, path):
    read(context, context.rig.plain_call(method, path), "raw")


@when('the backends rig sends a plain call with "{what}"')
def step_invalid(context, what):
    fields = {"method": "GET", "path": "/x"} | INVALID[what]
    read(context, context.rig.plain_call(**fields), "plain")


@then('the raw response at the backends rig is "{outcome}"')
def step_outcome(context, outcome):
    received = context.received
    if received.error is not None:
        assert received.error.kind.value == outcome, received.error
        assert received.end is None
        return
    assert received.end is not None
    assert f"{received.head.status} {received.body.decode()}".strip() == outcome, received.parts


@then("the backends rig keeps the raw connection: {word}")
def step_kept(context, word):
    idle = context.rig.backends.pool.idle_count(context.rig.servers["raw"])
    assert idle == (1 if word == "yes" else 0), idle


@then('the plain response at the backends rig names path "{path}"')
def step_path(context, path):
    assert context.received.error is None, context.received.error
    assert f'"path":"{path}"'.encode() in context.received.body, context.received.body


@then("the raw response at the backends rig is those events")
def step_those_events(context):
    received = context.received
    assert received.error is None, received.error
    assert received.end is not None
    assert received.body == context.events, received.body

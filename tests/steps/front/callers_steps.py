from __future__ import annotations

import socket
import time
from dataclasses import replace

import httpcore
import msgspec
from behave import given, then, when
from tests.steps.front.openai_steps import eventually
from tests.steps.front.rig import SECRET

from hickorybeam.model import ConfigState, ObjectRef, key_digest
from hickorybeam.standins.http import Fault, FaultKind
from support.stopwatch import Stopwatch

CHAT = b'{"model":"small","messages":[{"role":"user","content":"hello prompt"}],"max_tokens":4}'
HEAD = f"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {SECRET}\r\n"
CHUNK = b"1000\r\n" + b"x" * 4096 + b"\r\n"
RAW_REQUESTS = {
    "not http": b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\r\n\r\n",
    "two lengths": f"{HEAD}content-length: 5\r\ncontent-length: 6\r\n\r\nhello".encode(),
    "length and chunked": (
        f"{HEAD}content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n".encode()
    ),
    "large header": f"{HEAD}x-large: {'x' * 5_000}\r\n\r\n".encode(),
    "many headers": (HEAD + "x-a: b\r\n" * 1_000 + "\r\n").encode(),
    "large target": f"GET /{'x' * 5_000} HTTP/1.1\r\nhost: x\r\n\r\n".encode(),
    "large length": f"{HEAD}content-length: 20001\r\n\r\n".encode(),
    "large chunked body": (
        f"{HEAD}transfer-encoding: chunked\r\n\r\n".encode() + CHUNK * 6 + b"0\r\n\r\n"
    ),
    "half a head": HEAD.encode(),
    "half a body": f"{HEAD}content-length: 5\r\n\r\nhel".encode(),
    "bad deadline": (
        f"{HEAD}x-hickorybeam-deadline-ms: soon\r\ncontent-length: {len(CHAT)}\r\n\r\n".encode()
        + CHAT
    ),
    "query not ascii": (
        f"GET /v1/services/bookings/x?\xff HTTP/1.1\r\nhost: x\r\n"
        f"authorization: Bearer {SECRET}\r\n\r\n"
    ).encode("latin-1"),
    "path not ascii": "GET /v1/\xff HTTP/1.1\r\nhost: x\r\n\r\n".encode("latin-1"),
    "nested body": (
        f"{HEAD}content-length: 4047\r\n\r\n".encode()
        + b'{"model":"small","max_tokens":1,"messages":'
        + b"[" * 2_000
        + b"]" * 2_000
        + b"}   "
    ),
    "long idempotency": (
        f"{HEAD}idempotency-key: {'k' * 300}\r\ncontent-length: {len(CHAT)}\r\n\r\n".encode() + CHAT
    ),
}


def send(context, method, path, *, key=SECRET, body=b"", headers=()):
    headers = list(headers)
    if key:
        headers.append(("authorization", f"Bearer {key}"))
    context.response = httpcore.request(
        method, f"{context.rig.url}{path}", headers=headers, content=body
    )
    return context.response


def connect(context, source="127.0.0.1"):
    address = ("127.0.0.1", context.rig.front.port)
    sock = socket.create_connection(address, timeout=5, source_address=(source, 0))
    context.stack.callback(sock.close)
    return sock


def read_all(sock):
    """Read until the other end closes, or until a complete refusal or JSON response."""
    data = b""
    try:
        while part := sock.recv(65536):
            data += part
            if b"}}" in data:
                break
    except TimeoutError:
        pass
    return data


def error_of(context):
    return msgspec.json.decode(context.response.content)["error"]


@when('the front gets "{method}" "{path}" with key "{key}" and body "{body}"')
@when('the front gets "{method}" "{path}" with key "{key}" and body ""')
@when('the front gets "{method}" "{path}" with key "" and body "{body}"')
@when('the front gets "{method}" "{path}" with key "" and body ""')
def step_get(context, method, path, key="", body=""):
    send(context, method, path, key=key, body=body.encode())


@when("the front gets a chat call")
def step_chat(context):
    send(context, "POST", "/v1/chat/completions", body=CHAT)


@when("the front gets a chat call without a token limit")
def step_chat_no_limit(context):
    body = b'{"model":"small","messages":[{"role":"user","content":"hi"}]}'
    send(context, "POST", "/v1/chat/completions", body=body)


@when("the front gets a chat call that was redirected")
def step_redirected(context):
    headers = [("x-hickorybeam-redirected", "1")]
    send(context, "POST", "/v1/chat/completions", body=CHAT, headers=headers)


@when("the front gets a plain call with forged headers")
def step_forged(context):
    headers = [
        ("x-account", "other"),
        ("x-hickorybeam-hops", "0"),
        ("x-request-id", "other"),
        ("x-copy-of-key", f"<{SECRET}>"),
        ("cookie", "a=b"),
    ]
    send(context, "GET", "/v1/services/bookings/bookings?day=1", headers=headers)


@when('the front gets a booking with idempotency key "{key}"')
def step_booking(context, key):
    headers = [("idempotency-key", key)]
    send(context, "POST", "/v1/services/bookings/bookings", body=b"{}", headers=headers)


@when('the front gets raw bytes "{name}"')
def step_raw(context, name):
    sock = connect(context)
    sock.sendall(RAW_REQUESTS[name])
    context.raw = read_all(sock)


@when("the front gets the head of a chat call without its body")
def step_head_only(context):
    sock = connect(context)
    sock.sendall(f"{HEAD}content-length: 100\r\nexpect: 100-continue\r\n\r\n".encode())
    context.raw = read_all(sock)


@when("the front has {count:d} open connections from one address")
def step_connections(context, count):
    context.open = [connect(context) for _ in range(count)]
    context.call(eventually, lambda: len(context.rig.front._connection_limits.conns) == count)


@when("a caller connects to the front and sends nothing")
def step_silent(context):
    stopwatch = Stopwatch()
    context.raw = read_all(connect(context))
    context.elapsed_ms = stopwatch.elapsed_ms()


@when("{count:d} callers hold streams open at the front")
def step_open_streams(context, count):
    body = CHAT.replace(b'"max_tokens":4', b'"max_tokens":900,"stream":true')
    for _ in range(count):
        sock = connect(context)
        sock.sendall(f"{HEAD}content-length: {len(body)}\r\n\r\n".encode() + body)
    context.call(eventually, lambda: len(context.rig.dispatch.calls) == count)


@when("a caller of the front disconnects in mid-stream")
def step_disconnect(context):
    body = CHAT.replace(b'"max_tokens":4', b'"max_tokens":900,"stream":true')
    sock = connect(context)
    sock.sendall(f"{HEAD}content-length: {len(body)}\r\n\r\n".encode() + body)
    assert b"200 OK" in sock.recv(65536)
    sock.close()


@when("a caller of the front reads nothing of a large response")
def step_no_read(context):
    sock = socket.socket()
    context.stack.callback(sock.close)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect(("127.0.0.1", context.rig.front.port))
    path = "/v1/services/bookings/bytes?count=50000000"
    head = f"GET {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {SECRET}\r\n\r\n"
    sock.sendall(head.encode())
    context.started_s = time.monotonic()


@given("the engine behind the front delays its first token")
def step_delayed(context):
    context.rig.engine.app.faults.set(Fault(kind=FaultKind.LATE, ms=2_000))


@given('the front\'s account may be served only in "{region}"')
def step_residency(context, region):
    context.rig.config.set(*context.rig.objects(residency="rule", rule_regions=(region,)))


@given("the front's account has an unknown residency rule")
def step_unknown_rule(context):
    context.rig.config.set(*context.rig.objects(residency="missing"))


@given("the front's key is revoked")
def step_revoked(context):
    kept = [obj for obj in context.rig.objects() if obj.name != key_digest(SECRET)]
    context.rig.config.set(*kept, deleted=[ObjectRef("keys", key_digest(SECRET))])


@given("the front has no configuration yet")
def step_not_ready(context):
    context.rig.config.state = ConfigState()


@given("the front's configuration is {age:d} seconds old and its limit is {limit:d}")
def step_stale(context, age, limit):
    context.rig.config.age_ms = lambda: age * 1000
    front_context = context.rig.front._context
    front_context.cfg = replace(
        front_context.cfg, config=replace(front_context.cfg.config, stale_after_ms=limit * 1000)
    )


@then('the front responds with status {status:d}, code "{code}" and ran "{ran}"')
def step_refusal(context, status, code, ran):
    error = error_of(context)
    actual = (context.response.status, error["code"], error["ran"])
    assert actual == (status, code, ran), context.response.content
    assert set(error) >= {"message", "type", "param", "retry", "retry_after_ms", "entries"}


@then('the front counted a refusal "{kind}"')
def step_counted(context, kind):
    assert context.rig.count("refusals", kind=kind) == 1, kind


@then('the front did not count a refusal "{kind}"')
def step_not_counted(context, kind):
    assert context.rig.count("refusals", kind=kind) == 0, kind


@then('the front\'s refusal names field "{name}"')
def step_field(context, name):
    assert error_of(context)["param"] == name


@then("the front's response has a request id")
def step_request_id(context):
    assert dict(context.response.headers)[b"x-request-id"]


@then('the front\'s refusal lists entries "{entries}"')
@then('the front\'s refusal lists entries ""')
def step_entries(context, entries=""):
    assert error_of(context)["entries"] == entries.split(), error_of(context)


@then('the raw response of the front has status {status:d} and code "{code}"')
def step_raw_answer(context, status, code):
    assert context.raw.startswith(b"HTTP/1.1 %d " % status), context.raw[:300]
    error = msgspec.json.decode(context.raw.partition(b"\r\n\r\n")[2])["error"]
    assert (error["code"], error["ran"]) == (code, "no"), error


@then('the raw response of the front lists entry "{entry}"')
def step_raw_entry(context, entry):
    assert entry.encode() in context.raw


@then('the front refuses one more connection with "{code}"')
def step_one_more(context, code):
    raw = read_all(connect(context))
    assert raw.startswith(b"HTTP/1.1 429 "), raw
    assert code.encode() in raw


@when("the front has {count:d} open connections from each of {addresses:d} addresses")
def step_many_addresses(context, count, addresses):
    for number in range(addresses):
        for _ in range(count):
            connect(context, f"127.0.0.{number + 2}")
    total = count * addresses
    context.call(eventually, lambda: len(context.rig.front._connection_limits.conns) == total)


@when("the front may have {count:d} connections")
def step_max_connections(context, count):
    context.rig.front._connection_limits.max_conns = count


@then("a call from another address is answered, and the front has at most {count:d} connections")
def step_other_address(context, count):
    sock = connect(context, "127.0.0.9")
    sock.sendall(f"{HEAD}content-length: {len(CHAT)}\r\n\r\n".encode() + CHAT)
    raw = read_all(sock)
    assert raw.startswith(b"HTTP/1.1 200 "), raw
    assert len(context.rig.front._connection_limits.conns) <= count


@then('the front refuses a connection from any address with "{code}"')
def step_full(context, code):
    raw = read_all(connect(context))
    assert raw.startswith(b"HTTP/1.1 503 "), raw
    assert code.encode() in raw


@then("the raw response of the front closes the connection")
def step_raw_close(context):
    assert b"\r\nconnection: close\r\n" in context.raw, context.raw


@then("the front closes the connection after {low:d} to {high:d} ms")
def step_closed(context, low, high):
    assert context.raw == b"", context.raw
    assert low <= context.elapsed_ms <= high, context.elapsed_ms


@then("the plain service behind the front got no key and no forged header")
def step_no_key_forwarded(context):
    assert context.response.status == 200, context.response.content
    headers = context.rig.plain.app.headers[-1]
    assert SECRET not in str(headers), headers
    assert headers["x-account"] == "family"
    assert headers["x-request-id"] == dict(context.response.headers)[b"x-request-id"].decode()
    assert not {"authorization", "cookie", "x-hickorybeam-hops", "x-copy-of-key"} & set(headers)


@then("the call behind the front has a token limit in its body and its cost")
def step_limit(context):
    call = context.rig.dispatch.calls[-1]
    limit = msgspec.json.decode(call.body)["max_tokens"]
    assert limit == call.max_tokens == 256
    assert call.cost == call.prompt_tokens + limit


@then("the front's response does not quote the prompt")
def step_does_not_quote(context):
    assert b"hello prompt" not in context.response.content


@then('the front lists entries of "{first}" before "{second}" with a validity')
def step_listed(context, first, second):
    body = msgspec.json.decode(context.response.content)
    regions = [entry["region"] for entry in body["entries"]]
    assert regions == [first, first, second], body
    assert body["valid_ms"] == 10_000


@then("the front issued {count:d} idempotency keys")
def step_issued(context, count):
    assert len(msgspec.json.decode(context.response.content)["keys"]) == count


@then('the idempotency service behind the front got key "{key}"')
def step_idempotency_key(context, key):
    assert context.response.status == 201, context.response.content
    assert context.rig.once.keys == [key]


@then('the front responds with status {status:d} and field "{field}"')
def step_field_answer(context, status, field):
    assert context.response.status == status, context.response.content
    assert field in msgspec.json.decode(context.response.content)


@then("the front responds with metrics")
def step_metrics(context):
    assert context.response.status == 200
    assert b"hickorybeam_caller_connections" in context.response.content


@then("the engine behind the front gets a cancel request")
def step_cancel(context):
    context.call(eventually, lambda: context.rig.engine.app.batch.cancels)


@then("the front drops the connection after {low:d} to {high:d} ms")
def step_dropped(context, low, high):
    context.call(eventually, lambda: context.rig.dispatch.closed)
    elapsed_ms = (time.monotonic() - context.started_s) * 1000
    assert low <= elapsed_ms <= high, elapsed_ms

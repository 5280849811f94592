from __future__ import annotations

import socket
from contextlib import asynccontextmanager

import anyio
from behave import given, then, when

from hickorybeam.clock import SystemClock
from hickorybeam.demo.platform import start_platform_fleet
from hickorybeam.http1.head import request_bytes
from hickorybeam.policy.fleet_retry_budget import FleetRetryLimits
from hickorybeam.standins.deployment import HOST, KEYS, caller_headers
from support.gateway import executed_requests, small_gateway

BODY = b"{}"


def start(context, **options):
    manager = small_gateway(**options)
    context.rig = context.stack.enter_context(context.portal.wrap_async_context_manager(manager))


def split_names(text):
    return tuple(name.strip() for name in text.split(","))


@given("a small gateway")
def step_small_gateway(context):
    start(context)


@given('a small gateway with servers "{servers}"')
def step_gateway_servers(context, servers):
    start(context, servers=tuple(tuple(name.split(":")) for name in split_names(servers)))


@given("a small gateway with a southern region")
def step_southern_region(context):
    start(context, south=True)


@given("a small gateway with a southern region, whose VMs have a grace period of {grace:g} s")
def step_grace_period(context, grace):
    start(context, south=True, grace_s=grace)


@given('a small gateway with a southern region and VMs "{vms}"')
def step_southern_region_vms(context, vms):
    start(context, south=True, vms=split_names(vms))


@given('a small gateway with VMs "{vms}"')
def step_gateway_vms(context, vms):
    start(context, vms=split_names(vms))


@given("a gateway without a configuration")
def step_no_configuration(context):
    @asynccontextmanager
    async def without_configuration():
        async with start_platform_fleet() as fleet:
            fleet.app.delete("op/config")
            await fleet.add_server("b1", "books", "north-1")
            await fleet.add_vm("n1", "north-1")
            yield fleet

    context.rig = context.stack.enter_context(
        context.portal.wrap_async_context_manager(without_configuration())
    )


@given('server "{name}" hangs on the next request')
def step_hang(context, name):
    context.rig.servers[name].faults.hung = 1


@given('server "{name}" has fault "{fault}" {count:d} times')
def step_fault(context, name, fault, count):
    setattr(context.rig.servers[name].faults, fault, count)


@given('every server has fault "{fault}" {count:d} times')
def step_faults_everywhere(context, fault, count):
    for server in context.rig.servers.values():
        setattr(server.faults, fault, count)


@given('every server of "{service}" has fault "{fault}" once')
def step_fault_every_server(context, service, fault):
    for server in context.rig.servers.values():
        if server.service == service:
            setattr(server.faults, fault, 1)


@given('server "{name}" takes {ms:d} ms for each event')
def step_slow_events(context, name, ms):
    context.rig.servers[name].work_ms = ms * 6


@given('account "{name}" may spend {rate:d} tokens a second with a burst of {burst:d}')
def step_account_rate(context, name, rate, burst):
    async def change():
        rig = context.rig
        for terms in rig.config["tenants"]:
            if terms["name"] == name:
                terms.update({"rate-per-s": rate, "burst": burst})
        rig.config["version"] += 1
        rig.configure()
        await rig.settled()
        # An account's bucket starts empty; wait until it holds the burst.
        await anyio.sleep(burst / rate + 0.1)

    context.call(change)


def ask(context, vm, path, **options):
    context.reply = context.call(lambda: context.rig.call(vm, path, **options))
    context.replies = [context.reply]


@when('a caller of "{key}" asks "{vm}" for "{path}"')
def step_ask(context, key, vm, path):
    ask(context, vm, path, key=key)


@when('a caller of "{key}" asks "{vm}" for "{path}" with a deadline of {ms:d} ms')
def step_ask_with_deadline(context, key, vm, path, ms):
    ask(context, vm, path, key=key, wait_ms=ms)


@when('a caller of "{key}" asks "{vm}" for "{path}" by POST')
def step_post(context, key, vm, path):
    ask(context, vm, path, key=key, method="POST", body=BODY)


@when('a caller of "{key}" asks "{vm}" for "{path}" with a body of {size:d} bytes')
def step_large_body(context, key, vm, path, size):
    ask(context, vm, path, key=key, method="POST", body=b"x" * size)


@when('a caller of "{key}" asks "{vm}" for "{path}" with forged headers')
def step_forged_headers(context, key, vm, path):
    forged = (
        (b"x-hickorybeam-tenant", b"large"),
        (b"X-HickoryBeam-Tenant", b"large"),
        (b"x-hickorybeam-expect-instance", b"another"),
        (b"x-hickorybeam-request-urgency", b"0"),
        (b"connection", b"x-hickorybeam-request-id"),
    )
    ask(context, vm, path, key=key, more=forged)


async def ask_many(context, count, vm, path, **options):
    replies = []

    async def one():
        replies.append(await context.rig.call(vm, path, **options))

    async with anyio.create_task_group() as tg:
        for _ in range(count):
            tg.start_soon(one)
    context.replies = replies


@when('{count:d} callers of "{key}" ask "{vm}" for "{path}" by POST')
def step_many_post(context, count, key, vm, path):
    tokens = b"50,10" if path.startswith("/chat") else None
    context.call(
        lambda: ask_many(context, count, vm, path, key=key, method="POST", body=BODY, tokens=tokens)
    )


@when('{count:d} callers of "{key}" ask "{vm}" for "{path}"')
def step_many(context, count, key, vm, path):
    context.call(lambda: ask_many(context, count, vm, path, key=key))


@when('a caller sends "{vm}" a request framed by "{framing}"')
def step_ambiguous_framing(context, vm, framing):
    lines = "\r\n".join(line.strip() for line in framing.split(";"))
    hidden = f"GET /look/hidden HTTP/1.1\r\nHost: {HOST}\r\n\r\n"
    data = f"POST /look/x HTTP/1.1\r\nHost: {HOST}\r\n{lines}\r\n\r\n0\r\n\r\n{hidden}"
    port = context.rig.vms[vm].ports.callers
    context.reply = context.call(context.rig.exchange, port, data.encode())


@when('a caller sends "{vm}" two requests in one packet')
def step_two_requests(context, vm):
    async def both():
        key = KEYS["small"]
        requests = [
            f"GET /look/{n} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {key}\r\n"
            f"X-Hickorybeam-Request-Id: two-{n}\r\n{last}\r\n"
            for n, last in ((1, ""), (2, "Connection: close\r\n"))
        ]
        stream = await anyio.connect_tcp("127.0.0.1", context.rig.vms[vm].ports.callers)
        async with stream:
            await stream.send("".join(requests).encode())
            received = b""
            with anyio.fail_after(8):
                while True:
                    try:
                        received += await stream.receive()
                    except anyio.EndOfStream:
                        return received

    context.received = context.call(both)


@then("both responses arrive in order")
def step_responses_in_order(context):
    assert context.received.count(b"HTTP/1.1 200 OK") == 2, context.received
    assert context.received.index(b"two-1") < context.received.index(b"two-2")


@when('a caller sends "{vm}" an incomplete request head and waits')
def step_incomplete_head(context, vm):
    port = context.rig.vms[vm].ports.callers
    context.reply = context.call(context.rig.exchange, port, b"GET /look/x HTTP/1.1\r\nHost:")


@when('a caller of "{key}" streams "{path}" from "{vm}"')
def step_stream(context, key, path, vm):
    ask(context, vm, path, key=key, method="POST", body=BODY, tokens=b"50,10")


@when('a caller of "{key}" opens a stream "{path}" at "{vm}" and disconnects')
def step_disconnect(context, key, path, vm):
    async def leave():
        with anyio.move_on_after(0.15):
            await context.rig.call(vm, path, key=key, method="POST", body=BODY, tokens=b"50,10")

    context.call(leave)


@then('server "{name}" has cancelled that request')
def step_request_cancelled(context, name):
    server = context.rig.servers[name]
    context.call(context.rig.until, lambda: server.cancelled == 1 and server.running == 0)


@then('the caller gets {status:d} with body "{body}" and its signature')
def step_gets_body(context, status, body):
    reply = context.reply
    assert (reply.status, reply.body.decode()) == (status, body), (reply.status, reply.body)
    assert reply.headers[b"x-hickorybeam-response-signature"].startswith(b"signed-")


@then("the caller gets {status:d}")
def step_gets_status(context, status):
    assert context.reply.status == status, (context.reply.status, context.reply.body)


@then("the caller gets {status:d} with a retry-after time")
def step_gets_retry_after(context, status):
    assert context.reply.status == status, context.reply.status
    assert context.reply.retry_after is not None
    assert context.reply.retry_after > 0


@then("the caller gets 200 or a retry-after time")
def step_200_or_retry_after(context):
    reply = context.reply
    assert reply.status == 200 or (reply.status == 503 and reply.retry_after > 0), reply.status


@then("each caller gets {status:d}")
def step_each_gets_status(context, status):
    found = [reply.status for reply in context.replies]
    assert found == [status] * len(found), found


@then("no server executed a request")
def step_nothing_executed(context):
    assert executed_requests(context.rig) == []


@then('servers of "{service}" executed {count:d} requests')
def step_executed_by_service(context, service, count):
    assert len(executed_requests(context.rig, service)) == count, executed_requests(
        context.rig, service
    )


@then('server "{name}" executed {count:d} requests')
def step_executed_by_server(context, name, count):
    assert len(context.rig.servers[name].ran) == count


@then('server "{name}" executed at most {count:d} requests')
def step_executed_at_most(context, name, count):
    assert len(context.rig.servers[name].ran) <= count, len(context.rig.servers[name].ran)


@then('the server got account "{name}" once and no key')
def step_account_header(context, name):
    headers = executed_requests(context.rig)[0].headers
    told = [value for key, value in headers if key == b"x-hickorybeam-tenant"]
    assert told == [name.encode()], told
    assert not any(key == b"authorization" for key, _ in headers)
    assert any(key == b"x-hickorybeam-request-id" for key, _ in headers)
    expected = [value for key, value in headers if key == b"x-hickorybeam-expect-instance"]
    assert expected == [b"b1"]


def events_of(reply):
    return [int(line[4:]) for line in reply.body.split(b"\n") if line.startswith(b"id: ")]


@then("the stream is complete with events {first:d} to {last:d}")
@then("the stream was complete with events {first:d} to {last:d}")
def step_stream_complete(context, first, last):
    reply = context.stream if hasattr(context, "stream") else context.reply
    assert reply.whole, reply.body
    assert events_of(reply) == list(range(first, last + 1)), reply.body


@then("the stream has events {first:d} to {last:d}")
def step_stream_events(context, first, last):
    assert events_of(context.reply) == list(range(first, last + 1)), context.reply.body


@then("the stream breaks off or is complete, without a gap")
def step_stream_without_gap(context):
    # Each server breaks off once; with two attempts, the second break ends the stream.
    found = events_of(context.reply)
    assert found == list(range(1, len(found) + 1)), found
    assert b"da\n" not in context.reply.body
    assert not context.reply.body.endswith(b"da"), context.reply.body


@then("the stream breaks off without a proper end")
def step_stream_breaks_off(context):
    assert not context.reply.whole


@when('a caller sends "{vm}" the bytes "{data}"')
def step_bytes(context, vm, data):
    raw = data.replace("~", "\r\n").replace("^", "\x16\x03\x01\x02").encode("latin-1")
    port = context.rig.vms[vm].ports.callers
    context.reply = context.call(context.rig.exchange, port, raw)


@when('"{vm}" gets a request for "{path}" with an upgrade to "{protocol}" from a caller of "{key}"')
def step_upgrade(context, vm, path, key, protocol):
    # Written by hand, since the rig's request writer sets its own connection header.
    headers = caller_headers("0123456789abcdef", key=key, wait_ms=2_000)
    lines = b"".join(b"%s: %s\r\n" % pair for pair in headers)
    upgrade = f"Connection: Upgrade\r\nUpgrade: {protocol}\r\n".encode()
    raw = f"GET {path} HTTP/1.1\r\n".encode() + lines + upgrade + b"\r\n"
    context.reply = context.call(context.rig.exchange, context.rig.vms[vm].ports.callers, raw)


DATAGRAMS = {"of random bytes": b"\xc1\x00\xff" * 40, "of another type": b"\x93\x01\x02\x03"}


@when('the peers\' port of "{vm}" gets a datagram {what}')
def step_datagram(context, vm, what):
    async def send():
        port = context.rig.vms[vm].ports.peers
        async with await anyio.create_udp_socket(family=socket.AF_INET) as sock:
            await sock.sendto(DATAGRAMS[what], "127.0.0.1", port)
        await anyio.sleep(0.1)

    context.call(send)


@when('the peers\' port of "{vm}" gets a forwarded request without a time left')
@when('the peers\' port of "{vm}" gets a forwarded request with a time left "{time_left}"')
def step_invalid_forwarded_request(context, vm, time_left=None):
    headers = [(b"host", b"x"), (b"hop-service", b"books")]
    if time_left is not None:
        headers.append((b"hop-left-ms", time_left.encode()))
    data = request_bytes("GET", b"/look/x", tuple(headers), b"")
    reply = context.call(context.rig.exchange, context.rig.vms[vm].ports.peers, data)
    assert reply.status == 404, reply.status


@when('a task of "{vm}" crashes')
def step_task_crashes(context, vm):
    async def crash():
        rig = context.rig
        crashed = rig.vms[vm]
        context.ports = crashed.ports
        client = crashed.relay._handler._placement_client
        report = client._report_held

        def fail():
            client._report_held = report
            raise RuntimeError("injected fault")

        client._report_held = fail
        await rig.until(lambda: crashed.kernel.restarts.get("relay") == 1)

    context.call(crash)


@when('a caller of "{key}" asks "{vm}" for "{path}" after its restart')
def step_once_back(context, key, vm, path):
    restarted = context.rig.vms[vm]
    context.call(
        context.rig.until,
        lambda: bool(restarted.relay._servers) and restarted.ports == context.ports,
    )
    ask(context, vm, path, key=key)


@then('no request of service "{service}" was executed')
def step_service_idle(context, service):
    assert not executed_requests(context.rig, service), executed_requests(context.rig, service)


@given('nothing listens at the address of server "{name}"')
def step_closed_port(context, name):
    async def move():
        rig = context.rig
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            rig.servers[name].port = sock.getsockname()[1]
        rig.servers[name].register()
        states = [vm.routing_state.server_states for vm in rig.vms.values()]
        port = rig.servers[name].port
        await rig.until(lambda: all(it[name].server.port == port for it in states))

    context.call(move)


@given('"{vm}" has used up its retry budget')
def step_no_retry_budget(context, vm):
    handler = context.rig.vms[vm].relay._handler
    for service in ("books", "model"):
        budget = handler._budget(service)
        budget.reconfigure(FleetRetryLimits(ratio=0.0, allowance=0.0, window_ms=1_000_000))
        now = SystemClock().now()
        while budget.take(now, 1):
            pass


@then('servers of "{service}" received {count:d} request')
def step_received_by_service(context, service, count):
    servers = [it for it in context.rig.servers.values() if it.service == service]
    assert sum(len(it.arrivals) for it in servers) == count


@when('the peers\' port of "{vm}" gets a forwarded request for "{service}"')
def step_forwarded_request(context, vm, service):
    headers = (
        *caller_headers("0123456789abcdef", key=None, wait_ms=2_000),
        (b"hop-service", service.encode()),
        (b"hop-left-ms", b"2000"),
    )
    data = request_bytes("GET", b"/look/x", headers, b"")
    context.reply = context.call(context.rig.exchange, context.rig.vms[vm].ports.peers, data)


@then('the response marks it as "{mark}"')
def step_not_run_mark(context, mark):
    assert context.reply.status == 503, context.reply.status
    assert context.reply.headers[b"hop-not-run"] == mark.encode(), context.reply.headers


@then('server "{name}" received {count:d} request')
def step_received_by_server(context, name, count):
    assert len(context.rig.servers[name].arrivals) == count


@then("the caller gets {status:d} with a retry-after time of {least:g} to {most:g} s")
def step_retry_after_range(context, status, least, most):
    assert context.reply.status == status, context.reply.status
    assert least <= context.reply.retry_after <= most, context.reply.retry_after


@when("{seconds:g} s pass")
def step_time_passes(context, seconds):
    context.call(anyio.sleep, seconds)


@then('"{vm}" counts the refusal as "{kind}"')
def step_refusal_counted(context, vm, kind):
    counters = context.rig.vms[vm].relay._counters
    assert counters.refusals.labels(kind)._value.get() == 1

from __future__ import annotations

import socket
import tempfile
import time
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
import msgspec
from behave import given, then, when

from hickorybeam.clock import SystemClock
from hickorybeam.demo.platform import start_platform_fleet
from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.gateway.reload import SettingsFile
from hickorybeam.http1.head import request_bytes
from hickorybeam.policy.fleet_retry_budget import FleetRetryLimits
from hickorybeam.settings import load_settings
from hickorybeam.standins.deployment import HOST, KEYS, caller_headers, first_config
from hickorybeam.store import KeyValue, Put, WatchBatch
from support.gateway import executed_requests, remove_account, small_gateway, withdraw_key

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


@when('the operator evacuates "{data_centre}"')
def step_evacuate(context, data_centre):
    async def evacuate():
        rig = context.rig
        rig.app.put(f"op/evacuate/{data_centre}", b"{}")
        await rig.until(
            lambda: all(
                data_centre in vm.routing_state.evacuated_data_centres for vm in rig.vms.values()
            )
        )

    context.call(evacuate)


@when('the operator ends the evacuation of "{data_centre}"')
def step_end_evacuation(context, data_centre):
    async def end_evacuation():
        rig = context.rig
        rig.app.delete(f"op/evacuate/{data_centre}")
        await rig.until(
            lambda: not any(vm.routing_state.evacuated_data_centres for vm in rig.vms.values())
        )

    context.call(end_evacuation)


@when('server "{name}" registers as leaving')
def step_server_leaving(context, name):
    async def leaving():
        rig = context.rig
        rig.servers[name].register(state="draining")
        await rig.until(
            lambda: all(
                vm.routing_state.server_states[name].server.leaving for vm in rig.vms.values()
            )
        )

    context.call(leaving)


@when('server "{name}" restarts and is cold for {ms:d} ms')
def step_restart_cold(context, name, ms):
    async def cold():
        rig = context.rig
        rig.servers[name].register(cold_ms=ms, born=77)
        await rig.until(
            lambda: all(
                vm.routing_state.server_states[name].server.born_ms == 77 for vm in rig.vms.values()
            )
        )

    context.call(cold)


@when("another writer puts invalid server entries into the store")
def step_invalid_entries(context):
    async def put_entries():
        rig = context.rig
        incomplete = msgspec.json.encode({"service": "books", "zone": "north-1"})
        for number, value in enumerate((b"\xff\xfe", b"[]", b"{}", incomplete, b'{"address": 7}')):
            rig.app.put(f"servers/f-{number}", value)
        rig.app.put(
            "servers/other",
            b'{"service":"books","address":"127.0.0.1:9",'
            b'"zone":"north-1","slots":4,"state":"asleep"}',
        )
        rig.config["version"] += 1
        rig.configure()
        await rig.settled()

    context.call(put_entries)


@when(
    "the operator writes the first configuration {ms:d} ms after "
    'a caller of "{key}" asks "{vm}" for "{path}"'
)
def step_first_config(context, ms, key, vm, path):
    rig = context.rig

    async def ask_then_configure():
        async with anyio.create_task_group() as tg:
            tg.start_soon(configure)
            return await rig.call(vm, path, key=key)

    async def configure():
        await anyio.sleep(ms / 1000)
        rig.configure()

    context.reply = context.call(ask_then_configure)
    context.replies = [context.reply]


@when("the store stops responding")
def step_store_unresponsive(context):
    context.rig.app.silent = True


@when('the operator revokes the key of "{name}" in version {version:d}')
def step_revoke_key(context, name, version):
    async def withdraw():
        rig = context.rig
        withdraw_key(rig, name, version=version)
        await rig.settled()

    context.call(withdraw)


@when('an older configuration, of version {version:d}, reaches "{vm}"')
def step_older_configuration(context, version, vm):
    async def older():
        config = {**first_config(), "version": version}
        item = KeyValue("op/config", msgspec.json.encode(config), 1_000_000)
        context.rig.vms[vm].feed._receive(WatchBatch(1_000_000, (item,)))

    context.call(older)


@when('the store compacts its history while the key of "{name}" is revoked')
def step_compact_history(context, name):
    async def compact():
        rig = context.rig
        store = rig.app.stand_in.store
        remove_account(rig, name)
        # Written without notifying the watches, as if their connections were broken.
        store.txn((), (Put("op/config", msgspec.json.encode(rig.config)),))
        store.compact()
        rig.app.stand_in.notify()
        await rig.settled()

    context.call(compact)


@when('VM "{name}" starts with "{seed}" as its seed')
def step_start_with_seed(context, name, seed):
    rig = context.rig
    # Another address of the same machine, since a VM skips seeds with its own address.
    address = f"localhost:{rig.vms[seed].ports.state}"
    manager = rig.vm(name, "north-1", seeds=(address,))
    vm = context.stack.enter_context(context.portal.wrap_async_context_manager(manager))
    context.call(rig.until, lambda: vm.routing_state.config is not None)


@then('"{vm}" is not ready')
def step_not_ready(context, vm):
    data = request_bytes("GET", b"/readiness", ((b"host", b"x"),), b"")
    reply = context.call(context.rig.exchange, context.rig.vms[vm].ports.ready, data)
    assert reply.status == 503


@when('the store becomes unavailable and the entry of "{name}" expires')
def step_outage_and_expiry(context, name):
    async def expire():
        rig = context.rig
        rig.app.stand_in.faults.set_out(True)
        vms = rig.vms.values()
        await rig.until(lambda: not any(vm.feed._store_reachable for vm in vms))
        rig.servers[name].withdraw()

    context.call(expire)


@when("the store becomes unavailable and every VM has noticed")
def step_outage_noticed(context):
    async def fail():
        rig = context.rig
        rig.app.stand_in.faults.set_out(True)
        await rig.until(lambda: not any(vm.feed.watches_store for vm in rig.vms.values()))

    context.call(fail)


@when('server "{name}" turns cold for {ms:d} ms')
def step_server_turns_cold(context, name, ms):
    context.rig.servers[name].cold_ms = ms


@then('within {limit:d} s every VM knows that server "{name}" is cold')
def step_cold_server_known(context, limit, name):
    clock, vms = SystemClock(), context.rig.vms.values()

    async def known():
        await context.rig.until(
            lambda: all(vm.routing_state.is_cold(name, clock.now()) for vm in vms), limit_s=limit
        )

    context.call(known)


@then("no VM has sent a health check")
def step_no_health_check(context):
    assert not any(server.health_checks for server in context.rig.servers.values())


@when("the store is available again")
def step_store_available(context):
    async def recover():
        rig = context.rig
        rig.app.stand_in.faults.set_out(False)
        await rig.until(lambda: all(vm.feed._store_reachable for vm in rig.vms.values()))

    context.call(recover)


@then('"{vm}" removes server "{name}" within {limit:d} s')
def step_server_removed(context, vm, name, limit):
    routing_state = context.rig.vms[vm].routing_state
    context.call(
        lambda: context.rig.until(lambda: name not in routing_state.server_states, limit_s=limit)
    )


@when('the registration of "{vm}" expires')
def step_registration_expires(context, vm):
    async def expire():
        rig = context.rig
        store = rig.app.stand_in.store
        registration = rig.vms[vm].fleet._registration
        await rig.until(lambda: registration.held)
        store.revoke(registration._lease)
        assert not store.read(f"hickorybeam/vm/{vm}").items
        rig.app.stand_in.notify()

    context.call(expire)


@then('"{vm}" is registered again within {limit:d} s')
def step_registered_again(context, vm, limit):
    store = context.rig.app.stand_in.store
    context.call(
        lambda: context.rig.until(
            lambda: bool(store.read(f"hickorybeam/vm/{vm}").items), limit_s=limit
        )
    )


async def directory_response(rig, vm, region):
    path = f"/resolution?name={HOST}&region={region}&zone=z"
    data = request_bytes("GET", path.encode(), ((b"host", b"x"),), b"")
    reply = await rig.exchange(rig.vms[vm].ports.directory, data)
    return msgspec.json.decode(reply.body)


async def directory(rig, vm, region):
    found = (await directory_response(rig, vm, region))["addresses"]
    ports = {
        f"127.0.0.1:{it.ports.callers}": name
        for name, it in rig.vms.items()
        if not it.ended.is_set()
    }
    return sorted(ports.get(address, address) for address in found)


@then('the directory of "{vm}" lists "{names}" for region "{region}"')
def step_directory(context, vm, names, region):
    found = context.call(directory, context.rig, vm, region)
    assert found == list(split_names(names)), found


@then('a directory response of "{vm}" is valid for at most {seconds:g} s')
def step_directory_validity(context, vm, seconds):
    assert context.call(directory_response, context.rig, vm, "north")["ttl-s"] <= seconds


@when('VM "{name}" crashes')
def step_crash(context, name):
    async def crash():
        vm = context.rig.vms[name]
        vm.kill()
        await vm.ended.wait()

    context.call(crash)


@then('within {limit:d} s the directory of "{vm}" lists "{names}" for region "{region}"')
def step_directory_within(context, limit, vm, names, region):
    async def wait_for_listing():
        with anyio.fail_after(limit):
            while await directory(context.rig, vm, region) != list(split_names(names)):
                await anyio.sleep(0.05)

    context.call(wait_for_listing)


@when(
    'callers of "{key}" request {tokens:d} tokens from both VMs every {ms:d} ms for {seconds:d} s'
)
def step_request_tokens(context, key, tokens, ms, seconds):
    async def send_requests():
        rig = context.rig
        context.replies = []
        context.tokens = tokens

        async def one(vm):
            reply = await rig.call(
                vm, "/chat/x", key=key, method="POST", body=BODY, tokens=b"%d,0" % tokens
            )
            context.replies.append(reply)

        end = time.monotonic() + seconds
        async with anyio.create_task_group() as tg:
            while time.monotonic() < end:
                for vm in rig.vms:
                    tg.start_soon(one, vm)
                await anyio.sleep(ms / 1000)

    context.call(send_requests)


@then('servers executed requests of "{name}" for at most {limit:d} tokens')
def step_tokens_executed(context, limit, name):
    name_header = (b"x-hickorybeam-tenant", name.encode())
    executed = [it for it in executed_requests(context.rig, "model") if name_header in it.headers]
    spent = len(executed) * context.tokens
    assert 0 < spent <= limit, spent


@then("refused callers got a retry-after time")
def step_refused_retry_after(context):
    refused = [reply for reply in context.replies if reply.status == 429]
    assert refused
    assert all(reply.retry_after > 0 for reply in refused)


@when('VM "{name}" is stopped while it relays a stream and callers keep sending requests')
def step_stop_vm(context, name):
    async def stop():
        rig = context.rig
        vm = rig.vms[name]
        context.replies, context.failed_connections = [], 0

        async def stream():
            context.stream = await rig.call(
                name, "/chat/x", method="POST", body=BODY, tokens=b"50,10"
            )

        async def keep_asking():
            while not vm.ended.is_set():
                try:
                    context.replies.append(await rig.call(name, "/look/x"))
                except Exception:
                    context.failed_connections += 1
                await anyio.sleep(0.03)

        async with anyio.create_task_group() as tg:
            tg.start_soon(stream)
            await anyio.sleep(0.1)
            tg.start_soon(keep_asking)
            vm.kernel.stop()
            await vm.ended.wait()

    context.call(stop)


@then("every other caller got 200, or 503 with a retry-after time, or was disconnected unread")
def step_no_request_cut_off(context):
    served = 0
    for reply in context.replies:
        unread = reply.status == 0 and not reply.whole
        refused = reply.status == 503 and reply.retry_after is not None
        assert unread or refused or (reply.status == 200 and reply.whole), reply.status
        served += reply.status == 200
    # Every executed request was answered: no connection was closed on one that a server had.
    assert served > 0
    assert len(executed_requests(context.rig, "books")) == served


@when('a caller of "{key}" sends "{vm}" a prompt of parts "{parts}"')
def step_prompt_of_parts(context, key, vm, parts):
    more = ((b"x-hickorybeam-prompt-prefix", parts.encode()), (b"kv-fetch", b"127.0.0.1:9"))
    ask(context, vm, "/plan/x", key=key, method="POST", body=BODY, tokens=b"3020,10", more=more)
    assert context.reply.status == 200


@when('a caller of "{key}" with a deadline of {ms:d} ms sends "{vm}" a prompt of {tokens:d} tokens')
def step_long_prompt(context, key, ms, vm, tokens):
    more = ((b"x-hickorybeam-prompt-prefix", b"a1:%d" % tokens),)
    options = {"wait_ms": ms, "tokens": b"%d,10" % tokens, "more": more}
    context.began = time.monotonic()
    ask(context, vm, "/plan/x", key=key, method="POST", body=BODY, **options)
    context.took_ms = (time.monotonic() - context.began) * 1000


@then("the response came within {ms:d} ms")
def step_response_within(context, ms):
    assert context.took_ms < ms, context.took_ms


@then("no server received the prompt")
def step_prompt_not_received(context):
    assert not executed_requests(context.rig, "model")
    assert not any(it.arrivals for it in context.rig.servers.values() if it.service == "model")


@when("the VMs have exchanged status reports")
def step_reports_exchanged(context):
    vm = context.rig.vms["s1"]
    context.call(context.rig.until, lambda: vm.fleet.prefix_holders._holders)


def copy_addresses(context, server):
    headers = context.rig.servers[server].ran[-1].headers
    return [value.decode() for key, value in headers if key == b"kv-fetch"]


@then('server "{server}" got no address to copy from')
def step_no_copy_address(context, server):
    assert copy_addresses(context, server) == []


@then('server "{server}" got the address of "{other}" to copy from')
def step_copy_address(context, server, other):
    wanted = f"127.0.0.1:{context.rig.servers[other].port}"
    assert copy_addresses(context, server) == [wanted]


@when('the watch of "{vm}" silently breaks and the key of "{name}" is revoked')
def step_watch_breaks(context, vm, name):
    async def break_watch():
        rig = context.rig
        # Only the pending watch is broken; new ones work.
        rig.app.deaf_watches = 1
        rig.vms[vm].feed._follow_scope.cancel()
        await rig.until(lambda: rig.app.deaf_watches == 0)
        withdraw_key(rig, name)

    context.call(break_watch)


@when('a call of "{vm}" gets no response from the store and the next one succeeds')
def step_call_fails_then_succeeds(context, vm):
    async def call_twice():
        rig = context.rig
        store = rig.vms[vm].feed._store
        rig.app.silent = True
        try:
            await store.read("a")
        except GatewayError as exc:
            assert exc.kind is ErrorKind.PLATFORM_OUT, exc
        else:
            raise AssertionError("the store answered")
        rig.app.silent = False
        await store.read("a")

    context.call(call_twice)


@when('a caller of "{key}" asks "{vm}" for "{path}" within {limit:d} s of that')
def step_ask_within(context, key, vm, path, limit):
    version = context.rig.config["version"]
    routing_state = context.rig.vms[vm].routing_state
    context.call(
        lambda: context.rig.until(lambda: routing_state.config.version == version, limit_s=limit)
    )
    ask(context, vm, path, key=key)


@given("a daemon of a small gateway, started from a settings file")
def step_settings_file(context):
    start(context, vms=("n1",))
    rig = context.rig
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.path = Path(folder) / "vm.json"
    write_settings(context, "repeat_allowance: 40")
    vm = rig.vms["n1"]
    cfg = load_settings(context.path)
    context.file = context.call(SettingsFile, str(context.path), cfg, vm.kernel, SystemClock())


def write_settings(context, line):
    url = context.rig.url
    context.path.write_text(
        f"""{{vm: {{name: "n1", region: "north", data_centre: "north-1"}},
        platform: {{urls: ["{url}"], prefix: "hickorybeam/"}},
        peers: {{tls: {{plain: true}}}},
        gateway: {{regions: {{"north-1": "north", "south-1": "south"}}, {line}}}}}"""
    )


def allowance_of(context):
    return context.rig.vms["n1"].relay._handler._cfg.repeat_allowance


@when('its settings file changes to "{line}" while a stream runs')
def step_settings_change_while_streaming(context, line):
    async def change():
        rig = context.rig
        rig.servers["m1"].work_ms = 200
        async with anyio.create_task_group() as tg:
            tg.start_soon(context.file.poll)

            async def stream():
                context.stream = await rig.call(
                    "n1", "/chat/x", method="POST", body=BODY, tokens=b"50,10"
                )

            tg.start_soon(stream)
            write_settings(context, line)
            with anyio.move_on_after(5):
                while allowance_of(context) == 40:
                    await anyio.sleep(0.02)
            await rig.until(lambda: hasattr(context, "stream"))
            tg.cancel_scope.cancel()

    context.call(change)


@when('its settings file changes to "{line}" and is reloaded')
def step_settings_reloaded(context, line):
    write_settings(context, line)
    context.call(context.file.reload)


@then("within {limit:d} s its retry allowance is {allowance:d}")
def step_allowance_within(context, limit, allowance):
    assert allowance_of(context) == allowance


@then("its retry allowance is {allowance:d}")
def step_allowance(context, allowance):
    assert allowance_of(context) == allowance


@then("it still serves callers")
def step_still_serves(context):
    ask(context, "n1", "/look/x")
    assert context.reply.status == 200


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


@then('"{vm}" still counts {count:d} live VMs')
def step_live_vms(context, vm, count):
    fleet = context.rig.vms[vm].fleet
    context.call(context.rig.until, lambda: fleet.live_vm_count() == count)


@given(
    'a small gateway with VMs "{first}" and "{second}" in two data centres and a southern region'
)
def step_two_data_centres(context, first, second):
    start(context, vms=split_names(first), second=split_names(second), south=True)


@when('a caller of "{key}" spends {tokens:d} tokens at "{vm}"')
def step_spends(context, key, tokens, vm):
    ask(context, vm, "/chat/x", key=key, method="POST", body=BODY, tokens=b"%d,0" % tokens)
    assert context.reply.status == 200


@then('within {limit:d} s every VM has charged {tokens:d} tokens of "{name}" to "{vm}"')
def step_charged(context, limit, tokens, name, vm):
    rig = context.rig
    incarnation = f"{vm}/{rig.vms[vm].fleet.own_vm.incarnation}"

    def charged(other):
        known = other.fleet.quota._peers.get(incarnation)
        return known is not None and known.totals.get(name) == tokens

    others = [other for other_name, other in rig.vms.items() if other_name != vm]
    context.call(lambda: rig.until(lambda: all(charged(other) for other in others), limit_s=limit))


@when('a task of "{vm}" crashes')
def step_task_crashes(context, vm):
    async def crash():
        rig = context.rig
        crashed = rig.vms[vm]
        context.ports = crashed.ports
        handler, forecasts = crashed.relay._handler, crashed.relay._handler.forecasts

        def fail():
            handler.forecasts = forecasts
            raise RuntimeError("injected fault")

        handler.forecasts = fail
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


@when('VM "{name}" begins to shut down')
def step_shutdown_begins(context, name):
    async def begin():
        rig = context.rig
        rig.vms[name].kernel.stop()
        others = [vm for other, vm in rig.vms.items() if other != name]
        await rig.until(lambda: all(vm.fleet.peers.by_name[name].leaving for vm in others))

    context.call(begin)


@then(
    'a caller of "{key}" with a deadline of {ms:d} ms gets {status:d} for "{path}"'
    ' once "{vm}" accepts only what ends in time'
)
def step_ask_during_shutdown(context, key, ms, status, path, vm):
    # Of its grace period of 4 s, it accepts what ends before 3.6 s from 1.2 s to 2 s, then nothing.
    admission = context.rig.vms[vm].relay._handler._admission
    options = {"method": "POST", "body": BODY, "tokens": b"50,10"} if "chat" in path else {}

    async def ask_once_limited():
        await context.rig.until(lambda: admission.ends_ms is not None)
        assert not admission.draining
        return await context.rig.call(vm, path, key=key, wait_ms=ms, **options)

    context.reply = context.call(ask_once_limited)
    context.replies = [context.reply]
    assert context.reply.status == status, context.reply.status


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


@given('VM "{name}" has started in the data centre of "{other}"')
def step_start_in_data_centre(context, name, other):
    rig = context.rig
    manager = rig.vm(name, rig.vms[other].fleet.own_vm.data_centre)
    context.stack.enter_context(context.portal.wrap_async_context_manager(manager))
    context.call(rig.settled)


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


@when('another VM reports a revision that "{vm}" lacks, and it arrives as an empty batch')
def step_peer_ahead(context, vm):
    async def report_ahead():
        feed = context.feed = context.rig.vms[vm].feed
        context.report_ms = SystemClock().now()
        context.reads = context.rig.app.stand_in.calls["range"]
        missing = feed._complete_revision + 1
        feed.note_peer_revision(missing, context.report_ms, source=None)
        feed._receive(WatchBatch(missing))
        # So far ahead that the gateway's own writes to the store don't reach it.
        context.later_revision = missing + 1_000

    context.call(report_ahead)


@when("other changes arrive meanwhile")
def step_other_changes(context):
    async def change():
        rig, feed = context.rig, context.feed
        rig.app.put("other/x", b"1")
        wanted = rig.app.stand_in.store.revision
        await rig.until(lambda: feed._complete_revision >= wanted)

    context.call(change)


@when("another VM reports a later revision {seconds:d} s after that")
@when("it still lacks that revision after {seconds:d} s more")
def step_peer_ahead_again(context, seconds):
    async def report_later():
        context.report_ms += seconds * 1_000
        context.feed.note_peer_revision(context.later_revision, context.report_ms, source=None)
        await anyio.sleep(0.2)

    context.call(report_later)


@then('"{vm}" does not read the store again')
def step_no_store_read(context, vm):
    assert context.rig.app.stand_in.calls["range"] == context.reads


@then('"{vm}" reads the store again')
def step_store_read(context, vm):
    calls = context.rig.app.stand_in.calls
    context.call(lambda: context.rig.until(lambda: calls["range"] == context.reads + 1))


def leave_unanswered(context, vm, name, seconds=None):
    """Let a VM's calls of the store fail after their own timeout, or after some seconds."""

    async def stop_responding():
        rig = context.rig
        feed = rig.vms[vm].feed
        context.real_call = feed._store._call

        async def unanswered(kind, method, path, body, *, limit_ms, write=False):
            await anyio.sleep(seconds or limit_ms / 1000)
            raise GatewayError(ErrorKind.PLATFORM_OUT, kind)

        feed._store._call = unanswered
        feed._follow_scope.cancel()
        withdraw_key(rig, name)

    context.call(stop_responding)


@when('the store leaves calls of "{vm}" unanswered and the key of "{name}" is revoked')
def step_calls_unanswered(context, vm, name):
    leave_unanswered(context, vm, name)


@when(
    'the store leaves each call of "{vm}" unanswered for {seconds:d} s'
    ' and the key of "{name}" is revoked'
)
def step_calls_unanswered_for(context, vm, seconds, name):
    leave_unanswered(context, vm, name, seconds)


@when('the store responds to "{vm}" again')
def step_store_responds(context, vm):
    context.rig.vms[vm].feed._store._call = context.real_call


@then('within {limit:d} s the report lag of "{vm}" is {ms:d} ms in total')
def step_report_lag(context, limit, vm, ms):
    fleet = context.rig.vms[vm].fleet
    context.call(lambda: context.rig.until(lambda: fleet.report_lag_ms == ms, limit_s=limit))


@when('VM "{gone}" has crashed and is no longer live for "{vm}"')
def step_crash_noticed(context, gone, vm):
    async def crash():
        rig = context.rig
        rig.vms[gone].kill()
        peers = rig.vms[vm].fleet.peers
        await rig.until(lambda: gone not in peers.by_name or not peers.is_live(peers.by_name[gone]))

    context.call(crash)

from __future__ import annotations

import time

import msgspec
from behave import then, when

from hickorybeam.clock import SystemClock
from steps.gateway.gateway_steps import BODY, ask
from support.gateway import executed_requests


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


@then('"{vm}" removes server "{name}" within {limit:d} s')
def step_server_removed(context, vm, name, limit):
    routing_state = context.rig.vms[vm].routing_state
    context.call(
        lambda: context.rig.until(lambda: name not in routing_state.server_states, limit_s=limit)
    )


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

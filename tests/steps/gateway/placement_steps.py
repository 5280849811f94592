from __future__ import annotations

import itertools
import time
from contextlib import asynccontextmanager

import anyio
from behave import given, then, when

from hickorybeam.clock import SystemClock
from hickorybeam.gateway.placement.messages import (
    HeldPlacements,
    PlacementRequest,
    PlacementResponse,
    PlacementUpdate,
)
from support.gateway import executed_requests, small_gateway

DISCONNECT_AFTER_S = 0.004
MODEL = "model"


@asynccontextmanager
async def two_data_centres():
    async with small_gateway(vms=("n1", "n2", "n3"), second=("t1", "t2", "t3")) as rig:
        await rig.add_server("m2", MODEL, "north-2")
        await rig.settled()
        yield rig


@given("a gateway of two data centres with three VMs and a model server in each")
def step_two_data_centres(context):
    manager = context.portal.wrap_async_context_manager(two_data_centres())
    context.rig = context.stack.enter_context(manager)


@given('one VM coordinates the placement of service "{service}"')
def step_coordinator(context, service):
    rig = context.rig
    fleets = [vm.fleet for vm in rig.vms.values()]

    def agreed():
        return (
            len({fleet.coordinators.coordinator(service) for fleet in fleets}) == 1
            and sum(fleet.coordinators.is_coordinator(service) for fleet in fleets) == 1
        )

    context.call(lambda: rig.until(agreed))
    context.coordinator = fleets[0].coordinators.coordinator(service)


async def send_prompt(context, vm, number):
    began = time.monotonic()
    part = f"5c1e:3000,{number:x}:20".encode()
    more = ((b"x-hickorybeam-prompt-prefix", part),)
    found = await context.rig.call(
        vm, "/chat/x", key="large", method="POST", body=b"{}", tokens=b"3020,10", more=more
    )
    context.responses.append((found, (time.monotonic() - began) * 1000))


async def send_in_turn(context, vm, numbers):
    for number in numbers:
        await send_prompt(context, vm, number)


def send_to_all(context, count, *, disconnect_after_s=None):
    context.responses = []
    numbers = itertools.count(1)

    async def run():
        with anyio.move_on_after(disconnect_after_s):
            async with anyio.create_task_group() as tg:
                for vm in context.rig.vms:
                    tg.start_soon(send_in_turn, context, vm, [next(numbers) for _ in range(count)])

    context.sent = count * len(context.rig.vms)
    context.call(run)


@when("callers send every VM {count:d} prompts")
def step_send(context, count):
    send_to_all(context, count)


@when("callers send every VM {count:d} prompts, one VM after the other")
def step_send_in_turn(context, count):
    context.responses = []
    context.sent = count * len(context.rig.vms)
    context.by_vm = {}
    numbers = itertools.count(1)
    for vm in context.rig.vms:
        known = {it.request_id for it in executed_requests(context.rig, MODEL)}
        context.call(send_in_turn, context, vm, [next(numbers) for _ in range(count)])
        context.by_vm[vm] = {it.request_id for it in executed_requests(context.rig, MODEL)} - known


@then("each prompt ran in the data centre of the VM that got it")
def step_data_centre(context):
    rig = context.rig
    where = {
        it.request_id: server.data_centre for server in rig.servers.values() for it in server.ran
    }
    for name, ids in context.by_vm.items():
        home = rig.vms[name].fleet.own_vm.data_centre
        assert {where[it] for it in ids} == {home}, (name, context.coordinator, ids, where)


@when("callers send every VM {count:d} prompts and disconnect at once")
def step_disconnect(context, count):
    send_to_all(context, count, disconnect_after_s=DISCONNECT_AFTER_S)


@when("the coordinator crashes and callers send every remaining VM {count:d} prompts")
def step_crash(context, count):
    async def crash():
        vm = context.rig.vms.pop(context.coordinator)
        vm.kill()
        await vm.ended.wait()

    context.call(crash)
    send_to_all(context, count)


@when("the VM that ranks last as coordinator gets no messages any more")
def step_isolated(context):
    name = context.isolated = context.rig.vms[context.coordinator].fleet.coordinators.ranking(
        MODEL
    )[-1]
    context.rig.vms[name].fleet._peer_port._transport.get_protocol()._receive = lambda data: None


@when("a caller sends it {count:d} prompts one after the other")
def step_send_one(context, count):
    context.responses = []
    context.sent = count
    context.call(send_in_turn, context, context.isolated, range(1, count + 1))


@then("for at most {count:d} of them it got no placement response")
def step_no_response(context, count):
    unanswered = placements(context.rig.vms[context.isolated], "silent")
    assert 0 < unanswered <= count, unanswered


@when("every third placement message is lost")
def step_lossy(context):
    numbers = itertools.count()

    def lossy(send_message):
        def lossy_send(vm, message):
            if (
                not isinstance(
                    message, PlacementRequest | PlacementResponse | PlacementUpdate | HeldPlacements
                )
                or next(numbers) % 3
            ):
                send_message(vm, message)

        return lossy_send

    for vm in context.rig.vms.values():
        vm.fleet.send_message = lossy(vm.fleet.send_message)


@then("all prompts get a response and ran once")
def step_answered(context):
    statuses = [found.status for found, _ in context.responses]
    assert statuses == [200] * context.sent, statuses
    assert all(found.whole for found, _ in context.responses)
    ids = [it.request_id for it in executed_requests(context.rig, MODEL)]
    assert len(ids) == len(set(ids)) == context.sent, len(ids)


@then("each VM but the coordinator was granted {count:d} slots")
def step_granted(context, count):
    for name, vm in context.rig.vms.items():
        expected = 0 if name == context.coordinator else count
        assert placements(vm) == expected, (name, placements(vm))


def placements(vm, result="server"):
    text = vm.relay._counters.text().decode()
    line = f'hickorybeam_places_total{{answer="{result}"}} '
    found = [it for it in text.splitlines() if it.startswith(line)]
    return float(found[0].removeprefix(line)) if found else 0


@then("each prompt got its response within {ms:d} ms")
def step_within(context, ms):
    assert all(took < ms for _, took in context.responses), [took for _, took in context.responses]


@then("within {limit:d} s no VM counts a request at any server")
def step_nothing_left(context, limit):
    def nothing():
        return all(
            (
                it.own_requests,
                it.own_prefill_tokens,
                it.own_held_tokens,
                it.granted_requests,
                it.granted_prefill_tokens,
                it.granted_held_tokens,
            )
            == (0,) * 6
            for vm in context.rig.vms.values()
            for it in vm.routing_state.server_states.values()
        )

    context.call(lambda: context.rig.until(nothing, limit_s=limit))


@when("the only model server restarts and is cold for {ms:d} ms")
def step_cold(context, ms):
    rig = context.rig

    async def cold():
        rig.servers["m1"].register(cold_ms=ms, born=77)
        clock = SystemClock()
        vms = list(rig.vms.values())
        await rig.until(lambda: all(vm.routing_state.is_cold("m1", clock.now()) for vm in vms))

    context.call(cold)
    context.before = len(executed_requests(rig, MODEL))


@when("callers send every VM prompts during {ms:d} ms")
def step_send_during(context, ms):
    context.responses = []
    numbers = itertools.count(1)

    async def keep_sending(vm):
        while True:
            await send_prompt(context, vm, next(numbers))

    async def run():
        with anyio.move_on_after(ms / 1000):
            async with anyio.create_task_group() as tg:
                for vm in context.rig.vms:
                    tg.start_soon(keep_sending, vm)

    context.call(run)


@then("the cold server got at least {least:d} and at most {most:d} of them")
def step_cold_got(context, least, most):
    assert least <= len(executed_requests(context.rig, MODEL)) - context.before <= most

from __future__ import annotations

import itertools

import anyio
from behave import given, then, when

from hickorybeam.clock import SystemClock
from steps.gateway.gateway_steps import split_names, start
from steps.gateway.server_limit_steps import PAUSE_S, ask

ALL = 1_000_000


@given('server "{name}" turns all requests away and asks for {seconds} s of rest')
def step_turns_away(context, name, seconds):
    server = context.rig.servers[name]
    server.rest_s, server.faults.full = seconds.encode(), ALL


@given('server "{name}" asks for {seconds} s of rest with its next rejection only')
def step_next_rejection(context, name, seconds):
    server = context.rig.servers[name]
    server.rest_s, server.faults.full = seconds.encode(), 1


@given('a small gateway of VMs "{vms}" before servers "{servers}"')
def step_gateway(context, vms, servers):
    named = tuple(tuple(name.split(":")) for name in split_names(servers))
    start(context, vms=split_names(vms), servers=named)


def state_of(context, vm, server):
    return context.rig.vms[vm].routing_state.server_states[server]


def until_asked(context, vm, server, path):
    """Send a VM requests until the server has asked it for rest, and forget those."""
    rig = context.rig
    clock = SystemClock()

    async def asked():
        numbers = itertools.count(1_000)
        while not state_of(context, vm, server).is_resting(clock.now()):
            await ask(rig, vm, path, next(numbers))
        rig.servers[server].arrivals.clear()
        rig.servers[server].health_checks.clear()

    context.call(asked)


@when('server "{name}" has asked "{vm}" for rest, for requests to "{path}"')
def step_has_asked(context, name, vm, path):
    until_asked(context, vm, name, path)


@when('server "{name}" has asked the VM that ranks last as coordinator for rest')
def step_has_asked_last(context, name):
    fleet = context.rig.vms[context.coordinator].fleet
    context.last_vm = fleet.coordinators.ranking("model")[-1]
    until_asked(context, context.last_vm, name, "/chat/x")


def callers_ask(context, vm, path, seconds):
    numbers = itertools.count(1)
    context.replies = []

    async def run():
        with anyio.move_on_after(seconds):
            while True:
                context.replies.append(await ask(context.rig, vm, path, next(numbers)))
                await anyio.sleep(PAUSE_S)

    context.call(run)


@when('callers ask "{vm}" for "{path}" during {seconds:d} s')
def step_callers_ask(context, vm, path, seconds):
    callers_ask(context, vm, path, seconds)


@when('callers ask that VM for "{path}" during {seconds:d} s')
def step_callers_ask_last(context, path, seconds):
    callers_ask(context, context.last_vm, path, seconds)


@then('server "{name}" got at most {most:d} requests since')
def step_at_most_since(context, name, most):
    assert len(context.rig.servers[name].arrivals) <= most, len(context.rig.servers[name].arrivals)


@then('server "{name}" got at most {most:d} requests since, health checks included')
def step_at_most_since_with_checks(context, name, most):
    server = context.rig.servers[name]
    found = len(server.arrivals), len(server.health_checks)
    assert sum(found) <= most, found


@then(
    'it is told to come back within {slack_ms:d} ms of the end of the rest that "{name}" '
    'asked "{vm}" for'
)
def step_told_end_of_rest(context, slack_ms, name, vm):
    left_ms = state_of(context, vm, name).rest_until_ms - SystemClock().now()
    told_ms = context.reply.retry_after * 1000
    assert abs(told_ms - left_ms) <= slack_ms, (told_ms, left_ms)


@when('the entry of server "{name}" expires and returns')
def step_entry_returns(context, name):
    rig = context.rig
    known = [vm.routing_state.server_states for vm in rig.vms.values()]

    async def expire_and_return():
        rig.servers[name].withdraw()
        await rig.until(lambda: all(name not in states for states in known))
        rig.servers[name].register()
        await rig.until(lambda: all(name in states for states in known))

    context.call(expire_and_return)

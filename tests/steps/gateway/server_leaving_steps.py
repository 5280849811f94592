from __future__ import annotations

import itertools

from behave import given, then, when

from hickorybeam.clock import SystemClock
from steps.gateway.gateway_steps import split_names
from steps.gateway.server_limit_steps import ask


@given('server "{name}" says in its answers that it is leaving')
def step_says_leaving(context, name):
    context.rig.servers[name].leaving = True


@when('server "{name}" restarts and no longer says that it is leaving')
def step_restarts(context, name):
    rig = context.rig
    server = rig.servers[name]

    async def restart():
        server.leaving = False
        server.register(born=77)
        await rig.until(
            lambda: all(
                vm.routing_state.server_states[name].server.born_ms == 77 for vm in rig.vms.values()
            )
        )

    context.call(restart)


@when('server "{name}" has answered "{vm}" for "{path}"')
def step_has_answered(context, name, vm, path):
    rig = context.rig

    async def until_answered():
        numbers = itertools.count(1_000)
        while not rig.servers[name].arrivals:
            await ask(rig, vm, path, next(numbers))
        rig.servers[name].arrivals.clear()

    context.call(until_answered)


def knows_leaving(context, vm, name):
    routing_state = context.rig.vms[vm].routing_state
    return not routing_state.is_available(routing_state.server_states[name])


@then('within {limit_s:d} s the VMs "{vms}" know that server "{name}" is leaving')
def step_leaving_known(context, limit_s, vms, name):
    context.call(
        lambda: context.rig.until(
            lambda: all(knows_leaving(context, vm, name) for vm in split_names(vms)),
            limit_s=limit_s,
        )
    )


@then('"{vm}" doesn\'t know that server "{name}" is leaving')
def step_leaving_unknown(context, vm, name):
    assert not knows_leaving(context, vm, name)


@when(
    'another server takes the address of "{name}", cold, leaving, and with a limit of {limit} '
    "requests a second"
)
def step_address_reused(context, name, limit):
    server = context.rig.servers[name]
    server.id, server.cold_ms, server.leaving = "another", 4_000, True
    server.limit = limit.encode()
    server.health_checks.clear()
    context.call(context.rig.until, lambda: server.health_checks)


@then('"{vm}" doesn\'t know that server "{name}" is cold')
def step_cold_unknown(context, vm, name):
    assert not context.rig.vms[vm].routing_state.is_cold(name, SystemClock().now())

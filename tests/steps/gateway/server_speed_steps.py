from __future__ import annotations

import anyio
import httpcore
from behave import given, then, when

from hickorybeam.gateway.cold_health_checks import ColdHealthCheckService
from hickorybeam.gateway.status_report import ReportedLoad
from hickorybeam.ports import COLD_HEALTH_CHECKS

SOON_S = 1.0


@given('server "{name}" says that work takes {percent:d} percent of usual')
def step_says(context, name, percent):
    context.rig.servers[name].time_factor = b"%d" % percent


@when("a caller sends a VM that doesn't coordinate a prompt")
def step_prompt(context):
    vm = next(name for name in context.rig.vms if name != context.coordinator)
    more = ((b"x-hickorybeam-prompt-prefix", b"5c1e:3000,7:20"),)
    reply = context.call(
        lambda: context.rig.call(
            vm, "/chat/x", key="large", method="POST", body=b"{}", tokens=b"3020,10", more=more
        )
    )
    assert reply.status == 200, reply


def factors(context, server):
    """Return what each VM knows of a server's speed, ``None`` where it knows nothing."""
    states = [vm.routing_state.server_states[server] for vm in context.rig.vms.values()]
    return [it.time_factor.heard if it.time_factor.heard_ms else None for it in states]


@then('within 1 s every VM knows that work takes {factor:g} times as long at "{server}"')
def step_all_know(context, factor, server):
    async def wait():
        with anyio.fail_after(SOON_S):
            while set(factors(context, server)) != {factor}:
                await anyio.sleep(0.01)

    context.call(wait)


@then(
    "within 1 s the placement coordinator knows that work takes {factor:g} times as long "
    'at "{server}"'
)
def step_coordinator_knows(context, factor, server):
    state = context.rig.vms[context.coordinator].routing_state.server_states[server]

    async def wait():
        with anyio.fail_after(SOON_S):
            while state.time_factor.heard != factor:
                await anyio.sleep(0.01)

    context.call(wait)


@then('the metrics tell that {count:d} server of "{service}" tells its speed')
def step_metrics(context, count, service):
    vm = context.rig.vms[context.coordinator]
    port = vm.relay.ports().peers
    text = httpcore.request("GET", f"http://127.0.0.1:{port}/metrics").content.decode()
    assert f'hickorybeam_servers_telling_speed{{service="{service}"}} {count}.0' in text


@when('server "{name}" starts again and says nothing of its speed')
def step_restart(context, name):
    rig = context.rig
    context.earlier_born_ms = (
        next(iter(rig.vms.values())).routing_state.server_states[name].server.born_ms
    )

    async def restart():
        rig.servers[name].time_factor = None
        rig.servers[name].register(born=context.earlier_born_ms + 5_000)
        # Until the reports on what it said before are over.
        await anyio.sleep(SOON_S)

    context.call(restart)


@then('no VM knows anything of the speed of "{server}"')
def step_none_knows(context, server):
    assert set(factors(context, server)) == {None}, factors(context, server)


@then("a report of its earlier start changes nothing")
def step_earlier(context):
    notice = ReportedLoad(2.5, 3, 10, context.earlier_born_ms)
    apply(context, "n1", "b1", notice)
    step_none_knows(context, "b1")


def apply(context, vm, server, notice):
    loads = context.rig.vms[vm].fleet.server_notices.loads
    context.call(lambda: run(lambda: loads.apply({server: notice})))


async def run(function):
    function()


@when(
    '"{vm}" gets a report that "{server}" is busy with {busy} requests at {factor} times, '
    "{age} ms ago"
)
def step_report(context, vm, server, busy, factor, age):
    born_ms = context.rig.vms[vm].routing_state.server_states[server].server.born_ms
    apply(context, vm, server, ReportedLoad(float(factor), int(busy), int(age), born_ms))


@given("its health answers {how}")
def step_health_answers(context, how):
    context.rig.servers["b1"].nameless = how == "don't name it"


@when('"{vm}" checks the health of "{server}"')
def step_check_health(context, vm, server):
    kernel = context.rig.vms[vm].kernel
    service = kernel.find(COLD_HEALTH_CHECKS, ColdHealthCheckService)
    state = context.rig.vms[vm].routing_state.server_states[server]
    context.call(service._check, state, "/health")


@then('"{vm}" {knows} how long work takes at "{server}"')
def step_knows_speed(context, vm, knows, server):
    found = context.rig.vms[vm].routing_state.server_states[server].time_factor.heard_ms
    assert bool(found) == (knows == "knows"), found

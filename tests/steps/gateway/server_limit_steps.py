from __future__ import annotations

import itertools
import math

import anyio
from behave import given, then, when

from hickorybeam.gateway.status_report import ReportedLimit

WINDOW_MS = 4_000
CALLERS_PER_VM = 2
PAUSE_S = 0.02
# Prompts with the same shared part go to the same server.
SHARED_PARTS = 8
EARLIER_START_MS = 0
# Every answer that is on its way has been recorded by then.
RECORDED_AFTER_S = 0.5


@given('server "{name}" names a limit of {limit} requests a second')
def step_names_limit(context, name, limit):
    context.rig.servers[name].limit = limit.encode()


@when('server "{name}" names no limit any more')
def step_names_no_limit(context, name):
    context.rig.servers[name].limit = None


@given('server "{name}" leaves the store')
def step_leaves_store(context, name):
    async def leave():
        context.rig.servers.pop(name).withdraw()
        vms = context.rig.vms.values()
        await context.rig.until(
            lambda: all(name not in vm.routing_state.server_states for vm in vms)
        )

    context.call(leave)


async def ask(rig, vm, path, number):
    """Send a request as a caller does; a path of the model service asks with a prompt."""
    if not path.startswith("/chat"):
        return await rig.call(vm, path, key="large", wait_ms=600)
    parts = f"5c1e{number % SHARED_PARTS}:300,{number:x}:20".encode()
    return await rig.call(
        vm,
        path,
        key="large",
        method="POST",
        body=b"{}",
        wait_ms=600,
        tokens=b"320,10",
        more=((b"x-hickorybeam-prompt-prefix", parts),),
    )


@when('every VM has got an answer of server "{name}" for "{path}"')
def step_every_vm_told(context, name, path):
    """Send requests to every VM until each has passed on an answer, or knows the limit."""
    rig = context.rig
    limit = float(rig.servers[name].limit)
    region = "north"

    async def until_told():
        numbers = itertools.count(1_000)
        for vm_name, vm in rig.vms.items():
            if vm.fleet.own_vm.region != region:
                continue
            while vm.routing_state.server_states[name].limit_per_s != limit:
                await ask(rig, vm_name, path, next(numbers))
        await anyio.sleep(RECORDED_AFTER_S)
        rig.servers[name].arrivals.clear()
        rig.servers[name].health_checks.clear()

    context.call(until_told)


@when('callers ask every VM for "{path}" during {seconds:d} s')
def step_callers_ask(context, path, seconds):
    rig = context.rig
    numbers = itertools.count(1)
    for server in rig.servers.values():
        server.arrivals.clear()
        server.health_checks.clear()

    async def keep_asking(vm):
        while True:
            await ask(rig, vm, path, next(numbers))
            await anyio.sleep(PAUSE_S)

    async def run():
        with anyio.move_on_after(seconds):
            async with anyio.create_task_group() as tg:
                for vm in rig.vms:
                    for _ in range(CALLERS_PER_VM):
                        tg.start_soon(keep_asking, vm)

    context.call(run)


def most_in_window(times):
    return max((sum(at <= other < at + WINDOW_MS for other in times) for at in times), default=0)


@then('server "{name}" got at most {most:d} requests in any 4 s')
def step_at_most(context, name, most):
    found = most_in_window([it.at_ms for it in context.rig.servers[name].arrivals])
    assert found <= most, found


@then('server "{name}" got at most {most:d} requests in any 4 s, health checks included')
def step_at_most_with_checks(context, name, most):
    server = context.rig.servers[name]
    found = most_in_window([*(it.at_ms for it in server.arrivals), *server.health_checks])
    assert found <= most, (found, len(server.health_checks))


@then('server "{name}" got at least {least:d} requests')
def step_at_least(context, name, least):
    assert len(context.rig.servers[name].arrivals) >= least, len(context.rig.servers[name].arrivals)


def knows(vm, name, limit):
    return vm.routing_state.server_states[name].limit_per_s == limit


@then(
    'within {limit_s:d} s every VM knows that server "{name}" limits its rate to '
    "{per_s:g} requests a second"
)
def step_limit_known(context, limit_s, name, per_s):
    vms = context.rig.vms.values()
    context.call(
        lambda: context.rig.until(
            lambda: all(knows(vm, name, per_s) for vm in vms), limit_s=limit_s
        )
    )


@then('within {limit_s:d} s every VM knows that server "{name}" names no limit')
def step_no_limit_known(context, limit_s, name):
    step_limit_known(context, limit_s, name, math.inf)


@when(
    '"{vm}" reports that server "{name}" limits its rate to {per_s:g} requests a second, '
    "for its earlier start"
)
def step_late_report(context, vm, name, per_s):
    report_limit(context, vm, name, ReportedLimit(per_s, 0, EARLIER_START_MS))


@when(
    '"{vm}" reports that server "{name}" limits its rate to {per_s:g} requests a second, '
    "heard {age_ms:d} ms ago"
)
def step_old_report(context, vm, name, per_s, age_ms):
    limit = ReportedLimit(per_s, age_ms, EARLIER_START_MS)
    context.call(apply_limit, context.rig.vms[vm], name, limit)
    report_limit(context, vm, name, limit)


async def apply_limit(vm, name, limit):
    vm.fleet.server_notices.limits.apply({name: limit})


def report_limit(context, vm, name, limit):
    for other, running in context.rig.vms.items():
        if other != vm:
            context.call(apply_limit, running, name, limit)


@then('no VM reports a limit of server "{name}"')
def step_not_reported(context, name):
    for vm in context.rig.vms.values():
        assert name not in vm.fleet.server_notices.limits.to_report()

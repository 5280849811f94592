from __future__ import annotations

import time

from behave import then, when

from hickorybeam.errors import ErrorKind, GatewayError
from support.gateway import withdraw_key


def watchers(rig):
    return {name: vm for name, vm in rig.vms.items() if vm.feed.is_watcher}


@when("{count:d} VMs watch the store")
def step_watch(context, count):
    rig = context.rig
    context.call(
        lambda: rig.until(
            lambda: len(watchers(rig)) == count and all(it.feed._loaded for it in rig.vms.values())
        )
    )
    context.left = dict(rig.vms)


@when('the key of "{name}" is withdrawn')
def step_withdraw(context, name):
    async def change():
        context.calls_before = context.rig.app.stand_in.calls["watch"]
        withdraw_key(context.rig, name)

    context.call(change)


@when('both watchers crash and the key of "{name}" is withdrawn')
def step_crash(context, name):
    async def change():
        rig = context.rig
        for vm_name, vm in watchers(rig).items():
            vm.kill()
            await vm.ended.wait()
            del context.left[vm_name]
        withdraw_key(rig, name)

    context.call(change)


@when('the store turns both watchers away and the key of "{name}" is withdrawn')
def step_turned_away(context, name):
    async def change():
        rig = context.rig
        for vm_name, vm in watchers(rig).items():
            turn_away(vm)
            del context.left[vm_name]
        withdraw_key(rig, name)

    context.call(change)


def turn_away(vm):
    async def refused(*args, **kwargs):
        raise GatewayError(ErrorKind.PLATFORM_OUT, "status 503")

    vm.feed._store._call = refused
    vm.feed._follow_scope.cancel()


@when('the watchers have forgotten all changes and the key of "{name}" is withdrawn')
def step_forgotten(context, name):
    async def change():
        for vm in watchers(context.rig).values():
            vm.feed.changes_after = lambda revision: None
        withdraw_key(context.rig, name)

    context.call(change)


@then('within {limit:d} s a caller of "{name}" gets 401 from every VM')
def step_refused_by_all(context, limit, name):
    context.left = dict(context.rig.vms)
    step_refused(context, limit, name)


@then('within {limit:d} s a caller of "{name}" gets 401 from every VM that is left')
@then('within {limit:d} s a caller of "{name}" gets 401 from every VM that reaches the store')
def step_refused(context, limit, name):
    rig = context.rig
    end = time.monotonic() + limit
    for vm in context.left:
        while context.call(lambda vm=vm: rig.call(vm, "/look/x", key=name)).status != 401:
            assert time.monotonic() < end, vm


@then("the withdrawal cost at most {count:d} calls of watches")
def step_cost(context, count):
    calls = context.rig.app.stand_in.calls["watch"] - context.calls_before
    assert calls <= count, calls

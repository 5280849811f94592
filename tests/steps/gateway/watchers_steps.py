from __future__ import annotations

import time

from behave import then, when

from hickorybeam.errors import ErrorKind, GatewayError
from support.gateway import withdraw_key


def watchers(rig):
    return {name: vm for name, vm in rig.vms.items() if vm.feed.is_watcher}


@when("{count:d} VMs watch the store")
def step_watcher_count(context, count):
    rig = context.rig
    context.call(
        lambda: rig.until(
            lambda: len(watchers(rig)) == count and all(it.feed._loaded for it in rig.vms.values())
        )
    )
    context.running = dict(rig.vms)


@when('the key of "{name}" is revoked')
def step_revoke_key(context, name):
    async def change():
        context.calls_before = context.rig.app.stand_in.calls["watch"]
        withdraw_key(context.rig, name)

    context.call(change)


@when('both watchers crash and the key of "{name}" is revoked')
def step_watchers_crash(context, name):
    async def change():
        rig = context.rig
        for vm_name, vm in watchers(rig).items():
            vm.kill()
            await vm.ended.wait()
            del context.running[vm_name]
        withdraw_key(rig, name)

    context.call(change)


@when('the store rejects both watchers and the key of "{name}" is revoked')
def step_watchers_rejected(context, name):
    async def change():
        rig = context.rig
        for vm_name, vm in watchers(rig).items():
            reject_calls(vm)
            del context.running[vm_name]
        withdraw_key(rig, name)

    context.call(change)


def reject_calls(vm):
    async def rejected(*args, **kwargs):
        raise GatewayError(ErrorKind.PLATFORM_OUT, "status 503")

    vm.feed._store._call = rejected
    vm.feed._follow_scope.cancel()


@when('the watchers have dropped all changes and the key of "{name}" is revoked')
def step_changes_dropped(context, name):
    async def change():
        for vm in watchers(context.rig).values():
            vm.feed.changes_after = lambda revision: None
        withdraw_key(context.rig, name)

    context.call(change)


@then('within {limit:d} s a caller of "{name}" gets 401 from every VM')
def step_revoked_everywhere(context, limit, name):
    context.running = dict(context.rig.vms)
    step_revoked(context, limit, name)


@then('within {limit:d} s a caller of "{name}" gets 401 from every VM that still runs')
@then('within {limit:d} s a caller of "{name}" gets 401 from every VM that reaches the store')
def step_revoked(context, limit, name):
    rig = context.rig
    end = time.monotonic() + limit
    for vm in context.running:
        while context.call(lambda vm=vm: rig.call(vm, "/look/x", key=name)).status != 401:
            assert time.monotonic() < end, vm


@then("the revocation took at most {count:d} watch calls")
def step_watch_calls(context, count):
    calls = context.rig.app.stand_in.calls["watch"] - context.calls_before
    assert calls <= count, calls

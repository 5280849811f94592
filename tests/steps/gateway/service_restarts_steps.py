from __future__ import annotations

import anyio
from behave import then, when

from steps.gateway.gateway_steps import split_names


def periodic_method(vm, service):
    """Return who has a method that a task of a service calls at intervals, and its name."""
    services = {it.name: it for it in vm.kernel.services()}
    match service:
        case "feed":
            return services["feed"].entries, "remove_expired"
        case "fleet":
            return services["fleet"], "_adjust_intervals"
        case "cold_asking":
            return services["cold_asking"], "_server_to_ask"
        case "part_blocks":
            return services["part_blocks"], "_tell"
        case "relay":
            return services["relay"]._handler._placement_client, "_report_held"
    raise AssertionError(service)


@when('a task of service "{service}" of "{name}" fails once')
def step_fails_once(context, service, name):
    vm = context.rig.vms[name]
    owner, method = periodic_method(vm, service)
    sound = getattr(owner, method)

    def fail(*args):
        setattr(owner, method, sound)
        raise RuntimeError("fails once")

    setattr(owner, method, fail)
    context.call(lambda: context.rig.until(lambda: vm.kernel.restarts.get(service)))


@then('service "{service}" of "{name}" was started again once, and runs {seconds:g} s later')
def step_started_once(context, service, name, seconds):
    context.call(anyio.sleep, seconds)
    restarts = context.rig.vms[name].kernel.restarts
    assert restarts == {service: 1}, restarts


@then('VMs "{names}" hear {count:d} live VMs')
def step_hear(context, names, count):
    heard = {it: context.rig.vms[it].fleet.live_vm_count() for it in split_names(names)}
    assert set(heard.values()) == {count}, heard

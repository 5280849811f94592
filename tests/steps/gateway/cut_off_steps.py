from __future__ import annotations

from behave import given, then, when

from hickorybeam.clock import ManualClock
from hickorybeam.gateway.peers import Peer, PeerTable
from hickorybeam.model.routing import GatewayVm

WORD_EVERY_MS = 100


def vm_of(number, centres):
    centre = number % centres
    return GatewayVm(
        name=f"v{number}",
        incarnation="1",
        region=f"r{centre // 2}",
        data_centre=f"d{centre}",
        host="",
        caller_port=0,
        peer_port=0,
    )


def table_of(clock, vms, me):
    table = PeerTable(clock, me)
    for vm in vms:
        if vm != me:
            table.by_name[vm.name] = Peer(vm, clock.now(), last_seen_ms=clock.now())
    return table


@given("a fleet of {vms:d} VMs in {centres:d} data centres that hear each other")
def step_fleet(context, vms, centres):
    context.clock = ManualClock(start=100_000)
    context.vms = [vm_of(number, centres) for number in range(vms)]


@when("{cut:d} of them are cut off")
def step_cut(context, cut):
    context.left = context.vms[cut:]
    context.cut_table = table_of(context.clock, context.vms, context.vms[0])
    context.left_table = table_of(context.clock, context.vms, context.left[0])
    context.begun = context.clock.now()


def pass_to(context, ms):
    """Let time pass, in which those that are left go on hearing each other."""

    async def run():
        while context.clock.now() < context.begun + ms:
            await context.clock.advance(WORD_EVERY_MS)
            for vm in context.left[1:]:
                context.left_table.by_name[vm.name].last_seen_ms = context.clock.now()

    context.call(run)


@then("after {ms:d} ms each of these spends its own part only")
def step_alone(context, ms):
    assert context.cut_table.quota_peer_count() == len(context.vms) - 1
    pass_to(context, ms)
    assert context.cut_table.quota_peer_count() == 0


@then("after {ms:d} ms those that are left spend their own parts only")
def step_left(context, ms):
    pass_to(context, ms)
    assert context.left_table.quota_peer_count() == len(context.left) - 1


@when("all of them have just started")
def step_started(context):
    context.left = context.vms
    context.left_table = table_of(context.clock, context.vms, context.vms[0])
    context.begun = context.clock.now()


@then("after {ms:d} ms none counts on another to place")
def step_none_steady(context, ms):
    pass_to(context, ms)
    assert not context.left_table.stable_vms()


@then("after {ms:d} ms each counts on all others of its region")
def step_all_steady(context, ms):
    pass_to(context, ms)
    assert set(context.left_table.stable_vms()) == {it.name for it in context.vms[1:]}

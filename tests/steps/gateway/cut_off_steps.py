from __future__ import annotations

from behave import given, then, when

from hickorybeam.clock import ManualClock
from hickorybeam.gateway.peers import Peer, PeerTable
from hickorybeam.model.routing import GatewayVm

REPORT_INTERVAL_MS = 100


def gateway_vm(number, data_centres):
    data_centre = number % data_centres
    return GatewayVm(
        name=f"v{number}",
        incarnation="1",
        region=f"r{data_centre // 2}",
        data_centre=f"d{data_centre}",
        host="",
        caller_port=0,
        peer_port=0,
    )


def peer_table(clock, vms, own_vm):
    table = PeerTable(clock, own_vm)
    for vm in vms:
        if vm != own_vm:
            table.by_name[vm.name] = Peer(vm, clock.now(), last_seen_ms=clock.now())
    return table


@given("a fleet of {vms:d} VMs in {centres:d} data centres that receive each other's reports")
def step_fleet(context, vms, centres):
    context.clock = ManualClock(start=100_000)
    context.vms = [gateway_vm(number, centres) for number in range(vms)]


@when("{isolated:d} of them are isolated")
def step_isolate(context, isolated):
    context.others = context.vms[isolated:]
    context.isolated_table = peer_table(context.clock, context.vms, context.vms[0])
    context.others_table = peer_table(context.clock, context.vms, context.others[0])
    context.began_ms = context.clock.now()


def advance_to(context, ms):
    """Advance the clock while the other VMs keep receiving each other's reports."""

    async def run():
        while context.clock.now() < context.began_ms + ms:
            await context.clock.advance(REPORT_INTERVAL_MS)
            for vm in context.others[1:]:
                context.others_table.by_name[vm.name].last_seen_ms = context.clock.now()

    context.call(run)


@then("after {ms:d} ms each of these spends only its own share")
def step_isolated_spend_own_share(context, ms):
    assert context.isolated_table.quota_peer_count() == len(context.vms) - 1
    advance_to(context, ms)
    assert context.isolated_table.quota_peer_count() == 0


@then("after {ms:d} ms the others spend only their own shares")
def step_others_spend_own_share(context, ms):
    advance_to(context, ms)
    assert context.others_table.quota_peer_count() == len(context.others) - 1


@when("all of them have just started")
def step_all_just_started(context):
    context.others = context.vms
    context.others_table = peer_table(context.clock, context.vms, context.vms[0])
    context.began_ms = context.clock.now()


@then("after {ms:d} ms none treats another as stable")
def step_none_stable(context, ms):
    advance_to(context, ms)
    assert not context.others_table.stable_vms()


@then("after {ms:d} ms each treats all others of its region as stable")
def step_all_stable(context, ms):
    advance_to(context, ms)
    assert set(context.others_table.stable_vms()) == {it.name for it in context.vms[1:]}

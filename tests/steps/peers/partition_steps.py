from __future__ import annotations

import time
from dataclasses import replace

import anyio
from behave import given, then, when

from hickorybeam.model import EntryVm, VmId
from hickorybeam.peers import pack, ring
from hickorybeam.standins.relay import LinkState
from support.fleet import HEARTBEAT_MS, of, start, until

POLL_S = 0.02
PAUSE_INTERVAL_MS = 150


def fleet_member(context, name):
    return context.fleet.members[name]


def others(context, name):
    return [member for member in context.fleet.members.values() if member.id.name != name]


def dead_vm(number, incarnation):
    return EntryVm(
        id=VmId(f"dakar-1.{number}", incarnation),
        region="dakar",
        data_centre="dakar-1",
        host="127.0.0.1",
        http_port=1,
        peer_port=1,
    )


@when("the platform's VM registry {fault}")
def step_registry_fault(context, fault):
    running = [member.members.own_vm for member in context.fleet.members.values()]
    match fault:
        case "names VMs that left long ago":
            vms = [*running, *(dead_vm(number, "000-1") for number in range(50, 60))]
        case "names earlier incarnations of all VMs":
            vms = [replace(vm, id=VmId(vm.id.name, "000000000001-1")) for vm in running]
        case "names only one VM":
            vms = running[:1]
        case "holds an entry that is not a VM":
            vms = running[:1]
        case _:
            raise AssertionError(fault)
    table = {"vms/" + vm.id.name: (pack(vm), 1) for vm in vms}
    if fault == "holds an entry that is not a VM":
        table["vms/nonsense"] = (b"\xc1", 1)
    context.fleet.table["wrong list"] = table


@when('a VM "{name}" joins the fleet in "{data_centre}"')
def step_joins(context, name, data_centre):
    context.call(context.fleet.add, name, data_centre)


@when("the fleet's platform becomes unavailable")
def step_unavailable(context):
    context.fleet.table["out"] = True


@when("the fleet's platform is available again")
def step_available(context):
    context.fleet.table["out"] = False


@given('VMs started in isolation in "{one}" and "{other}"')
def step_alone(context, one, other):
    start(context, {one: 2, other: 2})
    assert all(len(member.sees()) == 1 for member in context.fleet.members.values())


@when('fleet VM "{name}" can no longer connect to "{other}"')
def step_one_link(context, name, other):
    context.call(context.fleet.cut, [fleet_member(context, name)], [fleet_member(context, other)])


@when('fleet VM "{name}" can no longer connect to anyone')
def step_cannot_connect(context, name):
    context.isolated = name
    context.call(context.fleet.cut, [fleet_member(context, name)], others(context, name))


@when('nobody can connect to fleet VM "{name}" any longer')
def step_unreachable(context, name):
    context.isolated = name
    context.call(context.fleet.cut, others(context, name), [fleet_member(context, name)])


@when('fleet VM "{name}" loses all messages in both directions')
def step_loses_messages(context, name):
    context.isolated = name

    async def run():
        rest = others(context, name)
        alone = [fleet_member(context, name)]
        await context.fleet.cut(rest, alone, state=LinkState.SILENT)
        await context.fleet.cut(alone, rest, state=LinkState.SILENT)

    context.call(run)


@when("the cut-off VM is connected again")
def step_connected(context):
    context.call(context.fleet.heal)


def assert_for(context, check, ms):
    async def run():
        end = anyio.current_time() + ms / 1000
        while anyio.current_time() < end:
            assert check(), context.fleet.views()
            await anyio.sleep(POLL_S)

    context.call(run)


@then("for {ms:d} ms every VM of the fleet sees exactly the running VMs")
def step_keeps(context, ms):
    assert_for(context, context.fleet.agree, ms)


@then("for {ms:d} ms the other VMs of the fleet see exactly the running VMs")
def step_keeps_others(context, ms):
    ids = {member.id for member in context.fleet.members.values()}
    rest = others(context, context.isolated)
    assert_for(context, lambda: all(member.sees() == ids for member in rest), ms)


@then(
    "through {count:d} pauses of {ms:d} ms the other VMs of the fleet see exactly the running VMs"
)
def step_keeps_through_pauses(context, count, ms):
    for _ in range(count):
        context.call(pause_process, ms)
        step_keeps_others(context, PAUSE_INTERVAL_MS)


async def pause_process(ms):
    time.sleep(ms / 1000)  # noqa: ASYNC251 - pauses every VM of this process


@when('a VM that receives no heartbeats from "{name}" reaches no witness for a while')
def step_no_witness(context, name):
    names = [member.id.name for member in of(context, "dakar-1")]
    partners = ring.heartbeat_partners(name, names)
    (non_partner,) = (it for it in names if it != name and it not in partners)
    suspect_id = fleet_member(context, name).id
    witnesses = [member for member in others(context, name) if member.id.name != non_partner]

    async def run():
        isolated = fleet_member(context, non_partner)
        before = len(context.fleet.links)
        await context.fleet.cut([isolated], witnesses)
        await until(lambda: suspect_id not in isolated.sees())
        for link in context.fleet.links[before:]:
            await link.set(LinkState.PASS)

    context.call(run)


@then("the other VMs of the fleet see exactly the running VMs again")
def step_see_again(context):
    ids = {member.id for member in context.fleet.members.values()}
    rest = others(context, context.isolated)
    context.call(until, lambda: all(member.sees() == ids for member in rest))


@then("no VM of the fleet was marked as silent")
def step_not_marked(context):
    for member in context.fleet.members.values():
        assert b'suspicions_total{verdict="silent"}' not in member.counters.text()
        assert all(record.live for record in member.members._gossip.view)


@then("the other VMs of the fleet no longer see it")
def step_not_seen(context):
    rest = others(context, context.isolated)
    ids = {member.id for member in rest}
    context.took_ms = context.call(until, lambda: all(member.sees() == ids for member in rest))


@when("the fleet's data centres are partitioned")
def step_partition(context):
    async def run():
        one, other = of(context, "dakar-1"), of(context, "thies-1")
        await context.fleet.cut(one, other)
        await context.fleet.cut(other, one)

    context.call(run)


@when("the partition of the fleet's data centres ends")
def step_partition_ends(context):
    context.call(context.fleet.heal)


@then('the VMs of "{data_centre}" see exactly their own VMs')
def step_own_only(context, data_centre):
    own = of(context, data_centre)
    ids = {member.id for member in own}
    context.call(until, lambda: all(member.sees() == ids for member in own))


@then('a VM of "{one}" still finds the incarnations of "{other}"')
def step_still_finds(context, one, other):
    finder = of(context, one)[0].members
    assert all(finder.find(member.id) is not None for member in of(context, other))


@when('the delegate of "{one}" towards "{other}" crashes')
def step_delegate(context, one, other):
    names = [member.id.name for member in of(context, one)]
    delegate = ring.delegate_order(names, of=one, towards=other)[0]
    context.call(context.fleet.kill, delegate)


@then('for {ms:d} ms the VMs of "{one}" see the VMs of "{other}" that run')
def step_keep_seeing(context, ms, one, other):
    ids = {member.id for member in of(context, other)}
    assert_for(context, lambda: all(ids <= member.sees() for member in of(context, one)), ms)


@when('a later process takes the name of "{name}"')
def step_takes(context, name):
    context.old = context.fleet.members.pop(name)
    context.call(context.fleet.add, name, context.old.cfg.vm.data_centre)


@then('the old process of "{name}" counts as superseded')
def step_superseded(context, name):
    def superseded():
        return context.old.members.status()["superseded"]

    context.call(until, superseded)


@then("every VM of the fleet sees the later process only")
def step_later_only(context):
    context.call(until, context.fleet.agree)
    context.call(context.old.scope.cancel)


@when('the membership of all VMs of "{data_centre}" is drained and {count:d} heartbeats pass')
def step_drained(context, data_centre, count):
    async def run():
        for member in of(context, data_centre):
            await member.members.drain()
        await anyio.sleep(count * HEARTBEAT_MS / 1000)
        for member in of(context, data_centre):
            await member.members._discover_missing()

    context.call(run)


@then("no service of the fleet crashed")
def step_no_crash(context):
    assert all(member.kernel.restarts == {} for member in context.fleet.members.values())

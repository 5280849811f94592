from __future__ import annotations

from behave import given, then, when

from hickorybeam.model import RegionLoad
from hickorybeam.peers.heartbeat import Heartbeat
from support.fleet import of, start, until


@given("the fleet's platform is unavailable")
def step_out(context):
    context.platform_fault = {"out": True}


@given('a fleet with {count:d} VMs in "{one}" and {other_count:d} VMs in "{other}"')
def step_fleet(context, count, one, other_count, other):
    start(context, {one: count, other: other_count})
    context.call(until, context.fleet.agree)


@given(
    'a fleet with {count:d} VMs in "{one}" and {other_count:d} VMs in "{other}" that know one seed'
)
def step_fleet_seed(context, count, one, other_count, other):
    start(context, {one: 1})
    seed = of(context, one)[0]

    async def run():
        names = [f"{one}.{n}" for n in range(2, count + 1)]
        names += [f"{other}.{n}" for n in range(1, other_count + 1)]
        for name in names:
            await context.fleet.add(
                name, name.rpartition(".")[0], seeds=(f"127.0.0.1:{seed.peers.port}",)
            )

    context.call(run)


@then("every VM of the fleet sees exactly the running VMs")
def step_agree(context):
    try:
        context.took_ms = context.call(until, context.fleet.agree)
    except AssertionError as exc:
        raise AssertionError(f"{exc}: {context.fleet.views()}") from exc


@when('fleet VM "{name}" crashes')
def step_crash(context, name):
    context.old = context.call(context.fleet.kill, name)


@when('fleet VM "{name}" stops')
def step_stop(context, name):
    context.old = context.call(context.fleet.stop, name)


@then("the platform's VM registry names exactly the running VMs")
def step_list(context):
    wanted = {f"vms/{name}" for name in context.fleet.members}
    assert set(context.fleet.table["keys"]) == wanted, context.fleet.table["keys"]


@when('fleet VM "{name}" crashes and restarts at once at the same address')
def step_restart(context, name):
    async def run():
        context.old = await context.fleet.kill(name)
        port = context.old.peers.port
        await context.fleet.add(name, context.old.cfg.vm.data_centre, port=port)

    context.call(run)


@then("no VM of the fleet finds the old incarnation")
def step_no_old(context):
    assert all(
        member.members.find(context.old.id) is None for member in context.fleet.members.values()
    )


@when('the VMs of "{data_centre}" are replaced one by one')
def step_replace(context, data_centre):
    async def run():
        for number, member in enumerate(of(context, data_centre)):
            await context.fleet.add(f"{data_centre}.new{number}", data_centre)
            await context.fleet.stop(member.id.name)

    context.call(run)


@when('fleet VM "{name}" publishes an urgent note')
def step_note(context, name):
    context.received = {}

    def listen(member):
        def listener(vm, data):
            context.received.setdefault(member.id.name, []).append((vm.id.name, data))

        member.members.subscribe("position", listener)

    async def run():
        for member in context.fleet.members.values():
            listen(member)
        context.fleet.members[name].members.publish("position", b"7", urgent=True)

    context.publisher = name
    context.call(run)


@then('every other VM of "{data_centre}" receives the note exactly once')
def step_heard(context, data_centre):
    names = {member.id.name for member in of(context, data_centre)} - {context.publisher}
    context.call(until, lambda: names <= set(context.received))
    assert all(context.received[name] == [(context.publisher, b"7")] for name in names), (
        context.received
    )


@when('the note of "{name}" reaches "{other}" again, with a later change')
def step_note_again(context, name, other):
    async def run():
        sender = context.fleet.members[name]
        receiver = context.fleet.members[other]
        sync = receiver.members._gossip._sync_states[sender.id]
        heartbeat = Heartbeat(
            have=0,
            seq=sync.received_seq + 1,
            digest=0,
            data_centre=sender.cfg.vm.data_centre,
            whole=False,
            notes={"position": b"7"},
        )
        await receiver.members._on_heartbeat(sender.id, heartbeat)

    context.call(run)


@when('every VM of "{data_centre}" reports a wait of {ms:d} ms')
def step_report(context, data_centre, ms):
    region = data_centre.rpartition("-")[0]
    load = RegionLoad(region=region, served="m", wait_ms=ms, free_tokens=5, at_ms=0)

    async def run():
        for member in of(context, data_centre):
            member.members.report_load((load,))

    context.call(run)


@then('every VM of "{data_centre}" sees a wait of {ms:d} ms for region "{region}"')
def step_sees_load(context, data_centre, ms, region):
    def seen():
        return all(
            [(load.region, load.wait_ms) for load in member.members.region_loads()]
            == [(region, ms)]
            for member in of(context, data_centre)
        )

    context.call(until, seen)


@then('no VM of "{data_centre}" sees a forecast of its own region')
def step_no_own(context, data_centre):
    assert not any(member.members.region_loads() for member in of(context, data_centre))

from __future__ import annotations

from functools import partial

import anyio
from behave import given, then, when

from hickorybeam.errors import GatewayError
from hickorybeam.model import ChangeTicket, ClientAccount, ObjectRef
from hickorybeam.store import Delete
from hickorybeam.tickets.spread import Note
from steps.tickets.fakes import Fleet


def account(name, rate, **fields):
    return ClientAccount(name=name, rate=rate, burst=100, **fields)


def submit(context, vm, ticket):
    fleet = context.fleet
    context.outcome = context.call(fleet.finish, fleet.nodes[vm].config.submit, ticket)


@given('a config fleet of VMs "{names}" in data centres by first letter')
def step_fleet(context, names):
    context.fleet = context.call(Fleet)
    task, _ = context.portal.start_task(context.fleet.run, names.split())
    context.stack.callback(task.cancel)


@when('VM "{vm}" submits ticket {number:d} with account "{name}" at rate {rate:g}')
def step_submit(context, vm, number, name, rate):
    submit(context, vm, ChangeTicket(number=number, accounts=(account(name, rate),)))


@when('VM "{vm}" submits ticket {number:d} that deletes account "{name}"')
def step_delete(context, vm, number, name):
    submit(context, vm, ChangeTicket(number=number, deleted=(ObjectRef("accounts", name),)))
    assert isinstance(context.outcome, int), context.outcome


@then("the ticket is accepted at position {position:d}")
def step_accepted(context, position):
    assert context.outcome == position, context.outcome


@then('the ticket results in "{outcome}" mentioning ""')
@then('the ticket results in "{outcome}" mentioning "{text}"')
def step_ends(context, outcome, text=""):
    if isinstance(context.outcome, int):
        assert outcome == f"position {context.outcome}", context.outcome
        return
    exc = context.outcome
    assert exc.kind.value == outcome, exc
    assert text in f"{exc} {exc.faults}", (exc, exc.faults)


def rate_on(context, vm, name):
    found = context.fleet.nodes[vm].config.current().accounts.get(name)
    return found and found.rate


@then('account "{name}" has rate {rate:g} on VM "{vm}"')
def step_rate(context, name, rate, vm):
    assert rate_on(context, vm, name) == rate, rate_on(context, vm, name)


@then('account "{name}" has rate {rate:g} on every VM')
def step_rate_all(context, name, rate):
    found = {vm: rate_on(context, vm, name) for vm in context.fleet.nodes}
    assert set(found.values()) == {rate}, found


@when("{ms:d} ms pass in the config fleet")
def step_pass(context, ms):
    context.call(context.fleet.clock.advance, ms)


@then("the config positions on every VM never decreased")
def step_never_decreased(context):
    for node in context.fleet.nodes.values():
        positions = [state.position for state in node.observed]
        assert positions == sorted(positions), positions


@then('the rates of account "{name}" seen on VM "{vm}" are "{rates}"')
def step_rates_seen(context, name, vm, rates):
    seen = [
        state.accounts[name].rate
        for state in context.fleet.nodes[vm].observed
        if name in state.accounts
    ]
    assert [f"{rate:g}" for rate in seen] == rates.split(), seen


@then("the platform holds {count:d} open watches")
def step_watches(context, count):
    watching = [node.config.status()["watches_platform"] for node in context.fleet.nodes.values()]
    assert watching.count(True) == count, watching
    assert context.fleet.stand_in.open_watches == count, context.fleet.stand_in.open_watches


@when("{count:d} tickets on different accounts are submitted at once through all VMs")
def step_submit_concurrently(context, count):
    fleet = context.fleet
    nodes = list(fleet.nodes.values())

    async def submit_all():
        results = []

        async def submit_one(number):
            ticket = ChangeTicket(number=number, accounts=(account(f"acc-{number}", number),))
            results.append(await nodes[number % len(nodes)].config.submit(ticket))

        async with anyio.create_task_group() as tg:
            for number in range(1, count + 1):
                tg.start_soon(submit_one, number)
        return results

    context.positions = context.call(fleet.finish, submit_all)


@then("each of these tickets is accepted at a different position")
def step_different_positions(context):
    assert sorted(context.positions) == list(range(1, len(context.positions) + 1)), (
        context.positions
    )


@then("every VM holds the same objects at position {position:d}")
def step_same(context, position):
    states = {name: node.config.current() for name, node in context.fleet.nodes.items()}
    assert {state.position for state in states.values()} == {position}, {
        name: state.position for name, state in states.items()
    }
    first, *rest = states.values()
    assert all(state.objects == first.objects for state in rest)


@then('VM "{one}" holds the same objects as VM "{other}"')
def step_same_two(context, one, other):
    nodes = context.fleet.nodes
    first, second = nodes[one].config.current(), nodes[other].config.current()
    assert first.position == second.position > 0, (first.position, second.position)
    assert first.objects == second.objects


@when('the next {count:d} platform answers of VM "{vm}" are lost')
def step_lose(context, count, vm):
    context.fleet.nodes[vm].platform.faults.lose_answers = count


@when('the next {count:d} platform write requests of VM "{vm}" are lost')
def step_drop(context, count, vm):
    context.fleet.nodes[vm].platform.faults.drop_writes = count


@then("the platform log holds {count:d} ticket")
def step_log_holds(context, count):
    assert log_length(context) == count


@then("the platform log holds at most {count:d} tickets")
def step_log_at_most(context, count):
    assert 0 < log_length(context) <= count, log_length(context)


def log_length(context):
    return len(context.fleet.stand_in.store.read_prefix("/hickorybeam/config/log/").items)


@when(
    'the platform becomes unavailable right after VM "{vm}" writes ticket {number:d} with account'
    ' "{name}" at rate {rate:g}'
)
def step_unavailable_after_write(context, vm, number, name, rate):
    stand_in = context.fleet.stand_in
    stand_in.faults.lose_answers = 1
    stand_in.faults.out_after_lost = True
    step_submit(context, vm, number, name, rate)


@when("the config platform is unavailable")
def step_unavailable(context):
    context.call(context.fleet.stand_in.faults.set_out, True)


@when("the config platform is available again")
def step_available(context):
    context.call(context.fleet.stand_in.faults.set_out, False)


@when('the platform is unavailable to VMs "{names}"')
def step_unavailable_to(context, names):
    for name in names.split():
        context.call(context.fleet.nodes[name].platform.faults.set_out, True)


def set_partition(context, names, partition):
    for name in names:
        context.fleet.network.partitions[name] = partition
        context.call(context.fleet.nodes[name].platform.faults.set_out, bool(partition))


@when('VM "{vm}" is isolated from all')
def step_isolate(context, vm):
    set_partition(context, [vm], "alone")


@when('VMs "{names}" are isolated from all but each other')
def step_isolate_together(context, names):
    set_partition(context, names.split(), "together")


@when('VM "{vm}" is connected again')
def step_connect(context, vm):
    set_partition(context, [vm], "")


@then('the age on VM "{vm}" is at least {ms:d} ms')
def step_age_least(context, vm, ms):
    assert context.fleet.nodes[vm].config.age_ms() >= ms, context.fleet.nodes[vm].config.age_ms()


@then('the age on VM "{vm}" is at most {ms:d} ms')
def step_age_most(context, vm, ms):
    assert context.fleet.nodes[vm].config.age_ms() <= ms, context.fleet.nodes[vm].config.age_ms()


@then('VM "{vm}" refuses as "{kind}" with a bound of {ms:d} ms')
def step_stale(context, vm, kind, ms):
    config = context.fleet.nodes[vm].config
    for bound, refused in ((0, False), (config.age_ms() + 1, False), (ms, True)):
        object.__setattr__(config._cfg.config, "stale_after_ms", bound)
        try:
            config.require_fresh()
        except GatewayError as exc:
            assert refused and exc.kind.value == kind
        else:
            assert not refused


@when('VM "{vm}" reads an old heartbeat of "{other}"')
def step_old_heartbeat(context, vm, other):
    import msgspec

    nodes = context.fleet.nodes
    note = msgspec.msgpack.encode(Note(99))
    listener = context.fleet.network.members[vm].listeners["config"]
    context.call(listener, nodes[other].vm, note)
    context.call(context.fleet.clock.advance, 10)


@when('VM "{vm}" joins the config fleet')
def step_join(context, vm):
    context.call(context.fleet.join, vm)


def submit_many(context, vm, count, note=""):
    context.sent = []
    for number in range(100, 100 + count):
        ticket = ChangeTicket(
            number=number, accounts=(account(f"acc-{number}", number, models=()),), note=note
        )
        context.sent.append(ticket)
        submit(context, vm, ticket)
        assert isinstance(context.outcome, int), (context.outcome, context.outcome.faults)


@when('{count:d} tickets are submitted through VM "{vm}"')
def step_many(context, count, vm):
    submit_many(context, vm, count)


@when('{count:d} tickets of {size:d} bytes are submitted through VM "{vm}"')
def step_many_big(context, count, size, vm):
    from hickorybeam.model import PlainService, Region

    submit(context, vm, ChangeTicket(number=1, regions=(Region(name="r", data_centres=("a",)),)))
    methods = tuple("M" + "ABCDEFGHIJ"[i % 10] * 17 for i in range(size // 21))
    for number in range(100, 100 + count):
        service = PlainService(name=f"s-{number}", regions=("r",), non_idempotent=methods)
        submit(context, vm, ChangeTicket(number=number, services=(service,)))
        assert isinstance(context.outcome, int), context.outcome


@when('VM "{vm}" submits the 2nd of those tickets again')
def step_again(context, vm):
    submit(context, vm, context.sent[1])


@when("the platform of the config fleet compacts its history")
def step_compact(context):
    context.call(context.fleet.stand_in.store.compact)


@when("the open watches of all VMs stop delivering")
def step_stop_watches(context):
    context.call(context.fleet.stand_in.faults.silence_watches)


@then('VM "{vm}" waits for position {position:d} within {ms:d} ms')
def step_wait_for(context, vm, position, ms):
    wait = partial(context.fleet.nodes[vm].config.wait_for, position, timeout_ms=ms)
    state = context.call(context.fleet.finish, wait)
    assert state.position >= position


@then('VM "{vm}" is behind position {position:d} after {ms:d} ms')
def step_behind(context, vm, position, ms):
    wait = partial(context.fleet.nodes[vm].config.wait_for, position, timeout_ms=ms)
    exc = context.call(context.fleet.finish, wait)
    assert exc.kind.value == "config_behind", exc


@when("the platform loses all data")
def step_lose_data(context):
    store = context.fleet.stand_in.store
    keys = [item.key for item in store.read_prefix("").items]
    context.call(store.txn, (), tuple(Delete(key) for key in keys))
    context.call(context.fleet.stand_in.notify)


@then('VM "{vm}" lists {count:d} tickets after {start:d} and none twice')
def step_lists(context, vm, count, start):
    listed = context.call(context.fleet.nodes[vm].config.log, start, count)
    assert [position for position, _ in listed] == list(range(start + 1, start + count + 1))
    assert [ticket for _, ticket in listed] == context.sent[start : start + count]

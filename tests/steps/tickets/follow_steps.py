from __future__ import annotations

import msgspec
from behave import given, then, when

from hickorybeam.model import ChangeTicket, ClientAccount, ObjectRef
from hickorybeam.store import Put
from hickorybeam.tickets import LogState, apply, check_ticket
from hickorybeam.tickets.apply import REMEMBERED_NUMBERS, BelowFloor, Stale
from hickorybeam.tickets.codec import Head, LogEntry
from hickorybeam.tickets.spread import NEVER_CONFIRMED_MS, Freshness
from steps.tickets.fakes import Fleet, settle


def ticket(number, *names):
    accounts = tuple(ClientAccount(name=name, rate=float(number), burst=1.0) for name in names)
    return ChangeTicket(number=number, accounts=accounts)


def entry(position):
    return LogEntry(position, ticket(position, f"acc-{position}"))


@given("the config service of a single VM at position 0")
def step_single_vm(context):
    context.fleet = context.call(Fleet)
    task, _ = context.portal.start_task(context.fleet.run, ["a1"])
    context.stack.callback(task.cancel)
    context.node = context.fleet.nodes["a1"]


@when('the config service receives positions "{positions}"')
def step_receive(context, positions):
    entries = tuple(entry(int(position)) for position in positions.split())
    context.call(context.node.config._owner.apply_entries, entries)
    context.call(settle)


@when("the config service receives the whole state at position {position:d}")
def step_receive_state(context, position):
    state = LogState()
    for number in range(1, position + 1):
        state = apply(state, entry(number).ticket)
    context.call(context.node.config._owner.replace_state, state)
    context.call(settle)


@then("the config service is at position {position:d}")
def step_position(context, position):
    assert context.node.config.current().position == position
    positions = [state.position for state in context.node.observed]
    assert positions == sorted(positions), positions


@then('the config service lists tickets "{numbers}" in order')
def step_lists_tickets(context, numbers):
    listed = context.call(context.node.config.log, 0, 100)
    assert [found.number for _, found in listed] == [int(n) for n in numbers.split()]
    assert len(context.node.config.current().accounts) == len(numbers.split())


@given("a VM whose state was confirmed at time {at:d}")
def step_fresh(context, at):
    context.freshness = Freshness()
    assert context.freshness.age_ms(at) == NEVER_CONFIRMED_MS
    assert context.freshness.confirm(held=4, head=4, at=at)


@when("a head at position {head:d} is confirmed at time {at:d} by a VM at position {held:d}")
def step_confirm(context, head, at, held):
    context.freshness.confirm(held=held, head=head, at=at)


@then("its age at time {now:d} is {age:d}")
def step_age(context, now, age):
    assert context.freshness.age_ms(now) == age, context.freshness.age_ms(now)


@given('a log in which ticket 5 sets account "shop" and then ticket 3 sets "shop" and "other"')
def step_out_of_order(context):
    context.state = apply(apply(LogState(), ticket(5, "shop")), ticket(3, "shop", "other"))


@then('account "shop" is as in ticket 5 and "other" as in ticket 3')
def step_winner(context):
    accounts = context.state.config.accounts
    assert (accounts["shop"].rate, accounts["other"].rate) == (5.0, 3.0)


@given('a log long enough to drop numbers, with ticket 90000 deleting account "{name}" first')
def step_long(context, name):
    ref = ObjectRef("accounts", name)
    state = apply(LogState(), ticket(10, name, "early"))
    state = apply(state, ChangeTicket(number=11, deleted=(ObjectRef("accounts", "early"),)))
    state = apply(state, ChangeTicket(number=90_000, deleted=(ref,)))
    for number in range(100, 100 + 3 * REMEMBERED_NUMBERS):
        state = apply(state, ticket(number, "busy"))
    context.state = state
    assert 0 < state.floor < 80_000, state.floor


@then('a ticket 80000 that sets account "{name}" is refused as stale')
def step_still_stale(context, name):
    assert isinstance(check_ticket(context.state, ticket(80_000, name)), Stale)


@then("a ticket at the floor is refused as below the floor")
def step_floor(context):
    floor = context.state.floor
    assert floor not in context.state.used
    assert check_ticket(context.state, ticket(floor, "new")) == BelowFloor(floor)


@then("a deletion below the floor is dropped")
def step_dropped(context):
    assert ObjectRef("accounts", "early") not in context.state.config.objects


@when("a config service at position 3 reads a platform whose log ends at 1")
def step_log_went_back(context):
    step_single_vm(context)
    step_receive(context, "1 2 3")
    store = context.fleet.stand_in.store
    context.age = context.node.config.age_ms()
    context.call(store.txn, (), (Put("/hickorybeam/config/head", msgspec.json.encode(Head(1, 1))),))
    context.call(context.fleet.clock.advance, 9_000)


@then('the config service counts "{reason}" and is not confirmed')
def step_not_confirmed(context, reason):
    config = context.node.config
    assert config._rejected.labels(reason)._value.get() > 0
    assert config.age_ms() >= context.age + 9_000
    assert config.current().position == 3

from __future__ import annotations

from contextlib import asynccontextmanager

import anyio
from anyio.lowlevel import checkpoint
from behave import given, then, when

from hickorybeam.clock import ManualClock
from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.gateway.store_confirmation import StoreConfirmation
from hickorybeam.store import WatchBatch
from steps.gateway.gateway_steps import split_names

# Turns of the event loop in which whatever is due has run.
TURNS = 20


class TellableStore:
    """A store whose calls wait until they are told to succeed or to fail."""

    def __init__(self):
        self.calls = 0
        self.fails = False
        self._told = anyio.Event()

    async def catch_up(self):
        self.calls += 1
        await self._told.wait()
        if self.fails:
            raise GatewayError(ErrorKind.PLATFORM_OUT, "told to fail")

    def tell(self, *, fails):
        self.fails = fails
        self._told.set()
        self._told = anyio.Event()


@asynccontextmanager
async def confirmations(context):
    context.clock, context.store = ManualClock(), TellableStore()
    context.confirmation = StoreConfirmation(context.clock, context.store.catch_up)
    async with anyio.create_task_group() as tg:
        tg.start_soon(context.confirmation.run)
        yield
        tg.cancel_scope.cancel()


async def settle():
    for _ in range(TURNS):
        await checkpoint()


@given("confirmations by a store that answers when told")
def step_confirmations(context):
    context.stack.enter_context(context.portal.wrap_async_context_manager(confirmations(context)))
    context.asked = {}


@when('"{names}" asks for a confirmation')
@when('"{names}" ask for a confirmation')
def step_ask(context, names):
    async def ask():
        for name in split_names(names):
            context.asked[name] = context.confirmation.request()
        await settle()

    context.call(ask)


@when("the store answers")
def step_answers(context):
    tell(context, fails=False)


@when("the store fails")
def step_fails(context):
    tell(context, fails=True)


def tell(context, *, fails):
    async def run():
        context.store.tell(fails=fails)
        await settle()

    context.call(run)


@when("{ms:d} ms pass for the confirmations")
def step_time_passes(context, ms):
    async def run():
        await context.clock.advance(ms)
        await settle()

    context.call(run)


@then('"{done}" are confirmed and "{waiting}" wait')
@then('"{done}" are confirmed and "" wait')
def step_confirmed(context, done, waiting=""):
    found = {name for name, it in context.asked.items() if it.confirmed}
    assert found == set(split_names(done)), found
    open_ones = {name for name, it in context.asked.items() if not it.done.is_set()}
    assert open_ones == set(split_names(waiting)) - {""}, open_ones


@then('"{names}" have been told that nothing is confirmed')
def step_not_confirmed(context, names):
    for name in split_names(names):
        assert context.asked[name].done.is_set()
        assert not context.asked[name].confirmed


@then("the store is overdue")
def step_overdue(context):
    assert context.confirmation.is_overdue


@then("the store is not overdue")
def step_not_overdue(context):
    assert not context.confirmation.is_overdue


@then("the store got {count:d} calls")
def step_calls(context, count):
    assert context.store.calls == count, context.store.calls


@then("they cost at most {count:d} polls of the store")
def step_polls(context, count):
    polls = context.rig.app.stand_in.calls["watch"] - context.polls_before
    assert polls <= count, polls


@when('"{vm}" gets changes of an earlier revision that remove "{server}"')
def step_earlier_changes(context, vm, server):
    async def receive():
        feed = context.rig.vms[vm].feed
        key = next(key for key in feed.entries if key.endswith(f"/{server}"))
        feed._receive(WatchBatch(feed.history.complete_to - 1, (), (key,)))

    context.call(receive)


@then('"{vm}" knows servers "{names}"')
def step_knows(context, vm, names):
    found = set(context.rig.vms[vm].routing_state.server_states)
    assert set(split_names(names)) <= found, found

from __future__ import annotations

import anyio
from behave import given, then, when

from hickorybeam.clock import ManualClock
from hickorybeam.watchdog import Watchdog


@given("a watchdog that checks every {tick:d} ms and a deadline of {limit:d} ms")
def step_watchdog(context, tick, limit):
    context.clock = ManualClock()
    context.watchdog = Watchdog(context.clock, tick_ms=tick)
    context.deadline = context.watchdog.add(limit, lambda: None)
    future = context.portal.start_task_soon(context.watchdog.run)
    context.stack.callback(future.cancel)
    context.call(anyio.wait_all_tasks_blocked)


@when("{ms:d} ms pass")
def step_pass(context, ms):
    context.call(context.clock.advance, ms)


@when("{ms:d} ms pass and the deadline is extended by {limit:d} ms")
def step_extended(context, ms, limit):
    context.call(context.clock.advance, ms)
    context.call(context.watchdog.extend, context.deadline, limit)


@when("the process is frozen for {stall:d} ms after {ms:d} ms")
def step_stall(context, stall, ms):
    async def freeze():
        await context.clock.advance(ms)
        # No task is woken while the time passes; those due meanwhile run late.
        context.clock._now += stall
        await context.clock.advance(0)

    context.call(freeze)


@then("the deadline has expired")
def step_expired(context):
    assert context.deadline.expired


@then("the deadline has not expired")
def step_not_expired(context):
    assert not context.deadline.expired

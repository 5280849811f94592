from __future__ import annotations

import anyio
from behave import given, then, when

from hickorybeam.clock import SystemClock
from hickorybeam.gateway.service_queue import ServiceQueue


async def wait(context, place):
    context.ended[place.number] = False
    while not context.left.get(place.number) and await context.line.pause(place):
        if context.line.is_next(place):
            context.looks.append(place.number)
    context.pauses += 1
    context.ended[place.number] = True
    context.line.leave(place)


@given("a line in which {count:d} requests wait for {ms:d} ms")
def step_line(context, count, ms):
    clock = SystemClock()
    context.line, context.looks, context.pauses = ServiceQueue(clock), [], 0
    context.ended, context.left = {}, {}
    real = context.line.pause

    async def counted(place):
        context.pauses += 1
        return await real(place)

    context.line.pause = counted

    async def start():
        # Departures enough that nobody is refused a place in line.
        for _ in range(1_000):
            context.line.policy.record_departure(clock.now())
        context.places = [context.line.policy.enter(1, ms, clock.now()) for _ in range(count)]
        context.began = anyio.current_time()

    context.call(start)
    if ms < 1_000:
        context.call(run_all, context)


async def run_all(context):
    async with anyio.create_task_group() as tg:
        for place in context.places:
            tg.start_soon(wait, context, place)


@then("none of them left early and they looked at most {most:d} times in all")
def step_looked(context, most):
    assert all(context.ended.values()) and len(context.ended) == len(context.places)
    assert context.pauses - len(context.places) <= most, context.pauses


@when("the first {count:d} leave one after the other")
def step_leave(context, count):
    async def run():
        async with anyio.create_task_group() as tg:
            for place in context.places:
                tg.start_soon(wait, context, place)
            await anyio.sleep(0.05)
            context.looks.clear()
            for place in context.places[:count]:
                context.left[place.number] = True
                context.line.departed()
                await anyio.sleep(0.01)
            context.last = context.places[-1].number
            with anyio.move_on_after(0.1):
                while context.last not in context.looks:
                    await anyio.sleep(0.005)
            tg.cancel_scope.cancel()

    context.call(run)


@then("the last one has looked within 100 ms")
def step_last(context):
    assert context.last in context.looks

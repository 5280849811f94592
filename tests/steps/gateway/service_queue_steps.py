from __future__ import annotations

import anyio
import httpcore
from behave import given, then, when

from hickorybeam.clock import SystemClock
from hickorybeam.gateway.overload_report import OverloadReport
from hickorybeam.gateway.placement.service_queue import ServiceQueue, ServiceQueues
from hickorybeam.telemetry import Counters


async def counted_wait(context, entry):
    context.waits += 1
    return await context.queue.wait_for_turn(entry)


async def wait(context, entry):
    context.ended[entry.number] = False
    while not context.left.get(entry.number) and await counted_wait(context, entry):
        if context.queue.is_near_front(entry):
            context.polls.append(entry.number)
    context.waits += 1
    context.ended[entry.number] = True
    context.queue.leave(entry)


@given("a queue in which {count:d} requests wait for {ms:d} ms")
def step_queue(context, count, ms):
    clock = SystemClock()
    report = OverloadReport(clock, Counters())
    context.queue = ServiceQueue(clock, "model", report)
    context.polls, context.waits = [], 0
    context.ended, context.left = {}, {}

    async def start():
        # Enough departures that no request is refused an entry in the queue.
        for _ in range(1_000):
            context.queue.wait_queue.record_departure(clock.now())
        context.entries = [context.queue.wait_queue.enter(1, ms, clock.now()) for _ in range(count)]
        context.began = anyio.current_time()

    context.call(start)
    if ms < 1_000:
        context.call(run_all, context)


async def run_all(context):
    async with anyio.create_task_group() as tg:
        for entry in context.entries:
            tg.start_soon(wait, context, entry)


@then("every wait ended and they polled at most {most:d} times in all")
def step_polled(context, most):
    assert all(context.ended.values()) and len(context.ended) == len(context.entries)
    assert context.waits - len(context.entries) <= most, context.waits


@when("the first {count:d} leave one after the other")
def step_leave(context, count):
    async def run():
        async with anyio.create_task_group() as tg:
            for entry in context.entries:
                tg.start_soon(wait, context, entry)
            await anyio.sleep(0.05)
            context.polls.clear()
            for entry in context.entries[:count]:
                context.left[entry.number] = True
                context.queue.record_departure()
                await anyio.sleep(0.01)
            context.last = context.entries[-1].number
            with anyio.move_on_after(0.1):
                while context.last not in context.polls:
                    await anyio.sleep(0.005)
            tg.cancel_scope.cancel()

    context.call(run)


@then("the last one has polled within 100 ms")
def step_last(context):
    assert context.last in context.polls


async def wait_in_vain(context, entry):
    while await context.queue.wait_for_turn(entry):
        if context.queue.is_near_front(entry):
            context.polls.append(entry.number)
            context.queue.pass_on(entry)


@when("a slot comes free that the first {count:d} can't use")
def step_unusable(context, count):
    async def run():
        async with anyio.create_task_group() as tg:
            for entry in context.entries:
                tg.start_soon(wait_in_vain, context, entry)
            await anyio.sleep(0.005)
            context.queue.record_departure()
            await anyio.sleep(0.1)
            tg.cancel_scope.cancel()

    context.behind = context.entries[count].number
    context.call(run)


@then("the one behind them has searched within 100 ms, and the next one has not")
def step_behind(context):
    assert context.behind in context.polls
    assert context.behind + 1 not in context.polls


@then('metrics of "{vm}" tell that requests hold a slot of "{service}" for some time')
def step_metrics(context, vm, service):
    port = context.rig.vms[vm].relay.ports().peers
    found = httpcore.request("GET", f"http://127.0.0.1:{port}/metrics")
    line = f'hickorybeam_server_slot_ms{{service="{service}"}} '
    values = [it for it in found.content.decode().splitlines() if it.startswith(line)]
    assert values and float(values[0].removeprefix(line)) > 0, values


VERSION_KEY = b"key1"


@given("queues in which {count:d} streams wait for one version")
def step_version_queues(context, count):
    context.clock = SystemClock()
    context.queues = ServiceQueues(context.clock, Counters())
    # Enough departures that no request is refused an entry in the queue.
    for key in (None, VERSION_KEY):
        for _ in range(1_000):
            context.queues.for_version("model", key).wait_queue.record_departure(
                context.clock.now()
            )
    queue = context.queues.for_version("model", VERSION_KEY)
    now = context.clock.now()
    context.entries = [queue.wait_queue.enter(1, 2_000, now) for _ in range(count)]


@when("a request waits that any version may run")
def step_unbound_waits(context):
    queue = context.queues.for_version("model", None)
    context.entry = queue.wait_queue.enter(1, 2_000, context.clock.now())


@then("that request may search at once")
def step_may_search(context):
    assert context.queues.for_version("model", None).is_near_front(context.entry)


@when("a request leaves a server")
def step_request_leaves(context):
    async def leave():
        queue = context.queues.for_version("model", VERSION_KEY)
        began = anyio.current_time()
        async with anyio.create_task_group() as tg:
            tg.start_soon(queue.wait_for_turn, context.entries[0])
            await anyio.sleep(0.002)
            context.queues.for_service("model").record_departure()
        context.searched_ms = (anyio.current_time() - began) * 1000

    context.call(leave)


@then("the first of the streams searches within {ms:d} ms")
def step_first_searches(context, ms):
    # Without being woken it would poll after 25 ms.
    assert context.searched_ms < ms, context.searched_ms

from __future__ import annotations

import itertools

from behave import given, then, when

from hickorybeam.policy.wait_queue import WaitQueue, max_queue_wait_ms

NOW = 50_000


@given("a wait queue where {rate:d} slots come free each second")
def step_queue(context, rate):
    context.queue, context.rate, context.now = WaitQueue(), rate, NOW
    for number in range(rate):
        context.queue.record_departure(NOW - 1000 + (number + 1) * 1000 // rate)


@when('requests of urgency "{urgencies}" wait')
def step_wait(context, urgencies):
    context.names = {}
    for urgency in map(int, urgencies.split(",")):
        entry = context.queue.enter(urgency, 10_000, context.now)
        earlier = [name for name in context.names.values() if name.startswith(str(urgency))]
        context.names[entry.number] = f"{urgency} second" if earlier else f"{urgency} first"


@then('they leave in the order "{order}"')
def step_order(context, order):
    found = [context.names[entry.number] for entry in context.queue.first(99)]
    expected = [name.strip() for name in order.split(",")]
    assert [name.removesuffix(" first") for name in found] == [
        name.removesuffix(" first") for name in expected
    ], found


@when("{count:d} requests with a maximum wait of {max_wait:d} ms come at once")
def step_burst(context, count, max_wait):
    entries = [context.queue.enter(5, max_wait, context.now) for _ in range(count)]
    context.waiting = [entry for entry in entries if entry is not None]
    context.refused = count - len(context.waiting)


@then("{count:d} of them wait and the rest are refused at once")
def step_waiting(context, count):
    assert len(context.waiting) == count, len(context.waiting)
    assert context.refused == 100 - count


@then("none of those that wait has waited over {limit:d} ms when its slot comes free")
def step_in_time(context, limit):
    for number, entry in enumerate(context.queue.first(99), start=1):
        assert number * 1000 / context.rate <= limit
        assert entry.expires_ms <= context.now + limit


@then("a request of urgency {urgency:d} with a maximum wait of {max_wait:d} ms may wait")
def step_may(context, urgency, max_wait):
    entry = context.queue.enter(urgency, max_wait, context.now)
    assert entry is not None
    context.queue.leave(entry)


@then("a request of urgency {urgency:d} with a maximum wait of {max_wait:d} ms is refused at once")
def step_refused(context, urgency, max_wait):
    assert context.queue.enter(urgency, max_wait, context.now) is None


@when("no slot comes free for {ms:d} ms")
def step_quiet(context, ms):
    context.now += ms


@then(
    "a request with objective {target:d} ms, {elapsed:d} ms old, and {left:d} ms left "
    "waits up to {ms:d} ms"
)
def step_max_wait(context, target, elapsed, left, ms):
    assert max_queue_wait_ms(target_ms=target, elapsed_ms=elapsed, left_ms=left) == ms


@when("{count:d} callers are refused at once, with a retry-after of {most:d} ms at most")
def step_refused_callers(context, count, most):
    context.times = [context.queue.retry_after_ms(5, most, context.now) for _ in range(count)]


@then("the first retries within {first:d} ms and no two within {apart:d} ms, up to {most:d} ms")
def step_apart(context, first, apart, most):
    times = context.times
    assert times[0] <= first, times
    below = [ms for ms in times if ms < most]
    assert len(below) > 10
    assert all(b - a >= apart for a, b in itertools.pairwise(below)), times
    assert max(times) == most

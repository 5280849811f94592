from __future__ import annotations

import itertools

from behave import given, then, when

from hickorybeam.policy.wait_queue import WaitQueue, max_queue_wait_ms

NOW = 50_000


@given("a wait line where {rate:d} places come free each second")
def step_line(context, rate):
    context.line, context.rate, context.now = WaitQueue(), rate, NOW
    for number in range(rate):
        context.line.record_departure(NOW - 1000 + (number + 1) * 1000 // rate)


@when('requests of urgency "{urgencies}" wait')
def step_wait(context, urgencies):
    context.names = {}
    for urgency in map(int, urgencies.split(",")):
        place = context.line.enter(urgency, 10_000, context.now)
        earlier = [name for name in context.names.values() if name.startswith(str(urgency))]
        context.names[place.number] = f"{urgency} second" if earlier else f"{urgency} first"


@then('they leave in the order "{order}"')
def step_order(context, order):
    found = [context.names[place.number] for place in context.line.first(99)]
    wanted = [name.strip() for name in order.split(",")]
    assert [name.removesuffix(" first") for name in found] == [
        name.removesuffix(" first") for name in wanted
    ], found


@when("{count:d} requests of patience {patience:d} ms come at once")
def step_burst(context, count, patience):
    places = [context.line.enter(5, patience, context.now) for _ in range(count)]
    context.waiting = [place for place in places if place is not None]
    context.refused = count - len(context.waiting)


@then("{count:d} of them wait and the rest are refused at once")
def step_waiting(context, count):
    assert len(context.waiting) == count, len(context.waiting)
    assert context.refused == 100 - count


@then("none of those that wait has waited over {limit:d} ms when its place comes free")
def step_in_time(context, limit):
    for number, place in enumerate(context.line.first(99), start=1):
        assert number * 1000 / context.rate <= limit
        assert place.expires_ms <= context.now + limit


@then("a request of urgency {urgency:d} with patience {patience:d} ms may wait")
def step_may(context, urgency, patience):
    place = context.line.enter(urgency, patience, context.now)
    assert place is not None
    context.line.leave(place)


@then("a request of urgency {urgency:d} with patience {patience:d} ms is refused at once")
def step_refused(context, urgency, patience):
    assert context.line.enter(urgency, patience, context.now) is None


@when("no place comes free for {ms:d} ms")
def step_quiet(context, ms):
    context.now += ms


@then("a request with objective {target:d} ms, asked {elapsed:d} ms ago, waits up to {ms:d} ms")
def step_patience(context, target, elapsed, ms):
    assert max_queue_wait_ms(target_ms=target, elapsed_ms=elapsed) == ms


@when("{count:d} callers are refused at once, who can be told {most:d} ms at most")
def step_told(context, count, most):
    context.told = [context.line.retry_after_ms(5, most, context.now) for _ in range(count)]


@then("the first comes back within {first:d} ms and no two within {apart:d} ms, up to {most:d} ms")
def step_apart(context, first, apart, most):
    told = context.told
    assert told[0] <= first, told
    below = [ms for ms in told if ms < most]
    assert len(below) > 10
    assert all(b - a >= apart for a, b in itertools.pairwise(below)), told
    assert max(told) == most

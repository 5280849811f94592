from __future__ import annotations

import functools
import random
from collections import Counter

from behave import given, then
from bench.load.stale_load import Pattern, play

from hickorybeam.policy.stale_load import draw_server, fill_level

SEEDS = (1, 2, 3)


def numbers(text):
    return [float(value) for value in text.split(",")]


@then('work of {work:g} ms fills servers with waits "{waits}" up to {level:g} ms')
def step_level(context, work, waits, level):
    assert fill_level(numbers(waits), work) == level


@then('with waits "{waits}" and no unreported work server {index:d} is taken in {count:d} draws')
def step_shortest(context, waits, index, count):
    rng = random.Random(1)
    assert {draw_server(numbers(waits), 0.0, rng) for _ in range(count)} == {index}


@then(
    'with waits "{waits}" and {work:g} ms of unreported work {count:d} draws come near "{shares}"'
)
def step_shares(context, waits, work, count, shares):
    rng = random.Random(1)
    found = Counter(draw_server(numbers(waits), work, rng) for _ in range(count))
    for index, expected in enumerate(numbers(shares)):
        assert abs(found[index] - expected) <= expected / 5, found


@given(
    "prompts of {work:g} ms that keep {servers:d} servers before {vms:d} VMs busy "
    "for half of the time"
)
def step_pattern(context, work, servers, vms):
    context.pattern = Pattern(vms=vms, servers=servers, busy=0.5, work_ms=work)


@functools.cache
def p95_wait_ms(pattern, policy):
    """Return the wait that 95 of 100 prompts stay below."""
    waits = sorted(wait for seed in SEEDS for wait in play(pattern, policy, seed))
    return waits[len(waits) * 95 // 100]


@then("95 of 100 prompts to a server drawn at random wait less than {ms:d} ms")
def step_drawn(context, ms):
    assert p95_wait_ms(context.pattern, "drawn") < ms, p95_wait_ms(context.pattern, "drawn")


@then("95 of 100 prompts wait more than {ms:d} ms with the shortest known wait")
def step_known(context, ms):
    assert p95_wait_ms(context.pattern, "shortest") > ms, p95_wait_ms(context.pattern, "shortest")


@then('drawing is better than "{one}" and "{other}"')
def step_better(context, one, other):
    drawn = p95_wait_ms(context.pattern, "drawn")
    assert drawn < p95_wait_ms(context.pattern, one), (drawn, p95_wait_ms(context.pattern, one))
    assert drawn < p95_wait_ms(context.pattern, other), (drawn, p95_wait_ms(context.pattern, other))

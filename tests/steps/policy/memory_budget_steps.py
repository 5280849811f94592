from __future__ import annotations

import random

from behave import given, then, when

from hickorybeam.policy.memory_budget import FREE_BYTES, MemoryBudget

KB = 1_000
MB = 1_000_000
STEPS = 120


class Holder:
    """Holds some bytes, and notes whether it had to yield."""

    def __init__(self, budget):
        self.holding = budget.hold(self)
        self.size = 0
        self.yielded = False

    def ask(self, size):
        if self.holding.resize(size):
            self.size = size
            return True
        self.yield_room()
        self.holding.release()
        return False

    def yield_room(self):
        self.size, self.yielded = 0, True


@given("a budget of {size:d} MB")
def step_budget(context, size):
    context.now = 100_000
    context.budget = MemoryBudget(size * MB, now=lambda: context.now)
    context.holders = []


@given("{count:d} holders took {size:d} MB each, {ms:d} ms ago")
def step_holders_mb(context, count, size, ms):
    take(context, count, size * MB, ms)


@given("{count:d} holders took {size:d} kB each, {ms:d} ms ago")
@given("{count:d} holder took {size:d} kB each, {ms:d} ms ago")
def step_holders_kb(context, count, size, ms):
    take(context, count, size * KB, ms)


def take(context, count, size, ms):
    context.now -= ms
    for _ in range(count):
        holder = Holder(context.budget)
        assert holder.ask(size)
        context.holders.append(holder)
    context.now += ms


@when("a holder asks for {size:d} kB")
def step_ask_kb(context, size):
    context.found = Holder(context.budget).ask(size * KB)


@when("a holder asks for {size:d} MB")
def step_ask_mb(context, size):
    context.found = Holder(context.budget).ask(size * MB)


@then("it has room")
def step_room(context):
    assert context.found


@then("it has no room")
def step_no_room(context):
    assert not context.found


@then("{count:d} holders yielded")
@then("{count:d} holder yielded")
def step_yielded(context, count):
    found = sum(it.yielded for it in context.holders)
    assert found == count, found


@then("the holder of {size:d} kB did not yield")
def step_kept(context, size):
    assert [it.size for it in context.holders if it.size == size * KB]


@given("requests of {size:d} MB run as many as have room")
def step_running(context, size):
    context.running = 0
    while context.budget.start_running(size * MB):
        context.running += 1


@then("{count:d} of them run")
def step_count(context, count):
    assert context.running == count, context.running


@when("a request of {size:d} kB starts to run")
def step_start(context, size):
    context.found = context.budget.start_running(size * KB)


@when("{count:d} of them ends")
def step_end(context, count):
    for _ in range(count):
        context.budget.end_running(MB)


@then("{count:d} drawn series of steps never take more than the budget, and leave nothing")
def step_series(context, count):
    for seed in range(count):
        play(random.Random(seed))


def play(rng):
    now = [0]
    budget = MemoryBudget(MB, now=lambda: now[0])
    holders = [Holder(budget) for _ in range(12)]
    running = []
    for _ in range(STEPS):
        now[0] += rng.randrange(300)
        holder, size = rng.choice(holders), rng.choice((0, 4 * KB, 30 * KB, 300 * KB))
        match rng.randrange(4):
            case 0 | 1:
                holder.ask(holder.size + size)
            case 2:
                holder.holding.release()
                if budget.start_running(holder.size):
                    running.append(holder.size)
                holder.size = 0
            case 3 if running:
                budget.end_running(running.pop(rng.randrange(len(running))))
        held = sum(it.size for it in holders if it.size > FREE_BYTES)
        ran = sum(it for it in running if it > FREE_BYTES)
        assert budget.taken == held + ran <= MB, (budget.taken, held, ran)
    for holder in holders:
        holder.holding.release()
    for size in running:
        budget.end_running(size)
    assert budget.taken == budget.running == 0

from __future__ import annotations

from dataclasses import dataclass

from behave import given, then, when

from hickorybeam.policy.deferral import should_defer
from hickorybeam.policy.wait_queue import max_deferral_ms

CHECK_INTERVAL_MS = 25


@then(
    "a prompt with objective {target:d} ms, {elapsed:d} ms old, waits {waits} before "
    "{backlog:d} ms of prefill and {own:d} ms of its own"
)
def step_waits(context, target, elapsed, waits, backlog, own):
    found = should_defer(target_ms=target, elapsed_ms=elapsed, backlog_ms=backlog, prefill_ms=own)
    assert found == (waits == "yes")


@dataclass
class Prompt:
    arrived_ms: int
    first_event_ms: float | None = None


@given(
    "a server that prefills {speed:d} tokens a ms, and prompts of {tokens:d} tokens "
    "with objective {target:d} ms"
)
def step_server(context, speed, tokens, target):
    context.prefill_ms, context.target = tokens / speed, target


@when(
    "{many:d} of them come each second for {first:d} s "
    "and {few:d} each second for {then:d} s after that"
)
def step_come(context, many, first, few, then):
    times = [round(1000 * number / many) for number in range(many * first)]
    times += [1000 * first + round(1000 * number / few) for number in range(few * then)]
    context.times = times


def simulate(context, *, max_wait_ms):
    """Send each prompt to a server that prefills one after the other, or defer it first."""
    prompts = [Prompt(time) for time in context.times]
    waiting, free_ms = [], 0.0
    for now in range(0, 60_000, CHECK_INTERVAL_MS):
        waiting += [it for it in prompts if now - CHECK_INTERVAL_MS < it.arrived_ms <= now]
        # The latest arrivals are the ones that can still be on time.
        for prompt in sorted(waiting, key=lambda it: -it.arrived_ms):
            backlog = max(0.0, free_ms - now)
            elapsed = now - prompt.arrived_ms
            late = should_defer(
                target_ms=context.target,
                elapsed_ms=elapsed,
                backlog_ms=backlog,
                prefill_ms=context.prefill_ms,
            )
            if late and elapsed < max_wait_ms:
                continue
            free_ms = max(free_ms, now) + context.prefill_ms
            prompt.first_event_ms = free_ms - prompt.arrived_ms
            waiting.remove(prompt)
    return prompts


def on_time(context, prompts):
    return sum(
        it.first_event_ms is not None and it.first_event_ms <= context.target for it in prompts
    )


@then("sent on at once, at most {count:d} are on time")
def step_at_once(context, count):
    context.at_once = simulate(context, max_wait_ms=0)
    assert on_time(context, context.at_once) <= count, on_time(context, context.at_once)


@then("where late ones are deferred up to {max_wait:d} ms, at least {count:d} are on time")
def step_deferred(context, max_wait, count):
    context.deferred = simulate(context, max_wait_ms=max_wait)
    assert on_time(context, context.deferred) >= count, on_time(context, context.deferred)


@then("all {count:d} are served both ways")
def step_all(context, count):
    for prompts in (context.at_once, context.deferred):
        assert sum(it.first_event_ms is not None for it in prompts) == count


@then(
    "with objective {target:d} ms, {elapsed:d} ms old, and {left:d} ms left it is deferred up to "
    "{ms:d} ms"
)
def step_max_deferral(context, target, elapsed, left, ms):
    assert max_deferral_ms(target_ms=target, elapsed_ms=elapsed, left_ms=left) == ms

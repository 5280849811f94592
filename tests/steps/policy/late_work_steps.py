from __future__ import annotations

from dataclasses import dataclass

from behave import given, then, when

from hickorybeam.policy.deferral import should_defer
from hickorybeam.policy.wait_queue import max_deferral_ms

LOOK_EVERY_MS = 25


@then(
    "a prompt with objective {target:d} ms, of which {gone:d} passed, waits {waits} before "
    "{ahead:d} ms of reading and {own:d} ms of its own"
)
def step_waits(context, target, gone, waits, ahead, own):
    found = should_defer(target_ms=target, elapsed_ms=gone, backlog_ms=ahead, prefill_ms=own)
    assert found == (waits == "yes")


@dataclass
class Prompt:
    came_ms: int
    first_ms: float | None = None


@given(
    "a server that reads {speed:d} tokens a ms, and prompts of {tokens:d} tokens "
    "with objective {target:d} ms"
)
def step_server(context, speed, tokens, target):
    context.reading_ms, context.target = tokens / speed, target


@when(
    "{many:d} of them come each second for {first:d} s "
    "and {few:d} each second for {then:d} s after that"
)
def step_come(context, many, first, few, then):
    times = [round(1000 * number / many) for number in range(many * first)]
    times += [1000 * first + round(1000 * number / few) for number in range(few * then)]
    context.times = times


def play(context, *, patience_ms):
    """Send each prompt to a server that reads one after the other, or let it wait first."""
    prompts = [Prompt(time) for time in context.times]
    waiting, free_ms = [], 0.0
    for now in range(0, 60_000, LOOK_EVERY_MS):
        waiting += [it for it in prompts if now - LOOK_EVERY_MS < it.came_ms <= now]
        # Those that came last are the ones that can still be punctual.
        for prompt in sorted(waiting, key=lambda it: -it.came_ms):
            ahead = max(0.0, free_ms - now)
            gone = now - prompt.came_ms
            late = should_defer(
                target_ms=context.target,
                elapsed_ms=gone,
                backlog_ms=ahead,
                prefill_ms=context.reading_ms,
            )
            if late and gone < patience_ms:
                continue
            free_ms = max(free_ms, now) + context.reading_ms
            prompt.first_ms = free_ms - prompt.came_ms
            waiting.remove(prompt)
    return prompts


def punctual(context, prompts):
    return sum(it.first_ms is not None and it.first_ms <= context.target for it in prompts)


@then("sent on at once, at most {count:d} are punctual")
def step_at_once(context, count):
    context.at_once = play(context, patience_ms=0)
    assert punctual(context, context.at_once) <= count, punctual(context, context.at_once)


@then("where late ones wait up to {patience:d} ms, at least {count:d} are punctual")
def step_late_wait(context, patience, count):
    context.late_wait = play(context, patience_ms=patience)
    assert punctual(context, context.late_wait) >= count, punctual(context, context.late_wait)


@then("all {count:d} are served both ways")
def step_all(context, count):
    for prompts in (context.at_once, context.late_wait):
        assert sum(it.first_ms is not None for it in prompts) == count


@then(
    "with objective {target:d} ms, {gone:d} ms ago, and {left:d} ms left it waits up to {ms:d} ms"
)
def step_late_patience(context, target, gone, left, ms):
    assert max_deferral_ms(target_ms=target, elapsed_ms=gone, left_ms=left) == ms

from __future__ import annotations

import anyio
from behave import given, then, when

from hickorybeam.clock import ManualClock
from hickorybeam.standins.batch import Batch, EngineShape
from hickorybeam.standins.prefix_cache import CachedPart

LONGEST_MS = 1_000


def parts_of(text):
    pairs = (entry.split(":") for entry in text.split(","))
    return [CachedPart(name, int(tokens)) for name, tokens in pairs]


@given("a batch of {slots:d} slots that keeps {tokens:d} tokens")
def step_batch(context, slots, tokens):
    shape = EngineShape(
        slots=slots, step_ms=10, per_sequence_ms=1, prefill_per_ms=10, cache_tokens=tokens
    )
    context.clock = ManualClock()
    context.batch = Batch(shape, context.clock)
    context.sequences, context.ended = {}, {}
    running = context.portal.start_task_soon(context.batch.run)
    context.stack.callback(running.cancel)


def submit(context, tokens, prompts, priority=0):
    """Queue prompts by name, all before the batch takes its next step."""

    def start():
        for name, parts in prompts.items():
            context.sequences[name] = context.batch.submit(
                stream_id=name,
                model="",
                prompt="",
                prompt_tokens=sum(part.tokens for part in parts),
                max_tokens=tokens,
                priority=priority,
                parts=parts,
            )

    context.portal.call(start)


@when('sequence "{name}" asks for {tokens:d} tokens after a prompt of "{text}"')
def step_sequence(context, name, tokens, text):
    submit(context, tokens, {name: parts_of(text)})


@when(
    'sequences "{one}" and "{other}" ask at once for {tokens:d} tokens '
    'after prompts of "{text}" and "{second}"'
)
def step_sequences(context, one, other, tokens, text, second):
    submit(context, tokens, {one: parts_of(text), other: parts_of(second)})


@when('sequence "{name}" asks for {tokens:d} tokens with priority {priority:d}')
def step_priority(context, name, tokens, priority):
    submit(context, tokens, {name: parts_of("x:10")}, priority)


async def advance_until_ended(context, name):
    begun = context.clock.now()
    await anyio.wait_all_tasks_blocked()
    while not context.sequences[name].done and context.clock.now() - begun < LONGEST_MS:
        await context.clock.advance(1)
        for other, sequence in context.sequences.items():
            if sequence.done:
                context.ended.setdefault(other, context.clock.now())
    return context.clock.now() - begun


@then('sequence "{name}" ends after {ms:d} ms')
def step_ends(context, name, ms):
    took = context.call(advance_until_ended, context, name)
    assert took == ms, took


@then('sequence "{first}" ends before sequence "{second}"')
def step_order(context, first, second):
    context.call(advance_until_ended, context, second)
    assert context.ended[first] < context.ended[second], context.ended

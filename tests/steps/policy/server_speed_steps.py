from __future__ import annotations

from behave import given, then, when
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st
from tests.steps.policy.gateway_decisions_steps import choose

from hickorybeam.policy.server_speed import (
    MAX_DECODE_MS_PER_TOKEN,
    MAX_PREFILL_TOKENS_PER_MS,
    MAX_QUEUE_STEP_MS,
    MIN_PREFILL_TOKENS_PER_MS,
    MIN_QUEUE_STEP_MS,
    ServerSpeed,
)

TIMES = st.floats(allow_nan=True, allow_infinity=True)
SIZES = st.integers(min_value=-(10**9), max_value=10**9)
OBSERVATIONS = st.lists(st.tuples(SIZES, TIMES), max_size=20)


@when(
    'server "{name}" responds to {count:d} prompts of {tokens:d} tokens, '
    "each {start:d} ms after prefilling {speed:d} tokens a ms"
)
def step_responds(context, name, count, tokens, start, speed):
    for _ in range(count):
        context.states[name].speed.record_prefill(tokens, tokens / speed + start)


@then('server "{name}" is estimated to prefill {least:g} to {most:g} tokens a ms')
def step_estimated(context, name, least, most):
    assert least <= context.states[name].speed.prefill_tokens_per_ms <= most


@given('server "{name}" has {tokens:d} tokens to prefill')
@when('server "{name}" has {tokens:d} tokens to prefill')
def step_has_prefill(context, name, tokens):
    context.states[name].own_prefill_tokens = tokens


@then('a prompt of {tokens:d} tokens goes to "{name}"')
def step_goes(context, tokens, name):
    assert choose(context.states.values(), (), tokens=tokens) == name


@when('{count:d} requests hold a slot of server "{name}" for {ms:d} ms each')
def step_hold_slot(context, count, name, ms):
    for _ in range(count):
        context.states[name].speed.record_slot(ms)


@then("with {slots:d} slots each request ahead there costs {least:g} to {most:g} ms")
def step_queue_step(context, slots, least, most):
    (state,) = context.states.values()
    assert least <= state.speed.queue_step_ms(slots) <= most, state.speed


@then("estimates stay within their bounds whatever times and sizes are observed")
def step_bounds(context):
    check_bounds()


@settings(derandomize=True, database=None, max_examples=300)
@drawn(observations=OBSERVATIONS, slots=SIZES)
def check_bounds(observations, slots):
    speed = ServerSpeed()
    for tokens, took_ms in observations:
        speed.record_prefill(tokens, took_ms)
        speed.record_decode(tokens, took_ms)
        speed.record_slot(took_ms)
    assert MIN_PREFILL_TOKENS_PER_MS <= speed.prefill_tokens_per_ms <= MAX_PREFILL_TOKENS_PER_MS
    assert 0 <= speed.decode_ms_per_token <= MAX_DECODE_MS_PER_TOKEN
    assert MIN_QUEUE_STEP_MS <= speed.queue_step_ms(slots) <= MAX_QUEUE_STEP_MS

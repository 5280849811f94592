from __future__ import annotations

from behave import given, then, when
from tests.steps.policy.gateway_decisions_steps import choose


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

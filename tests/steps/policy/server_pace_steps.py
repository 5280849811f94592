from __future__ import annotations

from behave import given, then, when
from tests.steps.policy.gateway_decisions_steps import choose


@when(
    'server "{name}" answers {count:d} prompts of {tokens:d} tokens, '
    "each {start:d} ms after reading {speed:d} tokens a ms"
)
def step_answers(context, name, count, tokens, start, speed):
    for _ in range(count):
        context.standings[name].speed.record_prefill(tokens, tokens / speed + start)


@then('server "{name}" is believed to read {least:g} to {most:g} tokens a ms')
def step_believed(context, name, least, most):
    assert least <= context.standings[name].speed.read_tokens_per_ms <= most


@given('server "{name}" has {tokens:d} tokens to read')
@when('server "{name}" has {tokens:d} tokens to read')
def step_reads(context, name, tokens):
    context.standings[name].own_prefill_tokens = tokens


@then('a prompt of {tokens:d} tokens goes to "{name}"')
def step_goes(context, tokens, name):
    assert choose(context.standings.values(), (), tokens=tokens) == name

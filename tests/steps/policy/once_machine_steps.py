from __future__ import annotations

from behave import given, then, when
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test
from tests.steps.policy.once_machine import OnceMachine

from hickorybeam.policy.at_most_once import IdempotencyKeyTable, Refused, Start


@then("{examples:d} runs of {steps:d} once events never run a key twice")
def step_machine(context, examples, steps):
    run_state_machine_as_test(
        OnceMachine,
        settings=settings(
            derandomize=True,
            max_examples=examples,
            stateful_step_count=steps,
            deadline=None,
            database=None,
            print_blob=False,
        ),
    )


@given("a once table for {limit:d} keys")
def step_table(context, limit):
    context.once_table = IdempotencyKeyTable(limit=limit, answer_bytes=0)


@when('keys "{keys}" are used in the once table at {now:d} until {until:d}')
def step_use(context, keys, now, until):
    for key in keys.split():
        assert isinstance(context.once_table.begin(key, "x", now, expires_ms=until), Start)
        context.once_table.finish(key, 201, None, 0)


@then('key "{key}" is refused by the once table as "{kind}" at {now:d}')
def step_refused(context, key, kind, now):
    decision = context.once_table.begin(key, "x", now, expires_ms=now + 1_000)
    assert isinstance(decision, Refused) and decision.kind.value == kind, decision


@then('key "{key}" is taken by the once table at {now:d}')
def step_taken(context, key, now):
    assert isinstance(context.once_table.begin(key, "x", now, expires_ms=now + 1_000), Start)

from __future__ import annotations

from behave import given, then, when
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test
from tests.steps.policy.once_machine import IdempotencyMachine

from hickorybeam.policy.at_most_once import IdempotencyKeyTable, Refused, Start


@then("{examples:d} runs of {steps:d} idempotency events never execute a key twice")
def step_machine(context, examples, steps):
    run_state_machine_as_test(
        IdempotencyMachine,
        settings=settings(
            derandomize=True,
            max_examples=examples,
            stateful_step_count=steps,
            deadline=None,
            database=None,
            print_blob=False,
        ),
    )


@given("an idempotency table for {limit:d} keys")
def step_table(context, limit):
    context.idempotency_table = IdempotencyKeyTable(limit=limit, answer_bytes=0)


@when(
    'calls with keys "{keys}" finish in the idempotency table at {now:d} and expire at {expires:d}'
)
def step_finish(context, keys, now, expires):
    for key in keys.split():
        assert isinstance(context.idempotency_table.begin(key, "x", now, expires_ms=expires), Start)
        context.idempotency_table.finish(key, 201, None, 0)


@then('key "{key}" is refused by the idempotency table as "{kind}" at {now:d}')
def step_refused(context, key, kind, now):
    decision = context.idempotency_table.begin(key, "x", now, expires_ms=now + 1_000)
    assert isinstance(decision, Refused) and decision.kind.value == kind, decision


@then('key "{key}" is accepted by the idempotency table at {now:d}')
def step_accepted(context, key, now):
    assert isinstance(context.idempotency_table.begin(key, "x", now, expires_ms=now + 1_000), Start)

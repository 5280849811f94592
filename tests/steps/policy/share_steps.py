from __future__ import annotations

from behave import then
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test
from tests.steps.policy.share_machine import ShareMachine, TermsMachine


@then("{examples:d} runs of {steps:d} share events never exceed rate and burst")
def step_machine(context, examples, steps):
    run(ShareMachine, examples, steps)


@then("{examples:d} runs of {steps:d} share events with change tickets never exceed them either")
def step_terms_machine(context, examples, steps):
    run(TermsMachine, examples, steps)


def run(machine, examples, steps):
    run_state_machine_as_test(
        machine,
        settings=settings(
            derandomize=True,
            max_examples=examples,
            stateful_step_count=steps,
            deadline=None,
            database=None,
            print_blob=False,
        ),
    )

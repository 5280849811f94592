from __future__ import annotations

from behave import given, then
from tools.run_tests import Outcome, failure_lines


@given('a feature "{name}" that printed')
def step_printed(context, name):
    context.outcome = Outcome(name, passed=0, failed=1, skipped=0, output=context.text)


@then("the end of the test output names")
def step_names(context):
    lines = [line.strip() for line in failure_lines(context.outcome).splitlines()]
    expected = [row["line"] for row in context.table]
    assert lines == expected, lines

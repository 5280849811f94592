from __future__ import annotations

from behave import then

from hickorybeam.errors import ERROR_RESPONSES, ErrorKind, Ran, Retry


@then("every error kind has a row in the table")
def step_rows(context):
    assert set(ERROR_RESPONSES) == set(ErrorKind)


@then("every answer that asks for a retry elsewhere says that nothing ran")
def step_elsewhere(context):
    wrong = [k for k, a in ERROR_RESPONSES.items() if a.retry is Retry.ELSEWHERE and a.ran is not Ran.NO]
    assert not wrong, wrong

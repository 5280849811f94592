from __future__ import annotations

from behave import then

from hickorybeam.errors import ERROR_RESPONSES, ErrorKind, Ran, Retry


@then("every error kind has a row in the table")
def step_rows(context):
    assert set(ERROR_RESPONSES) == set(ErrorKind)


@then("every response that asks for a retry elsewhere says that nothing ran")
def step_elsewhere(context):
    wrong = [
        kind
        for kind, response in ERROR_RESPONSES.items()
        if response.retry is Retry.ELSEWHERE and response.ran is not Ran.NO
    ]
    assert not wrong, wrong

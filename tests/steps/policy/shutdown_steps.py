from __future__ import annotations

from behave import then

from hickorybeam.policy.shutdown import ShutdownSchedule


@then("{since:d} ms after the start a request with {left:d} ms left is accepted: {accepted}")
def step_accepted(context, since, left, accepted):
    assert ShutdownSchedule(8_000).accepts(since_ms=since, left_ms=left) == (accepted == "yes")

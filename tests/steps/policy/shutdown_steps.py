from __future__ import annotations

from behave import then

from hickorybeam.policy.shutdown import ShutdownSchedule


@then("{since:d} ms after it began a request with {left:d} ms left surely ends there: {ends}")
def step_ends(context, since, left, ends):
    assert ShutdownSchedule(8_000).accepts(since_ms=since, left_ms=left) == (ends == "yes")

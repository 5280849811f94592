from __future__ import annotations

from behave import given, then, when

from hickorybeam.policy.in_time import can_end
from hickorybeam.policy.server_pace import ServerPace

NEAR = 0.01


@then(
    "with {left:d} ms left, a first event after {first:d} ms and {writing:d} ms of writing it {may}"
)
def step_can_end(context, left, first, writing, may):
    assert can_end(left_ms=left, first_ms=first, writing_ms=writing) == (may == "may")


@given("a server that has given no answer yet")
def step_new(context):
    context.pace = ServerPace()


@when("it has written {count:d} answers of at most {tokens:d} tokens in {ms:d} ms each")
def step_written(context, count, tokens, ms):
    for _ in range(count):
        context.pace.has_written(tokens, ms)


@then("an answer of {tokens:d} tokens is expected to take {ms:d} ms")
def step_expected(context, tokens, ms):
    assert abs(context.pace.writing_ms(tokens) - ms) <= ms * NEAR, context.pace.writing_ms(tokens)

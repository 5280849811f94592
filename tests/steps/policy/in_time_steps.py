from __future__ import annotations

from behave import given, then, when

from hickorybeam.policy.deadline_check import can_finish
from hickorybeam.policy.server_speed import ServerSpeed

NEAR = 0.01


@then(
    "with {left:d} ms left, a first event after {first:d} ms and {writing:d} ms of writing it {may}"
)
def step_can_end(context, left, first, writing, may):
    assert can_finish(left_ms=left, first_event_ms=first, decode_ms=writing) == (may == "may")


@given("a server that has given no answer yet")
def step_new(context):
    context.pace = ServerSpeed()


@when("it has written {count:d} answers of at most {tokens:d} tokens in {ms:d} ms each")
def step_written(context, count, tokens, ms):
    for _ in range(count):
        context.pace.record_decode(tokens, ms)


@then("an answer of {tokens:d} tokens is expected to take {ms:d} ms")
def step_expected(context, tokens, ms):
    assert abs(context.pace.decode_ms(tokens) - ms) <= ms * NEAR, context.pace.decode_ms(tokens)

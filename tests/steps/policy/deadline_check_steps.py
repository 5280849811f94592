from __future__ import annotations

from behave import given, then, when

from hickorybeam.policy.deadline_check import can_finish
from hickorybeam.policy.server_speed import ServerSpeed

TOLERANCE = 0.01


@then(
    "with {left:d} ms left, a first event after {first:d} ms and {decode:d} ms of decoding it {may}"
)
def step_can_finish(context, left, first, decode, may):
    assert can_finish(left_ms=left, first_event_ms=first, decode_ms=decode) == (may == "may")


@given("a server that has not responded yet")
def step_new(context):
    context.speed = ServerSpeed()


@when("it has decoded {count:d} responses of at most {tokens:d} tokens in {ms:d} ms each")
def step_decoded(context, count, tokens, ms):
    for _ in range(count):
        context.speed.record_decode(tokens, ms)


@then("a response of {tokens:d} tokens is expected to take {ms:d} ms")
def step_expected(context, tokens, ms):
    assert abs(context.speed.decode_ms(tokens) - ms) <= ms * TOLERANCE, context.speed.decode_ms(
        tokens
    )

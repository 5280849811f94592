from __future__ import annotations

from behave import then, when

from hickorybeam.policy.overload import OverloadDetector

STEP_MS = 10
USUAL, URGENT = 5, 0


def detector(context):
    if not hasattr(context, "detector"):
        context.detector, context.now = OverloadDetector(), 10_000
    return context.detector


@when("requests that waited {share:g} of what they bear come each 10 ms for {ms:d} ms")
def step_come(context, share, ms):
    for _ in range(ms // STEP_MS):
        detector(context).record(USUAL, share, context.now)
        context.now += STEP_MS


@when(
    "requests that waited {share:g} of what they bear come each 10 ms for {ms:d} ms, "
    "beside urgent ones that waited {urgent:g}"
)
def step_come_beside(context, share, ms, urgent):
    for _ in range(ms // STEP_MS):
        detector(context).record(USUAL, share, context.now)
        detector(context).record(URGENT, urgent, context.now)
        context.now += STEP_MS


@when("one that waited {share:g} comes")
def step_one(context, share):
    detector(context).record(USUAL, share, context.now)


@when("nothing comes for {ms:d} ms")
def step_nothing(context, ms):
    context.now += ms


@then("the delay counts as overload")
def step_overloaded(context):
    assert detector(context).overloaded_ms(context.now) is not None


@then("the delay counts as none")
def step_not_overloaded(context):
    assert detector(context).overloaded_ms(context.now) is None

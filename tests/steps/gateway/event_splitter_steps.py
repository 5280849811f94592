from __future__ import annotations

from behave import given, then, when

from hickorybeam.gateway.event_splitter import EventSplitter


def to_bytes(text):
    return text.replace("\\n", "\n").replace("\\r", "\r").encode()


@given("the splitter of a resumable stream")
def step_splitter(context):
    context.splitter = EventSplitter(hold_partial=True)
    context.passed, context.fed = b"", 0


@when('it gets "{text}"')
def step_feed(context, text):
    context.passed = context.splitter.feed(to_bytes(text))


@then('it passes on "{text}", and the last event id is {last_id}')
def step_passed(context, text, last_id):
    assert context.passed == to_bytes(text), context.passed
    assert str(context.splitter.last_id) == last_id, context.splitter.last_id


@when("it gets {count:d} pieces of {size:d} bytes of one event")
def step_long_event(context, count, size):
    for _ in range(count):
        context.fed += size
        context.passed += context.splitter.feed(b"x" * size)
        held = context.fed - len(context.passed)
        context.most_held = max(getattr(context, "most_held", 0), held)


@then("it holds at most {size:d} bytes")
def step_holds(context, size):
    assert 0 < context.most_held <= size, context.most_held


@then("it has passed on everything else, and allows no resuming")
def step_no_resuming(context):
    assert context.passed == b"x" * context.fed
    assert not context.splitter.can_resume


@then("its stream doesn't end inside an event")
def step_not_inside(context):
    assert not context.splitter.inside_event

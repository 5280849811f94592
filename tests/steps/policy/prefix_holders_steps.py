from __future__ import annotations

from behave import given, then, when

from hickorybeam.model.routing import PromptPart
from hickorybeam.policy.prefix_holders import PrefixHolders


def parts_of(text):
    pairs = [entry.strip().split(":") for entry in text.split(",")]
    return tuple(PromptPart(name, int(tokens)) for name, tokens in pairs)


@given("prefix holders")
def step_holders(context):
    context.holders, context.now = PrefixHolders(), 9_000
    for audience in ("near", "far"):
        context.holders.take_updates(audience)


@when('prompt "{text}" is sent to "{server}"')
def step_sent(context, text, server):
    context.holders.record_sent(parts_of(text), server, context.now)


@then('prompt "{text}" is held by nobody')
def step_nobody(context, text):
    assert context.holders.find_holder(parts_of(text), context.now) is None


@then('prompt "{text}" is held by "{server}"')
def step_held(context, text, server):
    assert context.holders.find_holder(parts_of(text), context.now) == server


@when("{ms:d} ms pass for the holders")
def step_pass(context, ms):
    context.now += ms


@then('the updates for {audience} VMs are "{text}", once')
def step_updates(context, audience, text):
    found = context.holders.take_updates(audience)
    assert ", ".join(f"{part}={server}" for part, server in found.items()) == text, found
    assert context.holders.take_updates(audience) == {}


@when('another VM reports "{text}"')
def step_reports(context, text):
    context.holders.merge(dict([text.split("=")]), context.now)

from __future__ import annotations

from behave import then, when
from tests.steps.front.callers_steps import send

from hickorybeam.model import ConfigState, ObjectKind


@when('the front gets "{method}" "{path}" on host "{host}"')
def step_get(context, method, path, host):
    send(context, method, path, headers=[("host", host)])


@when("the routes are deleted")
def step_deleted(context):
    config = context.rig.config
    kept = {
        ref: entry
        for ref, entry in config.state.objects.items()
        if ref.kind != ObjectKind.ROUTE.value
    }
    config.state = ConfigState(position=config.state.position + 1, objects=kept)


def last_call(context):
    return context.rig.dispatch.calls[-1]


@then('the call goes to service "{service}" with path "{path}"')
def step_service(context, service, path):
    call = last_call(context)
    assert (call.served, call.path) == (service, path), call


@then("the call is idempotent: {expected}")
def step_idempotent(context, expected):
    assert last_call(context).idempotent == (expected == "yes")


@then("the call's deadline is {ms:d} ms")
def step_deadline(context, ms):
    assert last_call(context).deadline_ms == ms, last_call(context).deadline_ms

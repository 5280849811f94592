from __future__ import annotations

from behave import then, when

from hickorybeam.clock import SystemClock
from hickorybeam.gateway.placement.coordinator import request_from
from hickorybeam.gateway.targets import NoCapacity, TargetFilter
from hickorybeam.http1 import IncomingRequest
from hickorybeam.platform import decode_call
from hickorybeam.standins.deployment import caller_headers
from support.gateway import remove_account


@when('"{vm}" has admitted a prompt of "{account}" and the north has no server any more')
def step_admitted(context, vm, account):
    async def admit():
        rig = context.rig
        headers = caller_headers("c0ffee", key=account, wait_ms=5_000, tokens=b"50,10")
        req = IncomingRequest(
            method="POST",
            target=b"/chat/x",
            headers=headers,
            body=b"{}",
            arrived_ms=SystemClock().now(),
        )
        context.handler = rig.vms[vm].relay._handler
        context.request = context.handler._admission.admit(decode_call(req))
        rig.servers.pop("m1").withdraw()
        await rig.until(lambda: "m1" not in rig.vms[vm].routing_state.server_states)

    context.call(admit)


@when('the account "{account}" is removed')
def step_removed(context, account):
    async def remove():
        remove_account(context.rig, account)
        rig = context.rig
        rig.configure()
        states = [vm.routing_state for vm in rig.vms.values()]
        await rig.until(lambda: all(it.config.version == rig.config["version"] for it in states))

    context.call(remove)


@then("the VM that admitted it sends it nowhere")
def step_nowhere(context):
    check_nowhere(context, context.request)


@then("the placement coordinator sends it nowhere")
def step_coordinator_nowhere(context):
    message = context.handler._placement_client._message(1, context.request, TargetFilter())
    check_nowhere(context, request_from(message, SystemClock().now()))


def check_nowhere(context, request):
    found = context.handler._selector.choose(request, TargetFilter())
    assert found is None or isinstance(found, NoCapacity), found

from __future__ import annotations

import anyio
from behave import given, then

from hickorybeam.clock import SystemClock
from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.gateway.vm_client import VmClient
from support.raw_server import listen

READ_BYTES = 65_536


def id_lines(which, request):
    own = next(it for it in request.split(b"\r\n") if it.startswith(b"x-hickorybeam-request-id"))
    return {
        "their call's id": own + b"\r\n",
        "no id": b"",
        "another's id": own[:-1] + b"!\r\n",
    }[which]


@given("a VM whose answers to other VMs have {which}")
def step_vm(context, which):
    async def respond(reader, writer):
        request = await reader.read(READ_BYTES)
        head = b"HTTP/1.1 200 OK\r\n" + id_lines(which, request)
        writer.write(head + b"content-length: 4\r\n\r\nbody")
        writer.close()

    async def serve(task_status):
        async with anyio.create_task_group() as tg:
            context.port = await listen(tg, respond)
            task_status.started(tg.cancel_scope)

    _, scope = context.portal.start_task(lambda *, task_status: serve(task_status))
    context.stack.callback(context.portal.call, scope.cancel)


@then("a call of another VM gets {found}")
def step_call(context, found):
    client = VmClient(SystemClock())
    try:
        body = context.call(client.get, ("127.0.0.1", context.port), "/state")
    except GatewayError as exc:
        assert exc.kind is ErrorKind.PEER_UNREACHABLE
        assert found == "nothing", exc
    else:
        assert (found, body) == ("its body", b"body")

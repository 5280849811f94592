from __future__ import annotations

import anyio
from behave import given, then, when

from hickorybeam.http1 import UpstreamConnection
from steps.http1.upstream_steps import FakeTransport


@given("a HEAD request was sent")
def step_head_request(context):
    async def send():
        context.conn, context.transport = UpstreamConnection(), FakeTransport()
        context.conn.connection_made(context.transport)
        context.conn.send(b"HEAD / HTTP/1.1\r\n\r\n", head_only=True)

    context.call(send)


@when('the head arrives with "{header}"')
def step_head_arrives(context, header):
    async def arrive():
        context.conn.data_received(f"HTTP/1.1 200 OK\r\n{header}\r\n\r\n".encode())
        with anyio.fail_after(1):
            await context.conn.read_head()
            context.body = await context.conn.read_body()

    context.call(arrive)


@then("the response is complete and has no body")
def step_head_only(context):
    assert context.body == b""

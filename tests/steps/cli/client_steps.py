from __future__ import annotations

import anyio
from behave import given, then, when

from hickorybeam.cli.client import OperatorClient, UnreachableError
from support.raw_server import serve_bytes


@given('an entry VM\'s answer "{body}" without a length')
def step_answer(context, body):
    context.body = b"" if body == "none" else body.encode()


@when("an operator asks it for its status")
def step_status(context):
    def ask(port):
        try:
            OperatorClient(f"http://127.0.0.1:{port}", "key").status()
        except UnreachableError:
            return "sent no valid answer"
        return "answered"

    async def exchange():
        async with anyio.create_task_group() as tg:
            port = await serve_bytes(tg, b"HTTP/1.1 200 OK\r\n\r\n" + context.body)
            context.outcome = await anyio.to_thread.run_sync(ask, port)
            tg.cancel_scope.cancel()

    context.call(exchange)


@then('the operator\'s client says that it "{outcome}"')
def step_outcome(context, outcome):
    assert context.outcome == outcome, context.outcome

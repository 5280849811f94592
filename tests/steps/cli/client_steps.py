from __future__ import annotations

import anyio
from behave import given, then, when

from hickorybeam.cli.client import OperatorClient, RefusedError, UnreachableError
from support.raw_server import serve_bytes


@given('an entry VM\'s answer "{body}" without a length')
def step_answer(context, body):
    context.status, context.body = b"200 OK", b"" if body == "none" else body.encode()


@given('an entry VM\'s refusal "{body}"')
def step_refusal(context, body):
    context.status, context.body = b"429 Too Many Requests", body.encode()


@when("an operator asks it for its status")
def step_status(context):
    def ask(port):
        try:
            OperatorClient(f"http://127.0.0.1:{port}", "key").status()
        except UnreachableError:
            return "sent no valid answer"
        except RefusedError:
            return "refused"
        return "answered"

    async def exchange():
        async with anyio.create_task_group() as tg:
            port = await serve_bytes(tg, b"HTTP/1.1 %s\r\n\r\n%s" % (context.status, context.body))
            context.outcome = await anyio.to_thread.run_sync(ask, port)
            tg.cancel_scope.cancel()

    context.call(exchange)


@then('the operator\'s client says that it "{outcome}"')
def step_outcome(context, outcome):
    assert context.outcome == outcome, context.outcome

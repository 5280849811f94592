from __future__ import annotations

import threading

import anyio
import httpcore
import msgspec
import openai
from behave import given, then, when
from tests.steps.front.rig import OPERATOR, SECRET, Rig

from hickorybeam.standins.engine import answer_text
from hickorybeam.standins.http import Fault, FaultKind

MESSAGES = [{"role": "user", "content": "hello"}]
TOKENS = 6


@given("a front rig")
def step_rig(context):
    rig = context.call(Rig)
    context.rig = context.stack.enter_context(context.portal.wrap_async_context_manager(rig))


@given('dispatch behind the front refuses with "{kind}"')
def step_refuses(context, kind):
    context.rig.refuse(kind)


@given('the engine behind the front has fault "{kind}" after {after:d} tokens')
def step_fault(context, kind, after):
    context.rig.engine.app.faults.set(Fault(kind=FaultKind(kind), after=after))


def client(context, *, retries=0):
    return openai.OpenAI(
        base_url=f"{context.rig.url}/v1", api_key=SECRET, max_retries=retries, timeout=10
    )


def request_completion(context, kind, *, stream, retries=0, tokens=TOKENS):
    """Request a completion with the client library; collect its text, or the library's error."""
    context.completion_text, context.error, context.chunk_count = "", None, 0
    with client(context, retries=retries) as api:
        try:
            if kind == "chat":
                context.body = {"model": "small", "messages": MESSAGES, "max_tokens": tokens}
                response = api.chat.completions.create(**context.body, stream=stream)
            else:
                context.body = {"model": "small", "prompt": "hello", "max_tokens": tokens}
                response = api.completions.create(**context.body, stream=stream)
            for chunk in response if stream else [response]:
                context.completion_text += chunk_text(chunk, kind, stream)
                context.chunk_count += 1
        except openai.APIError as exc:
            context.error = exc


def chunk_text(chunk, kind, stream):
    choice = chunk.choices[0]
    if kind == "completion":
        return choice.text
    return choice.delta.content if stream else choice.message.content


@when('an openai client at the front requests "{kind}", streamed: {streamed}')
def step_request(context, kind, streamed):
    request_completion(context, kind, stream=streamed == "yes")


@when('an openai client at the front that retries requests "{kind}"')
def step_request_retrying(context, kind):
    request_completion(context, kind, stream=False, retries=2)


@when("an openai client at the front lists models")
def step_models(context):
    with client(context) as api:
        context.models = [model.id for model in api.models.list()]


@when("an openai client at the front streams while the operator drains the VM")
def step_drain(context):
    thread = threading.Thread(
        target=request_completion, args=(context, "chat"), kwargs={"stream": True, "tokens": 400}
    )
    thread.start()
    context.call(eventually, lambda: context.rig.dispatch.calls)
    headers = {"authorization": f"Bearer {OPERATOR}"}
    response = httpcore.request("POST", f"{context.rig.url}/v1/drain", headers=headers)
    assert response.status == 202, response.content
    context.call(eventually, lambda: context.rig.members.leaving_announced)
    headers = {"authorization": f"Bearer {SECRET}"}
    context.refused = httpcore.request(
        "POST", f"{context.rig.url}/v1/chat/completions", headers=headers, content=b"{}"
    )
    thread.join(timeout=20)


async def eventually(check, *, seconds=5):
    with anyio.fail_after(seconds):
        while not (result := check()):
            await anyio.sleep(0.005)
    return result


@then("the openai client at the front got the complete response")
def step_complete(context):
    assert context.error is None, context.error
    assert context.completion_text == answer_text(context.body), context.completion_text


@then('the openai client at the front got models "{names}"')
def step_got_models(context, names):
    assert context.models == names.split()


@then('the openai client at the front got error "{name}" with code "{code}"')
def step_error(context, name, code):
    assert context.error is not None, context.completion_text
    assert (type(context.error).__name__, context.error.code) == (name, code), context.error


@then('the openai client at the front got {count:d} tokens and error "{name}" with code "{code}"')
def step_broken(context, count, name, code):
    assert context.chunk_count == count, context.chunk_count
    step_error(context, name, code)


@then("dispatch behind the front got {count:d} call")
@then("dispatch behind the front got {count:d} calls")
def step_calls(context, count):
    assert len(context.rig.dispatch.calls) == count, len(context.rig.dispatch.calls)


@then('the front refused new calls with "{code}" meanwhile')
def step_refused(context, code):
    error = msgspec.json.decode(context.refused.content)["error"]
    assert (error["code"], error["ran"]) == (code, "no"), error
    assert error["entries"]
    assert dict(context.refused.headers)[b"connection"] == b"close"


@then("the front announced that it leaves and stopped")
def step_stopped(context):
    assert context.rig.members.leaving_announced
    context.call(eventually, context.rig.stopped.is_set)


@given("dispatch behind the front raises an error that quotes the prompt")
def step_internal_error(context):
    context.rig.dispatch.refusal = RuntimeError("hello prompt")

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


def ask(context, kind, *, stream, retries=0, tokens=TOKENS):
    """Ask as a user of the library would; collect the text, or the library's error."""
    context.said, context.error, context.pieces = "", None, 0
    with client(context, retries=retries) as api:
        try:
            if kind == "chat":
                context.body = {"model": "small", "messages": MESSAGES, "max_tokens": tokens}
                answer = api.chat.completions.create(**context.body, stream=stream)
            else:
                context.body = {"model": "small", "prompt": "hello", "max_tokens": tokens}
                answer = api.completions.create(**context.body, stream=stream)
            for part in answer if stream else [answer]:
                context.said += text_of(part, kind, stream)
                context.pieces += 1
        except openai.APIError as exc:
            context.error = exc


def text_of(part, kind, stream):
    choice = part.choices[0]
    if kind == "completion":
        return choice.text
    return choice.delta.content if stream else choice.message.content


@when('an openai client at the front asks for "{kind}", streamed: {word}')
def step_ask(context, kind, word):
    ask(context, kind, stream=word == "yes")


@when('an openai client at the front that retries asks for "{kind}"')
def step_ask_retrying(context, kind):
    ask(context, kind, stream=False, retries=2)


@when("an openai client at the front lists models")
def step_models(context):
    with client(context) as api:
        context.models = [model.id for model in api.models.list()]


@when("an openai client at the front streams while the operator drains the VM")
def step_drain(context):
    thread = threading.Thread(
        target=ask, args=(context, "chat"), kwargs={"stream": True, "tokens": 400}
    )
    thread.start()
    context.call(eventually, lambda: context.rig.dispatch.calls)
    headers = {"authorization": f"Bearer {OPERATOR}"}
    answer = httpcore.request("POST", f"{context.rig.url}/v1/drain", headers=headers)
    assert answer.status == 202, answer.content
    context.call(eventually, lambda: context.rig.members.left)
    headers = {"authorization": f"Bearer {SECRET}"}
    context.refused = httpcore.request(
        "POST", f"{context.rig.url}/v1/chat/completions", headers=headers, content=b"{}"
    )
    thread.join(timeout=20)


async def eventually(check, *, seconds=5):
    with anyio.fail_after(seconds):
        while not (found := check()):
            await anyio.sleep(0.005)
    return found


@then("the openai client at the front got the whole answer")
def step_whole(context):
    assert context.error is None, context.error
    assert context.said == answer_text(context.body), context.said


@then('the openai client at the front got models "{names}"')
def step_got_models(context, names):
    assert context.models == names.split()


@then('the openai client at the front got error "{name}" with code "{code}"')
def step_error(context, name, code):
    assert context.error is not None, context.said
    assert (type(context.error).__name__, context.error.code) == (name, code), context.error


@then('the openai client at the front got {count:d} tokens and error "{name}" with code "{code}"')
def step_broken(context, count, name, code):
    assert context.pieces == count, context.pieces
    step_error(context, name, code)


@then("dispatch behind the front got {count:d} call")
@then("dispatch behind the front got {count:d} calls")
def step_calls(context, count):
    assert len(context.rig.dispatch.calls) == count, len(context.rig.dispatch.calls)


@then('the front refused new work with "{code}" meanwhile')
def step_refused(context, code):
    error = msgspec.json.decode(context.refused.content)["error"]
    assert (error["code"], error["ran"]) == (code, "no"), error
    assert error["entries"]
    assert dict(context.refused.headers)[b"connection"] == b"close"


@then("the front left the directory and stopped")
def step_stopped(context):
    assert context.rig.members.left
    context.call(eventually, context.rig.stopped.is_set)


@given("dispatch behind the front has a fault that quotes the prompt")
def step_inner_fault(context):
    context.rig.dispatch.refusal = RuntimeError("hello prompt")

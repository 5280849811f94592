from __future__ import annotations

import re

import httpcore
import msgspec
from behave import given, then, when

from hickorybeam.standins import engine

BODY = {"model": "small", "messages": [{"role": "user", "content": "hello"}]}


def ask(context, method, path, value=None):
    content = None if value is None else msgspec.json.encode(value)

    async def send():
        async with httpcore.AsyncConnectionPool() as pool:
            url = f"http://127.0.0.1:{context.engine.port}{path}"
            return await pool.request(method, url, content=content)

    context.engine_answer = context.call(send)
    return context.engine_answer


@given('a stand-in engine with models "{models}"')
def step_engine(context, models):
    server = engine.serve(models=tuple(models.split(",")))
    context.engine = context.stack.enter_context(context.portal.wrap_async_context_manager(server))


@given("the stand-in engine checks fencing: {word}")
def step_fencing(context, word):
    context.engine.app.checks_fencing = word == "yes"


@when('the stand-in engine is asked "{method}" "{path}"')
def step_asked(context, method, path):
    ask(context, method, path)


@when("the stand-in engine streams {count:d} tokens")
def step_streams(context, count):
    context.engine_body = BODY | {"max_tokens": count}
    wanted = {"stream": True, "stream_options": {"include_usage": True}}
    ask(context, "POST", "/v1/chat/completions", context.engine_body | wanted)


@when("the stand-in engine's stream is resumed from {position:d}")
def step_resumed(context, position):
    stream_id = dict(context.engine_answer.headers)[b"x-stream-id"].decode()
    ask(context, "GET", f"/streams/{stream_id}?from={position}&chat=1&usage=1")


@when('the stand-in engine is ordered to load "{model}" with fencing {number:d}')
def step_ordered(context, model, number):
    ask(context, "POST", "/orders", {"order": "load", "model": model, "fencing": number})


@then('the stand-in engine answers {status:d} with field "{field}"')
def step_answers(context, status, field):
    answer = context.engine_answer
    assert answer.status == status, answer.content
    assert field in msgspec.json.decode(answer.content), answer.content


@then("the stand-in engine's stream is whole")
def step_whole(context):
    events = context.engine_answer.content.decode().strip().split("\n\n")
    assert events[-1] == "data: [DONE]"
    frames = [msgspec.json.decode(event.split("data: ")[1]) for event in events[:-1]]
    text = "".join(frame["choices"][0]["delta"]["content"] for frame in frames[:-1])
    assert text == engine.answer_text(context.engine_body), text
    assert frames[-1]["usage"]["completion_tokens"] == context.engine_body["max_tokens"]


@then('the resumed events of the stand-in engine are "{positions}"')
def step_resumed_events(context, positions):
    found = re.findall(r"^id: (\d+)$", context.engine_answer.content.decode(), re.M)
    assert found == positions.split(), found

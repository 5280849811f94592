from __future__ import annotations

import re
import subprocess
import sys
import time

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


@when("the stand-in engine runs {count:d} prompts that share no prefix")
def step_prompts(context, count):
    for number in range(count):
        ask(context, "POST", "/v1/completions", {"model": "small", "prompt": str(number)})


@when("the stand-in engine is asked for its load at once after a call")
def step_load_at_once(context):
    ask(context, "GET", "/load")
    ask(context, "POST", "/v1/completions", {"model": "small", "prompt": "x", "max_tokens": 1})
    ask(context, "GET", "/load")


@then("the stand-in engine's cache events come late and leave out number {gap:d}")
def step_cache_events(context, gap):
    def numbers():
        answer = ask(context, "GET", "/cache-events")
        return [event["seq"] for event in msgspec.json.decode(answer.content)["events"]]

    assert 8 not in numbers()
    deadline = time.monotonic() + 5
    while 8 not in (found := numbers()) and time.monotonic() < deadline:
        time.sleep(0.02)
    assert found == [number for number in range(1, 9) if number != gap], found


@then("the stand-in engine's load report is older than the call")
def step_load_lags(context):
    load = msgspec.json.decode(context.engine_answer.content)
    assert load["cached_prefixes"] == [], load
    assert context.engine.app.seen.prompts


@then('the stand-in "{name}" runs as a process and answers "{path}"')
def step_process(context, name, path):
    args = [sys.executable, "-m", f"hickorybeam.standins.{name}", "--port", "0"]
    proc = subprocess.Popen(args, stdout=subprocess.PIPE, text=True)
    context.stack.callback(proc.wait, 10)
    context.stack.callback(proc.terminate)
    context.stack.callback(proc.stdout.close)
    line = proc.stdout.readline()
    assert line.startswith("listening on 127.0.0.1:"), line
    port = int(line.rpartition(":")[2])
    assert httpcore.request("GET", f"http://127.0.0.1:{port}{path}").status == 200


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

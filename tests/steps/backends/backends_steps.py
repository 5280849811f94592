from __future__ import annotations

from dataclasses import replace

import anyio
import msgspec
from behave import given, then, when
from tests.steps.backends.rig import Rig

from hickorybeam.errors import Ran
from hickorybeam.model import Usage
from hickorybeam.standins.engine import answer_text
from hickorybeam.standins.http import Fault, FaultKind

OWN_HEADERS = {"host", "x-request-id", "x-account", "x-deadline-ms", "via"}


@given("a backends rig")
def step_rig(context):
    rig = context.call(Rig)
    context.rig = context.stack.enter_context(context.portal.wrap_async_context_manager(rig))


@given('the backends rig\'s engine has fault "{kind}" after {after:d} tokens, {count:d} times')
def step_engine_fault(context, kind, after, count):
    fault = Fault(kind=FaultKind(kind), after=after, count=count)
    context.rig.engine.app.faults.set(fault)


@given("the backends rig's engine repeats a token when resumed")
def step_repeats(context):
    faults = context.rig.engine.app.faults
    queue = [faults.take(), Fault(kind=FaultKind.DUPLICATE)]
    faults.take = lambda: queue.pop(0) if queue else Fault()


@given('the backends rig\'s plain service has fault "{kind}"')
def step_plain_fault(context, kind):
    context.rig.plain.app.faults.set(Fault(kind=FaultKind(kind)))


@given('the backends rig\'s plain service has fault "{kind}" after {after:d} bytes')
def step_plain_fault_after(context, kind, after):
    context.rig.plain.app.faults.set(Fault(kind=FaultKind(kind), after=after))


def read(context, call, name, **options):
    context.sent = call
    context.got = context.call(
        lambda: context.rig.run_call(call, context.rig.servers[name], **options)
    )


@when("the backends rig reads an engine call, streamed: {word}")
def step_read_engine(context, word):
    fields = {} if word == "yes" else {"deadline_ms": 400}
    read(context, context.rig.engine_call(stream=word == "yes", **fields), "engine")


@when("the backends rig reads an engine call at a closed port")
def step_read_closed(context):
    servers = context.rig.servers
    servers["closed"] = replace(servers["engine"], name="closed", port=1)
    read(context, context.rig.engine_call(), "closed")


@when("the backends rig's caller vanishes after {count:d} tokens of {total:d}")
def step_vanishes(context, count, total):
    read(context, context.rig.engine_call(tokens=total), "engine", stop_after=count)


@when('the backends rig sends "{method}" "{path}" to the plain service')
def step_send_plain(context, method, path):
    read(context, context.rig.plain_call(method, path), "plain")


@when("the backends rig books once")
def step_books(context):
    call = context.rig.plain_call("POST", "/bookings", body=b'{"wheel":1}', idempotent=False)
    read(context, call, "plain")


@when("the backends rig sends the plain service headers")
def step_send_headers(context):
    headers = tuple((row["name"], row["value"]) for row in context.table)
    read(context, context.rig.plain_call("GET", "/bytes", headers=headers), "plain")


@when("the backends rig waits for a load report")
def step_wait_report(context):
    context.call(eventually, lambda: context.rig.backends.report("engine"))


@when("the backends rig's service crashes once")
def step_crash(context):
    rig = context.rig

    def crash():
        rig.config.crash = True
        rig.config.set(*rig.servers.values())

    context.call(crash)
    context.call(eventually, lambda: rig.kernel.restarts.get("backends"))


@when("the backends rig's engine is asked for its load again")
def step_load_again(context):
    rig = context.rig
    asked = rig.backends._poller._reports["engine"].at_ms
    context.call(eventually, lambda: rig.backends._poller._reports["engine"].at_ms > asked + 100)


@when("the backends rig's engine is gone")
def step_gone(context):
    context.call(context.rig.engine.listener.abort)


async def eventually(check, *, seconds=5):
    with anyio.fail_after(seconds):
        while not (found := check()):
            await anyio.sleep(0.005)
    return found


@then("the engine answer at the backends rig is whole with usage")
def step_whole(context):
    got = context.got
    assert got.error is None, got.error
    body = msgspec.json.decode(context.sent.body)
    wanted = answer_text(body)
    if body["stream"]:
        assert got.body.endswith(b"data: [DONE]\n\n")
        assert b'"usage"' not in got.body, "the caller did not ask for usage"
        assert got.text == wanted, got.text
    else:
        text = msgspec.json.decode(got.body)["choices"][0]["message"]["content"]
        assert text == wanted, text
    assert got.tokens == body["max_tokens"], got.tokens
    assert got.end is not None
    prompt = msgspec.json.encode(body["messages"])
    assert got.end.usage == Usage(len(prompt) // 4, body["max_tokens"]), got.end


@then("the backends rig counted {count:d} resume")
def step_resumes(context, count):
    assert context.rig.count("retries", reason="resume") == count


@then("the backends rig's engine ran the call {count:d} time")
def step_ran(context, count):
    assert context.rig.engine.app.seen.executions[context.sent.request_id] == count


@then('the backends rig\'s caller got error "{kind}" with ran "{ran}"')
def step_error(context, kind, ran):
    got = context.got
    assert got.error is not None, got.parts
    assert (got.error.kind.value, got.error.ran) == (kind, Ran(ran)), got.error
    assert got.end is None


@then("the backends rig noticed after {low:d} to {high:d} ms")
def step_noticed(context, low, high):
    assert low <= context.got.took_ms <= high, context.got.took_ms


@then("the backends rig's engine was told to cancel")
def step_cancelled(context):
    assert context.got.end is None
    batch = context.rig.engine.app.batch
    context.call(eventually, lambda: batch.cancels)
    stream = batch.streams[batch.cancels[0]]
    assert stream.produced < stream.max_tokens


@then("the backends rig opened {count:d} connection for calls")
@then("the backends rig opened {count:d} connections for calls")
def step_opened(context, count):
    assert context.rig.backends.pool.opened == count, context.rig.backends.pool.opened


@then('the load report at the backends rig names engine "{name}"')
def step_report(context, name):
    report = context.rig.backends.report(name)
    assert report.backend == name
    assert report.lag_ms >= 0


@then("the backends rig shows no load report")
def step_no_report(context):
    context.call(eventually, lambda: context.rig.backends.report("engine") is None)


@then("the plain answer at the backends rig has status {status:d} and {size:d} bytes")
def step_plain_answer(context, status, size):
    got = context.got
    assert got.error is None, got.error
    assert (got.head.status, len(got.body)) == (status, size), got.parts
    assert got.end is not None


@then("the backends rig's plain service ran it {runs:d} times")
def step_plain_runs(context, runs):
    assert context.rig.plain.app.executions[context.sent.request_id] == runs


@then('the plain service at the backends rig saw exactly the caller\'s headers "{names}"')
def step_saw(context, names):
    seen = context.rig.plain.app.headers[-1]
    assert set(seen) - OWN_HEADERS == set(names.split()), seen


@then('the plain service at the backends rig saw account "{name}"')
def step_saw_account(context, name):
    assert context.rig.plain.app.headers[-1]["x-account"] == name


@then('the plain answer at the backends rig has header "{kept}" and not "{dropped}"')
def step_headers(context, kept, dropped):
    names = {name for name, _ in context.got.head.headers}
    assert kept in names, names
    assert not names & set(dropped.split()), names

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


@given("the backends rig's engine repeats a token on resume")
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
    context.received = context.call(
        lambda: context.rig.run_call(call, context.rig.servers[name], **options)
    )


@when("the backends rig sends an engine call, streamed: {word}")
def step_send_engine(context, word):
    fields = {} if word == "yes" else {"deadline_ms": 400}
    read(context, context.rig.engine_call(stream=word == "yes", **fields), "engine")


@when("the backends rig sends an engine call to a closed port")
def step_send_closed(context):
    servers = context.rig.servers
    servers["closed"] = replace(servers["engine"], name="closed", port=1)
    read(context, context.rig.engine_call(), "closed")


@when("the backends rig's caller disconnects after {count:d} tokens of {total:d}")
def step_disconnects(context, count, total):
    read(context, context.rig.engine_call(tokens=total), "engine", stop_after=count)


@when('the backends rig sends "{method}" "{path}" to the plain service')
def step_send_plain(context, method, path):
    read(context, context.rig.plain_call(method, path), "plain")


@when("the backends rig sends a booking that is not idempotent")
def step_booking(context):
    call = context.rig.plain_call("POST", "/bookings", body=b'{"wheel":1}', idempotent=False)
    read(context, call, "plain")


@when("the backends rig sends the plain service headers")
def step_send_headers(context):
    headers = tuple((row["name"], row["value"]) for row in context.table)
    read(context, context.rig.plain_call("GET", "/bytes", headers=headers), "plain")


@when("the backends rig waits for a load report")
def step_wait_report(context):
    context.call(wait_until, lambda: context.rig.backends.report("engine"))


@when("the backends rig's service crashes once")
def step_crash(context):
    rig = context.rig

    def crash():
        rig.config.crash = True
        rig.config.set(*rig.servers.values())

    context.call(crash)
    context.call(wait_until, lambda: rig.kernel.restarts.get("backends"))


@when("the backends rig's engine reports its load again")
def step_load_again(context):
    rig = context.rig
    last_report_ms = rig.backends._poller._reports["engine"].at_ms
    context.call(
        wait_until, lambda: rig.backends._poller._reports["engine"].at_ms > last_report_ms + 100
    )


@when("the backends rig's engine is stopped")
def step_stopped(context):
    context.call(context.rig.engine.listener.abort)


async def wait_until(check, *, seconds=5):
    with anyio.fail_after(seconds):
        while not (found := check()):
            await anyio.sleep(0.005)
    return found


@then("the engine response at the backends rig is complete with usage")
def step_whole(context):
    received = context.received
    assert received.error is None, received.error
    body = msgspec.json.decode(context.sent.body)
    expected = answer_text(body)
    if body["stream"]:
        assert received.body.endswith(b"data: [DONE]\n\n")
        assert b'"usage"' not in received.body, "the caller did not ask for usage"
        assert received.text == expected, received.text
    else:
        text = msgspec.json.decode(received.body)["choices"][0]["message"]["content"]
        assert text == expected, text
    assert received.tokens == body["max_tokens"], received.tokens
    assert received.end is not None
    prompt = msgspec.json.encode(body["messages"])
    assert received.end.usage == Usage(len(prompt) // 4, body["max_tokens"]), received.end


@then("the backends rig counted {count:d} resume")
def step_resumes(context, count):
    assert context.rig.count("retries", reason="resume") == count


@then("the backends rig's engine ran the call {count:d} time")
def step_ran(context, count):
    assert context.rig.engine.app.seen.executions[context.sent.request_id] == count


@then('the backends rig\'s caller got error "{kind}" with ran "{ran}"')
def step_error(context, kind, ran):
    received = context.received
    assert received.error is not None, received.parts
    assert (received.error.kind.value, received.error.ran) == (kind, Ran(ran)), received.error
    assert received.end is None


@then("the backends rig's call ended after {low:d} to {high:d} ms")
def step_ended_after(context, low, high):
    assert low <= context.received.took_ms <= high, context.received.took_ms


@then("the backends rig's engine got a cancel")
def step_cancelled(context):
    assert context.received.end is None
    batch = context.rig.engine.app.batch
    context.call(wait_until, lambda: batch.cancels)
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


@then("the backends rig has no load report")
def step_no_report(context):
    context.call(wait_until, lambda: context.rig.backends.report("engine") is None)


@then("the plain response at the backends rig has status {status:d} and {size:d} bytes")
def step_plain_response(context, status, size):
    received = context.received
    assert received.error is None, received.error
    assert (received.head.status, len(received.body)) == (status, size), received.parts
    assert received.end is not None


@then("the backends rig's plain service ran it {runs:d} times")
def step_plain_runs(context, runs):
    assert context.rig.plain.app.executions[context.sent.request_id] == runs


@then('the plain service at the backends rig got exactly the caller\'s headers "{names}"')
def step_got_headers(context, names):
    seen = context.rig.plain.app.headers[-1]
    assert set(seen) - OWN_HEADERS == set(names.split()), seen


@then('the plain service at the backends rig got account "{name}"')
def step_got_account(context, name):
    assert context.rig.plain.app.headers[-1]["x-account"] == name


@then('the plain response at the backends rig has header "{kept}" and not "{dropped}"')
def step_headers(context, kept, dropped):
    names = {name for name, _ in context.received.head.headers}
    assert kept in names, names
    assert not names & set(dropped.split()), names


@then("the engine asked for {ms:d} ms of rest")
def step_engine_rest(context, ms):
    assert context.received.error.retry_after_ms == ms, context.received.error.retry_after_ms

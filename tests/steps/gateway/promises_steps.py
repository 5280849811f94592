from __future__ import annotations

import json
import re
import time

import anyio
from behave import then, when

from hickorybeam.platform import names
from steps.gateway.endless_bytes_steps import ask

FIRST_ID = 5_000
READ_LIMIT_S = 5
PAUSE_S = 0.05
REFUSED_ID = "feed000000000001"
HEAD = (
    b"POST /order/x HTTP/1.1\r\nhost: shop.example\r\nauthorization: Bearer key-of-small\r\n"
    b"x-hickorybeam-request-id: " + REFUSED_ID.encode() + b"\r\n"
)
UNREAD = {
    "half a head, and no more": HEAD + b"x-a: b",
    "a body that is too long": HEAD + b"content-length: 70000\r\n\r\n" + b"x" * 70_000,
    "a head that is too long": HEAD + b"x-a: %s\r\n\r\n" % (b"v" * 40_000),
}


def lines_of(context, event):
    found = []
    for text in context.daemon.log.read_text().splitlines():
        if text.startswith("{") and text.endswith("}"):
            line = json.loads(text)
            if line.get("event") == event:
                found.append(line)
    return found


def ids_in(lines):
    return {it for line in lines for it in (line.get("request") or line["requests"]).split()}


def wait_named(context, event, ids):
    """Wait until a kind of lines names all of the ids; the last are written a second later."""
    end = time.monotonic() + READ_LIMIT_S
    while not ids <= ids_in(lines_of(context, event)):
        assert time.monotonic() < end, ids - ids_in(lines_of(context, event))
        time.sleep(PAUSE_S)
    return lines_of(context, event)


@when("{count:d} callers order at once")
def step_order(context, count):
    context.ids = {f"{FIRST_ID + it:016x}" for it in range(count)}

    async def order_all():
        context.answers = []

        async def order(number):
            answer, _ = await ask(context, "/order/x", FIRST_ID + number, method="POST")
            context.answers.append(answer)

        async with anyio.create_task_group() as tg:
            for number in range(count):
                tg.start_soon(order, number)

    context.call(order_all)


@then("all of the orders get {status:d}")
def step_all_get(context, status):
    found = sorted(it.status for it in context.answers)
    assert found == [status] * len(context.ids), found


@then('the log names each of them as "{event}"')
def step_named(context, event):
    wait_named(context, event, context.ids)


@then("the log names each of them, at least {count:d} with the server's word on a connection")
def step_named_with_ground(context, count):
    end = time.monotonic() + READ_LIMIT_S
    while True:
        refused, unsent = lines_of(context, "not_run"), lines_of(context, "not_run_unsent")
        left = context.ids - ids_in(refused) - ids_in(unsent)
        if not left:
            break
        assert time.monotonic() < end, left
        time.sleep(PAUSE_S)
    assert len(refused) >= count, len(refused)
    for line in refused:
        assert line["ground"] == "server", line
        assert re.search(r" on port \d+, request \d+: status 503: not run", line["sends"][-1]), line


@when("an unfinished or overlong request comes: {what}")
def step_send(context, what):
    context.answer = context.call(
        lambda: context.rig.exchange(context.daemon.callers, UNREAD[what], host=context.daemon.host)
    )


@then("it is refused with {status:d}, by its id")
def step_refused(context, status):
    assert context.answer.status == status, context.answer
    assert dict(context.answer.headers)[names.REQUEST_ID] == REFUSED_ID.encode()


@then('the log names it as "{event}"')
def step_it_is_named(context, event):
    wait_named(context, event, {REFUSED_ID})


@then("the log names the connection of each send that broke")
def step_connections_named(context):
    for line in wait_named(context, "sends", context.ids):
        assert re.search(r"broken on port \d+, request \d+", line["sends"][-1]), line

from __future__ import annotations

import itertools
from dataclasses import replace

import httpcore
from behave import given, then, when
from tests.steps.front.rig import SECRET

from support.broken_answers import framed, missing_counts, serve_broken

BODY = b"0123456789abcdefg"
LOST = (httpcore.NetworkError, httpcore.ProtocolError)


@given("the plain service behind the front breaks its answers off")
def step_breaks_off(context):
    manager = context.portal.wrap_async_context_manager(serve_broken())
    context.answers = context.stack.enter_context(manager)
    servers = context.rig.dispatch.servers
    servers["bookings"] = replace(servers["bookings"], port=context.answers.port)


async def ask(pool, port):
    """Return status and body that a caller gets, ``None`` if it sees that the answer is broken."""
    url = f"http://127.0.0.1:{port}/wheels"
    headers = [("Host", "shop.example"), ("Authorization", f"Bearer {SECRET}")]
    try:
        response = await pool.request("GET", url, headers=headers)
    except LOST:
        return None
    return response.status, response.content


@when("its answer framed by {framing} breaks off at any place of its {part}, with a caller each")
def step_callers(context, framing, part):
    answers = context.answers
    answers.answer = framed(BODY, framing, headers=b"content-type: text/plain\r\n")
    counts = missing_counts(answers.answer, head_only=part == "head")
    cases = [(0, "closes"), *itertools.product(counts, ("closes", "resets"))]

    async def ask_all():
        found = {}
        async with httpcore.AsyncConnectionPool() as pool:
            for missing, end in cases:
                answers.missing, answers.end = missing, end
                found[missing, end] = await ask(pool, context.rig.front.port)
        return found

    context.found = context.call(ask_all)


@then("the caller got the whole answer, and none of the others looks whole with status 200")
def step_none_whole(context):
    whole = context.found.pop((0, "closes"))
    assert whole == (200, BODY), whole
    assert context.found
    wrong = {key: found for key, found in context.found.items() if found and found[0] == 200}
    assert not wrong, wrong
    assert {found and found[0] for found in context.found.values()} <= {None, 502, 503}

from __future__ import annotations

import re
import tempfile
import time
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import anyio
from behave import given, then, when

from hickorybeam.demo.platform import start_platform_fleet
from hickorybeam.http1 import ConnectFailedError
from hickorybeam.http1.head import request_bytes
from hickorybeam.standins.deployment import caller_headers
from hickorybeam.standins.server import EVENTS
from hickorybeam.standins.strays import FORMS, RAW_FORMS, STRAY_BODY, Moment, serve_strays
from steps.gateway.promises_steps import lines_of
from support.endless import Daemon

READY_LIMIT_S = 20
PAUSE_S = 0.05
AT_ONCE = 8
# By then the daemon has seen that idle connections are closed.
CLOSED_S = 0.02
WORK_MS = 4
SLOTS = 64
# Nothing that is served here takes as long; what hangs ends.
TIMEOUT_MS = 2_000
PROMISES = (408, 421, 429, 503)
STREAMS = "/chat"


@dataclass
class Asked:
    """What a caller got, and with which form of bytes."""

    form: str
    request_id: str
    answer: object


@dataclass
class Rig:
    """A server behind a relay, the daemon that callers ask, and their answers."""

    fleet: object
    server: object
    relay: object
    asked: list[Asked] = field(default_factory=list)


@asynccontextmanager
async def strays_before_server(service, centre, moment):
    async with start_platform_fleet() as fleet:
        for it in fleet.config["routes"]:
            it |= {"timeout-ms": TIMEOUT_MS, "target-latency-ms": 1_000}
        fleet.config["version"] += 1
        fleet.configure()
        server = await fleet.add_server("v1", service, centre)
        server.slots, server.work_ms, server.tells_id = SLOTS, WORK_MS, True
        async with serve_strays(server.port) as relay:
            relay.moment = Moment(moment)
            server.port = relay.port
            server.register()
            yield Rig(fleet, server, relay)


@given('daemons before a server of "{service}" in "{centre}", and bytes of no request {moment}')
def step_daemons(context, service, centre, moment):
    context.strays = rig = context.stack.enter_context(
        context.portal.wrap_async_context_manager(strays_before_server(service, centre, moment))
    )
    folder = Path(context.stack.enter_context(tempfile.TemporaryDirectory()))
    context.daemon = Daemon(folder, rig.fleet.url)
    context.stack.callback(context.daemon.stop)
    if centre.startswith("south"):
        (folder / "s").mkdir()
        other = Daemon(folder / "s", rig.fleet.url, name="s1", centre=centre)
        context.stack.callback(other.stop)
    path = "/order/x" if service == "books" else "/chat/x"
    end = time.monotonic() + READY_LIMIT_S
    while context.call(ask_one, context, path, "").answer.status != 200:
        assert time.monotonic() < end, context.daemon.log.read_text()[-2_000:]
        time.sleep(PAUSE_S)
    rig.asked.clear()


async def ask_one(context, path, form):
    rig = context.strays
    rig.number = getattr(rig, "number", 0x1000) + 1
    request_id = f"{rig.number:016x}"
    tokens = b"50,10" if path.startswith(STREAMS) else None
    headers = caller_headers(request_id, key="small", wait_ms=TIMEOUT_MS, tokens=tokens)
    data = request_bytes("POST", path.encode(), headers, b"{}")
    asked = Asked(form, request_id, None)
    try:
        asked.answer = await rig.fleet.exchange(
            context.daemon.callers, data, host=context.daemon.host
        )
    except (ConnectFailedError, TimeoutError):
        asked.answer = NoAnswer()
    rig.asked.append(asked)
    return asked


class NoAnswer:
    status, whole, body = 0, False, b""


async def ask_with(context, count, path, form, at_once):
    """Send requests while the relay puts in bytes of one form."""
    rig = context.strays
    rig.relay.form = form
    rig.relay.close_all()
    await anyio.sleep(CLOSED_S)
    left = iter(range(count))

    async def ask():
        for _ in left:
            await ask_one(context, path, form)

    async with anyio.create_task_group() as tg:
        for _ in range(at_once):
            tg.start_soon(ask)
    rig.relay.form = ""


@when('{count:d} requests for "{path}" come with each form of those bytes')
def step_each_form(context, count, path):
    for form in FORMS:
        context.call(ask_with, context, count, path, form, AT_ONCE)


@when('{count:d} requests for "{path}" come with each raw form of those bytes')
def step_each_raw_form(context, count, path):
    for form in RAW_FORMS:
        context.call(ask_with, context, count, path, form, AT_ONCE)


@when('{count:d} requests for "{path}" come one after the other with the form "{form}"')
def step_one_by_one(context, count, path, form):
    context.call(ask_with, context, count, path, form, 1)


@when('{count:d} requests for "{path}" come one after the other with no such bytes')
def step_without(context, count, path):
    context.call(ask_with, context, count, path, "", 1)


def fault_of(asked, runs):
    """Return what is wrong with an answer, if anything is."""
    answer = asked.answer
    if runs > 1:
        return f"ran {runs} times"
    if answer.whole and answer.status in PROMISES and runs:
        return f"{answer.status}, and it ran"
    if STRAY_BODY in answer.body:
        return f"{answer.status} with a body of no request"
    if answer.status == 200 and answer.whole and not is_own(asked):
        return f"200 with {answer.body[:60]!r}"
    return ""


def is_own(asked):
    told = f"for {asked.request_id}".encode()
    body = asked.answer.body
    if body.startswith(b"id: "):
        return body.count(told) == EVENTS
    return body == b"done by v1 " + told


@then("each final answer fits the runs of its request")
def step_fits(context):
    rig = context.strays
    runs = {}
    for span in rig.server.spans:
        runs[span.request_id] = runs.get(span.request_id, 0) + 1
    assert rig.relay.sent, "no bytes of no request were sent"
    faults = {}
    for asked in rig.asked:
        if fault := fault_of(asked, runs.get(asked.request_id, 0)):
            faults.setdefault((asked.form, re.sub(r"\d{4,}\w*", "#", fault)), []).append(asked)
    told = [f"{form}: {len(found)} times {fault}" for (form, fault), found in faults.items()]
    assert not faults, "\n".join(told)


def failed(context):
    return [it for it in context.strays.asked if not (it.answer.whole and it.answer.status == 200)]


@then("each request is served with each form")
def step_served(context):
    step_failures(context, 0)


@then("at most {count:d} of them fail")
def step_failures(context, count):
    found = [(it.form, it.answer.status) for it in failed(context)]
    counts = {it: found.count(it) for it in found}
    assert len(found) <= count, counts


@then("the log names {count:d} responses of nobody, with their server, status and connection")
def step_log(context, count):
    found = [it for it in lines_of(context, "stray") if it["what"] == "nobody"]
    assert len(found) == count, lines_of(context, "stray")
    host = f"127.0.0.1:{context.strays.relay.port}"
    for line in found:
        assert (line["peer"], line["status"]) == (host, 503), line
        assert re.fullmatch(r"port \d+, request \d+", line["on"]), line
        assert line["request"], line

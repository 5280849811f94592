from __future__ import annotations

import anyio
from behave import given, then, when

from hickorybeam.clock import SystemClock
from hickorybeam.platform import decode_runs
from hickorybeam.untrusted import InvalidBytesError

EVENT_EVERY_MS = 200
WAIT_MS = 6_000
EVENTS = 6


@given("streams take {ms:d} ms to their first event")
def step_slow_start(context, ms):
    rig = context.rig
    for server in rig.servers.values():
        server.work_ms, server.event_every_ms = ms, EVENT_EVERY_MS
    for route in rig.config["routes"]:
        route["timeout-ms"] = WAIT_MS
    rig.config["version"] += 1
    rig.configure()
    context.call(rig.settled)


@given("servers report {what}")
def step_report(context, what):
    for server in context.rig.servers.values():
        match what.split():
            case ["what", "they", "ran", ms, "ms", "ago"]:
                server.report_age_ms = int(ms)
            case ["no", "runs"]:
                server.report_age_ms = None
            case ["what", "breaks", "off"]:
                server.broken_reports = True
            case _:
                server.silent_reports = True


@when("the server of a stream {harm}")
def step_harm_stream(context, harm):
    ask(context, harm, "/plan/x", method="POST", body=b"{}", tokens=b"50,10")


@when("the server of a lookup {harm}")
def step_harm_lookup(context, harm):
    for server in context.rig.servers.values():
        server.work_ms = 1_200
    ask(context, harm, "/look/x")


def ask(context, harm, path, **options):
    rig = context.rig

    if harm in ("closes its end and works on", "sends bytes that are no response, and works on"):
        for server in rig.servers.values():
            server.keeps_runs = True

    async def run():
        async with anyio.create_task_group() as tg:
            tg.start_soon(answer)
            await rig.until(lambda: any(it.spans for it in rig.servers.values()))
            first = next(it for it in rig.servers.values() if it.spans)
            # Only the first one is harmed.
            for server in rig.servers.values():
                server.work_ms = 1 if server is not first else server.work_ms
            apply_harm(first, harm)

    async def answer():
        began_ms = SystemClock().now()
        context.answer = await rig.call("n1", path, wait_ms=WAIT_MS, **options)
        context.took_ms = SystemClock().now() - began_ms

    context.call(run)


def apply_harm(server, harm):
    match harm:
        case "can't be reached any more, and works on":
            # Its entry doesn't lapse, and it doesn't start again.
            server.crash.lapse_ms = 2 * WAIT_MS
            server.process.fall_silent()
        case "ends":
            server.process.end()
        case "hangs until its caller leaves" | "closes its end and works on":
            pass
        case "sends bytes that are no response" | "sends bytes that are no response, and works on":
            for conn in server.process._server.conns:
                conn.write(b"no response\r\n\r\n")


@then("its caller gets {what}, and servers ran it {runs:d} times")
def step_caller_gets(context, what, runs):
    answer = context.answer
    context.spans = [it for server in context.rig.servers.values() for it in server.spans]
    assert len(context.spans) == runs, context.spans
    if what == "the whole stream":
        assert answer.status == 200 and answer.whole, answer.status
        assert answer.body.count(b"id: ") == EVENTS, answer.body
    else:
        assert answer.status in (502, 504) and context.took_ms < 3_000, (
            answer.status,
            context.took_ms,
        )


@then("no two of its runs are there at once for more than {limit:d} ms")
def step_no_overlap(context, limit):
    one, *others = sorted(context.spans, key=lambda it: it.began_ms)
    for other in others:
        end_ms = min(it.ended_ms or SystemClock().now() for it in (one, other))
        assert end_ms - other.began_ms <= limit, context.spans


@then("its caller gets the answer within {limit:d} ms")
def step_lookup_answer(context, limit):
    assert context.answer.status == 200, context.answer.status
    assert context.took_ms < limit, context.took_ms


@then("the report {report} tells {runs}")
def step_report_tells(context, report, runs):
    expected = {
        "nothing": None,
        "no runs": frozenset(),
        "runs a, b": frozenset({"a", "b"}),
        "too little to read": InvalidBytesError,
    }
    try:
        found = decode_runs(report.encode())
    except InvalidBytesError:
        found = InvalidBytesError
    assert found == expected[runs], found

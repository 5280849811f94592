from __future__ import annotations

from dataclasses import replace

import anyio
from behave import given, then, when

from hickorybeam.loadgen import (
    Arrival,
    Outcome,
    Plan,
    Stream,
    arrivals,
    make_report,
    send_arrivals,
)
from support.raw_server import serve_bytes


@given('a load plan with accounts "{accounts}" for {seconds:d} s')
def step_plan(context, accounts, seconds):
    streams = []
    for item in accounts.split(", "):
        name, _, per_s = item.partition(" at ")
        rate = float(per_s.removesuffix("/s"))
        streams.append(Stream(account=name, key=name, urls=("u1", "u2"), per_s=rate))
    context.plan = Plan(model="m", streams=tuple(streams), duration_ms=seconds * 1000)


def arrivals_of(plan, account):
    return [item for item in arrivals(plan) if item.account == account]


@then("the load plan drawn twice is the same")
def step_same(context):
    assert arrivals(context.plan) == arrivals(context.plan)


@then('raising "{account}" to {rate:d} per second leaves the arrivals of "{other}" unchanged')
def step_rate(context, account, rate, other):
    streams = tuple(
        replace(s, per_s=rate) if s.account == account else s for s in context.plan.streams
    )
    raised = replace(context.plan, streams=streams)
    assert arrivals_of(raised, other) == arrivals_of(context.plan, other)
    assert len(arrivals_of(raised, account)) > len(arrivals_of(context.plan, account))


@then('the arrivals of "{account}" are within {share:d}% of {count:d}')
def step_count(context, account, share, count):
    assert abs(len(arrivals_of(context.plan, account)) - count) <= count * share / 100


@given("load outcomes")
def step_outcomes(context):
    context.outcomes = [
        Outcome(
            account=row["account"],
            long=False,
            code=row["code"],
            region=row["region"],
            first_ms=float(row["first_ms"]),
            tokens=int(row["tokens"]),
        )
        for row in context.table
    ]


def parse_pairs(text):
    return dict(item.split("=") for item in text.split(", "))


@when('the load report is made with homes "{homes}" and costs "{costs}"')
def step_report(context, homes, costs):
    prices = {name: float(value) for name, value in parse_pairs(costs).items()}
    context.report = make_report(context.outcomes, homes=parse_pairs(homes), costs=prices)


@then('the load report shows worst account "{account}" at {share:g}')
def step_worst(context, account, share):
    worst = context.report.worst_account
    assert (worst.account, round(worst.answered_share, 3)) == (account, share), worst


@then("the load report shows elsewhere {share:g} and cost {cost:g}")
def step_cost(context, share, cost):
    report = context.report
    assert (round(report.elsewhere, 3), round(report.cost, 4)) == (share, cost), report


@then('the load report shows that account "{account}" was refused "{code}" {count:d} time')
def step_refused(context, account, code, count):
    row = next(row for row in context.report.rows if row.account == account)
    assert row.refused == {code: count}, row


@then('the load report shows that the first token of "{account}" at 95 in 100 took {ms:d} ms')
def step_first(context, account, ms):
    row = next(row for row in context.report.rows if row.account == account)
    assert abs(row.first_p95 - ms) < 1, row


@given(
    'a server answers the load with {status:d} and the body "{body}" in chunks of {size:d} bytes'
)
def step_server(context, status, body, size):
    data = body.replace("\\n", "\n").replace("\\r", "\r").encode()
    parts = [data[at : at + size] for at in range(0, len(data), size)]
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)
    head = b"HTTP/1.1 %d X\r\ntransfer-encoding: chunked\r\n\r\n" % status
    context.answer = head + chunks + b"0\r\n\r\n"


@when("the load sends it one request")
def step_send(context):
    async def send():
        async with anyio.create_task_group() as tg:
            port = await serve_bytes(tg, context.answer)
            arrival = Arrival(
                at_ms=0,
                account="a",
                key="k",
                url=f"http://127.0.0.1:{port}",
                prompt="p",
                max_tokens=2,
                long=False,
            )
            context.outcomes = await send_arrivals("m", [arrival])
            tg.cancel_scope.cancel()

    context.call(send)


@then('the load\'s outcome has code "" and {tokens:d} tokens')
@then('the load\'s outcome has code "{code}" and {tokens:d} tokens')
def step_outcome(context, tokens, code=""):
    (outcome,) = context.outcomes
    assert (outcome.code, outcome.tokens) == (code, tokens), outcome

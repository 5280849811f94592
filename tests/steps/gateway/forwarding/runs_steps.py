from __future__ import annotations

import re
import socket
from functools import partial
from itertools import pairwise
from types import SimpleNamespace

import anyio
from behave import given, then, when

from hickorybeam.clock import ManualClock, SystemClock
from hickorybeam.gateway.forwarding.forwarded_runs import ForwardedRuns
from hickorybeam.gateway.forwarding.run_cancels import RemoteRun, RunCancels
from hickorybeam.gateway.forwarding.run_messages import (
    CancelRun,
    CheckRun,
    RunEnded,
    RunTrace,
)
from hickorybeam.gateway.runs.server_reports import RunState
from hickorybeam.gateway.runs.settlement import RunSettlement
from hickorybeam.http1 import BrokenResponseError
from hickorybeam.model.routing import Repeat
from hickorybeam.platform import names
from hickorybeam.standins.links import CALM, LinkHarm
from hickorybeam.standins.server import RunSpan
from hickorybeam.telemetry import Counters
from support.gateway import executed_requests
from support.linked_gateway import NORTH, SECOND, SOUTH, linked_gateway, spans_of

# The first event comes late, so that the first-byte timeout passes before it.
WORK_MS, EVENT_EVERY_MS = 1_200, 200
LONG_EVENT_MS = 600
WAIT_MS = 6_000
SILENT = LinkHarm(silent=True)
ALL_EVENTS = [1, 2, 3, 4, 5, 6]


@given("two regions whose streams begin in the south, linked by what can be harmed")
def step_linked(context):
    manager = linked_gateway()
    context.rig = context.stack.enter_context(context.portal.wrap_async_context_manager(manager))
    server = context.rig.servers["m9"]
    server.work_ms, server.event_every_ms = WORK_MS, EVENT_EVERY_MS


@given("the way to the north takes {ms:d} ms, and the first event of a stream {first_ms:d} ms")
def step_slow_way(context, ms, first_ms):
    async def apply():
        context.rig.links.way(SOUTH, NORTH).apply(LinkHarm(delay_ms=ms))

    context.call(apply)
    context.rig.servers["m9"].work_ms = first_ms


@when("a stream runs in the south, a server starts in the north and the links {harm}")
def step_run_and_harm(context, harm):
    rig = context.rig
    south = rig.servers["m9"]
    answered = {}

    async def ask():
        began_ms = SystemClock().now()
        answered["answer"] = await rig.call(
            NORTH, "/plan/x", method="POST", body=b"{}", wait_ms=WAIT_MS, tokens=b"50,10"
        )
        answered["took_ms"] = SystemClock().now() - began_ms

    async def run():
        async with anyio.create_task_group() as tg:
            tg.start_soon(ask)
            await rig.until(lambda: bool(south.spans))
            if harm.startswith("cut its server off"):
                south.crash.lapse_ms = 2 * WAIT_MS
                south.process.fall_silent()
            await apply_harm(rig.links, harm.removeprefix("cut its server off and "))
            rig.servers["m1"].register()
        await rig.until(lambda: all(it.ended_ms for it in south.spans))

    context.call(run)
    context.answer, context.took_ms = answered["answer"], answered["took_ms"]
    context.spans = spans_of(rig, south.spans[0].request_id)


@given("two regions whose streams begin in the south, where two VMs are")
def step_two_southern(context):
    manager = linked_gateway(second=True)
    context.rig = context.stack.enter_context(context.portal.wrap_async_context_manager(manager))
    context.rig.servers["m9"].event_every_ms = EVENT_EVERY_MS


def set_dropping(server, what):
    server.keeps_runs = what == "works on"
    if server.keeps_runs:
        # Its run outlasts all waits.
        server.event_every_ms = LONG_EVENT_MS


@when(
    "a stream has begun in the south, a server starts in the north, and its VM is killed"
    " while its server {does}"
)
def step_run_and_kill(context, does):
    rig = context.rig
    south = rig.servers["m9"]
    set_dropping(south, does)

    async def ask():
        context.answer = await rig.call(
            NORTH, "/plan/x", method="POST", body=b"{}", wait_ms=WAIT_MS, tokens=b"50,10"
        )

    async def run():
        async with anyio.create_task_group() as tg:
            tg.start_soon(ask)
            await rig.until(lambda: bool(south.spans))
            await anyio.sleep(2.5 * south.event_every_ms / 1_000)
            rig.servers["m1"].register()
            southern = [rig.vms[it] for it in (SOUTH, SECOND)]
            next(it for it in southern if it.relay._handler._runs.forwarded._open).kill()

    context.call(run)
    context.spans = spans_of(rig, south.spans[0].request_id)


@when("a stream breaks off that a VM of another region runs, {how}")
def step_breaks_off(context, how):
    context.fleet.region_vms = lambda region: [SimpleNamespace(name=it) for it in ("s1", "s2")]
    run = RemoteRun("a", "s1", ("127.0.0.1", 1), region="south", request_id="feed", service="model")
    attempt = SimpleNamespace(
        run=run, closed_by_peer=how == "as that VM closed it", close=lambda: None
    )
    request = SimpleNamespace(route=SimpleNamespace(repeat=Repeat.STREAM))
    progress = SimpleNamespace(response=SimpleNamespace(started=False), reason="", runs_on=False)
    settlement = RunSettlement(context.cancels, server_reports=None)
    exc = BrokenResponseError("connection closed")
    context.call(settlement.settle, attempt, exc, request, progress)
    assert progress.runs_on


@when("{count:d} streams break off that a VM of a region of {vms:d} runs")
def step_many_break_off(context, count, vms):
    region = [SimpleNamespace(name=f"s{it}") for it in range(vms)]
    context.fleet.region_vms = lambda name: region

    async def settle_all():
        async with anyio.create_task_group() as tg:
            for number in range(count):
                run = RemoteRun(f"run-{number}", "s1", ("127.0.0.1", 1), request_id="feed")
                tg.start_soon(partial(context.cancels.settle, run, was_closed=True))

    context.call(settle_all)


@then("{count:d} other VMs of that region are asked of them")
def step_few_asked(context, count):
    asked = {vm for vm, it in context.fleet.sent if isinstance(it, CheckRun)}
    assert len(asked) == count and "s1" not in asked, asked


@then("another VM of that region {is_asked} asked of its run")
def step_is_asked(context, is_asked):
    asked = {vm for vm, it in context.fleet.sent if isinstance(it, CheckRun)}
    assert asked == ({"s2"} if is_asked == "is" else set()), asked


@when("a run that the southern VM doesn't know has just begun there, and is cancelled")
def step_young_cancelled(context):
    step_unknown_cancelled(context, "works on", began_ms_ago=0)


@given("the southern VM {knows} its servers")
def step_servers_known(context, knows):
    if knows == "does not yet know":
        routing_state = context.rig.vms[SOUTH].routing_state
        context.call(lambda: routing_state.remove_server("m9", SystemClock().now()))


@when("a run that the southern VM doesn't know is cancelled there while its server {does}")
def step_unknown_cancelled(context, does, *, began_ms_ago=WAIT_MS):
    rig = context.rig
    south = rig.servers["m9"]
    set_dropping(south, does)
    cancels = rig.vms[NORTH].relay._handler._runs.cancels
    peer = rig.vms[NORTH].fleet.peers.by_name[SOUTH].vm
    span = RunSpan("feed", "m9", SystemClock().now() - began_ms_ago)
    if does == "works on":
        south.spans.append(span)
    run = RemoteRun(
        "a",
        SOUTH,
        (peer.host, peer.peer_port),
        request_id="feed",
        service="model",
    )

    async def settle():
        context.ended = await cancels.settle(run)

    context.call(settle)


@when("the server of a run breaks it off and {does}, and the run is cancelled 100 ms later")
def step_cancelled_while_settled(context, does):
    step_known_cancelled(context, does, breaks_off=True)


@when("a run that the southern VM has is cancelled there while its server {does}")
def step_known_cancelled(context, does, *, breaks_off=False):
    rig = context.rig
    south = rig.servers["m9"]
    set_dropping(south, does)
    cancels = rig.vms[NORTH].relay._handler._runs.cancels
    peer = rig.vms[NORTH].fleet.peers.by_name[SOUTH].vm
    runs = rig.vms[SOUTH].relay._handler._runs.forwarded._open

    async def run():
        async with anyio.create_task_group() as tg:
            tg.start_soon(
                partial(rig.call, NORTH, "/plan/x", method="POST", wait_ms=WAIT_MS, tokens=b"5,1")
            )
            await rig.until(lambda: bool(south.spans))
            span = south.spans[0]
            named = RemoteRun(
                next(iter(runs)),
                SOUTH,
                (peer.host, peer.peer_port),
                request_id=span.request_id,
                service="model",
            )
            if breaks_off:
                for conn in south.process._server.conns:
                    conn.write(b"no response\r\n\r\n")
                await anyio.sleep(0.1)
            context.ended = await cancels.settle(named)
            tg.cancel_scope.cancel()

    context.call(run)


@when('it is asked of another VM\'s run "{name}", and reports of its servers tell "{states}"')
def step_asked_to_witness(context, name, states):
    context.runs._bear_witness(
        CheckRun("n1", name, RunTrace("feed", "model")),
        [RunState(it) for it in states.split()],
    )


@when('it is asked of another VM\'s run "{name}", and reports of its servers tell ""')
def step_asked_without_servers(context, name):
    step_asked_to_witness(context, name, "")


@then('it {tells} that run "{name}" has ended')
def step_tells_run_ended(context, tells, name):
    told = [it for _, it in context.fleet.sent]
    assert told == ([RunEnded(name, begun=True)] if tells == "says" else []), told


@then("it {tells} that the run has ended")
def step_tells_ended(context, tells):
    assert (context.ended is not None) == (tells == "says"), context.ended


async def apply_harm(links, harm):
    match harm:
        case "forget their connections":
            for link in links.by_pair.values():
                link.forget()
        case "reset their connections":
            for link in links.by_pair.values():
                link.reset()
        case "fall silent":
            links.way(NORTH, SOUTH).apply(SILENT)
            links.way(SOUTH, NORTH).apply(SILENT)
        case "fall silent towards the south":
            links.way(NORTH, SOUTH).apply(SILENT)
        case "fall silent towards the north":
            links.way(SOUTH, NORTH).apply(SILENT)
        case "fall silent for 300 ms":
            links.way(NORTH, SOUTH).apply(SILENT)
            links.way(SOUTH, NORTH).apply(SILENT)
            await anyio.sleep(0.3)
            links.way(NORTH, SOUTH).apply(CALM)
            links.way(SOUTH, NORTH).apply(CALM)


@then("no two runs of it overlap by more than {limit:d} ms")
def step_no_overlap(context, limit):
    for one, other in pairwise(context.spans):
        overlap_ms = min(one.ended_ms, other.ended_ms or SystemClock().now()) - other.began_ms
        assert overlap_ms <= limit, context.spans


@then("its caller gets {what} after {runs}")
def step_caller_gets(context, what, runs):
    assert len(context.spans) in [int(it) for it in runs.split(" or ")], context.spans
    answer = context.answer
    events = [int(it[4:]) for it in answer.body.split(b"\n") if it.startswith(b"id: ")]
    if what == "the whole stream":
        assert answer.status == 200 and answer.whole and events == ALL_EVENTS, (
            answer.status,
            events,
        )
    elif what == "some events":
        assert not answer.whole and events == ALL_EVENTS[: len(events)], (answer.status, events)
    else:
        # It may have run, so nothing may promise that it has not.
        assert answer.status in (0, 502, 504) and not events, (answer.status, events)


@given("two regions whose orders wait in the south, linked by what can be harmed")
def step_linked_orders(context):
    async def wait(request, targets):
        await anyio.sleep_forever()

    manager = linked_gateway(service="books")
    context.rig = context.stack.enter_context(context.portal.wrap_async_context_manager(manager))
    context.rig.vms[SOUTH].relay._handler._local_placement.place = wait


def logged_sends(vm):
    """Return a list that gets the sends of each request whose line a VM logs."""
    log, found = vm.relay._handler._final_responses._log, []
    write = log.write

    def keep(event, **fields):
        if event == "sends":
            found.append(fields["sends"])
        write(event, **fields)

    log.write = keep
    return found


@given("the southern VM answers as a server that did not run them")
def step_answers_as_server(context):
    handler = context.rig.vms[SOUTH].relay._handler

    async def answer(request, response, run_name):
        request_id = request.call.request_id.encode()
        response.send(503, ((names.REQUEST_ID, request_id), (names.NOT_RUN, b"1")))

    handler.handle_forwarded = answer


@then("the answer promises nothing")
def step_promises_nothing(context):
    assert [it.status for it in context.replies] == [502], context.replies


@then('the log tells that the first send was not run by the word of "{vm}"')
def step_ground_logged(context, vm):
    told = rf"by vm on port \d+, request \d+: {vm} had not begun it"
    assert re.search(told, context.sends[0][0]), context.sends


@when("an order waits in the south, a server starts in the north and the links {harm}")
def step_order_waits(context, harm):
    rig = context.rig
    context.replies = []
    context.sends = logged_sends(rig.vms[NORTH])

    async def order():
        reply = await rig.call(NORTH, "/order/x", method="POST", body=b"{}", wait_ms=WAIT_MS)
        context.replies.append(reply)

    async def run():
        async with anyio.create_task_group() as tg:
            tg.start_soon(order)
            await rig.until(lambda: bool(rig.vms[SOUTH].relay._handler._runs.forwarded._open))
            rig.servers["m1"].register()
            await rig.until(lambda: "m1" in rig.vms[NORTH].routing_state.server_states)
            await apply_harm(rig.links, harm)

    context.call(run)


@given("two regions whose lookups begin in the south, linked by what can be harmed")
def step_linked_lookups(context):
    manager = linked_gateway(service="books")
    context.rig = context.stack.enter_context(context.portal.wrap_async_context_manager(manager))
    context.rig.servers["m9"].work_ms = WORK_MS


@when("a lookup runs in the south, a server starts in the north and the links {harm}")
def step_lookup(context, harm):
    rig = context.rig

    async def look():
        began_ms = SystemClock().now()
        context.answer = await rig.call(NORTH, "/look/x", wait_ms=WAIT_MS)
        context.took_ms = SystemClock().now() - began_ms

    async def run():
        async with anyio.create_task_group() as tg:
            tg.start_soon(look)
            await rig.until(lambda: rig.servers["m9"].running == 1)
            await apply_harm(rig.links, harm)
            rig.servers["m1"].register()

    context.call(run)


@then("its caller gets its answer within {limit:d} ms")
def step_lookup_answered(context, limit):
    assert context.answer.status == 200, context.answer.status
    assert context.took_ms < limit, context.took_ms


@then("the order that waited was run in the north")
def step_waited_north(context):
    assert len(context.rig.servers["m1"].ran) == 1, context.rig.servers["m1"].ran


@when(
    "the caller of a stream that runs in the south leaves after the links forget their connections"
)
def step_caller_leaves(context):
    rig = context.rig
    south = rig.servers["m9"]

    async def run():
        async with anyio.create_task_group() as tg:
            tg.start_soon(
                partial(
                    rig.call,
                    NORTH,
                    "/plan/x",
                    method="POST",
                    body=b"{}",
                    wait_ms=WAIT_MS,
                    tokens=b"50,10",
                )
            )
            await rig.until(lambda: bool(south.spans))
            await apply_harm(rig.links, "forget their connections")
            tg.cancel_scope.cancel()
        context.left_ms = SystemClock().now()
        await rig.until(lambda: bool(south.spans[0].ended_ms))

    context.call(run)


@then("the run has ended within {limit:d} ms")
def step_run_ended(context, limit):
    ended_ms = context.rig.servers["m9"].spans[0].ended_ms
    assert ended_ms - context.left_ms <= limit, (ended_ms, context.left_ms)


@given("connections to every server have carried requests")
def step_used_connections(context):
    async def use():
        rig = context.rig
        while not all(it.ran for it in rig.servers.values() if it.service == "books"):
            async with anyio.create_task_group() as tg:
                for _ in range(4):
                    tg.start_soon(rig.call, "n1", "/look/x")

    context.call(use)
    context.ran_before = {it.request_id for it in executed_requests(context.rig)}


@then("one server ran it")
def step_one_ran(context):
    ran = [it.request_id for it in executed_requests(context.rig)]
    assert len([it for it in ran if it not in context.ran_before]) == 1, ran


@then("its caller has its answer within {limit:d} ms")
def step_answered_within(context, limit):
    assert context.took_ms < limit, context.took_ms


@when('a VM connects to the peers\' port of "{name}"')
def step_connect_peer(context, name):
    async def connect():
        port = context.rig.vms[name].ports.peers
        stream = await anyio.connect_tcp("127.0.0.1", port)
        server = context.rig.vms[name].relay._servers[1]
        await context.rig.until(lambda: bool(server.conns))
        context.accepted = [
            it._transport.get_extra_info("socket") for it in server.conns if it._transport
        ]
        context.options = [
            (
                it.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE),
                it.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
            )
            for it in context.accepted
        ]
        await stream.aclose()

    context.call(connect)


@then('that connection ends at "{name}" when it falls silent')
def step_ends_if_silent(context, name):
    for keeps_alive, unacked_ms in context.options:
        assert keeps_alive and 0 < unacked_ms <= 3_000, context.options


@given(
    'every server of "{service}" sends the header "{header}" of value "{value}"'
    " with status {status:d}"
)
def step_odd_header(context, service, header, value, status):
    for server in context.rig.servers.values():
        if server.service == service:
            server.odd_headers = ((header.encode(), value.encode()),)
            server.faults.errors = 100 if status == 500 else 0


@given('servers of "{service}" are in {where}')
def step_servers_where(context, service, where):
    async def withdraw():
        rig = context.rig
        for name, server in list(rig.servers.items()):
            is_south = server.data_centre.startswith("south")
            if server.service == service and is_south != (where == "the south"):
                server.withdraw()
                rig.servers.pop(name)
                context.withdrawn = [*getattr(context, "withdrawn", []), server]
        gone = {it.id for it in context.withdrawn}
        await rig.until(
            lambda: all(gone.isdisjoint(vm.routing_state.server_states) for vm in rig.vms.values())
        )
        await rig.settled()

    context.call(withdraw)


@when('{count:d} callers send an order to "{vm}"')
def step_orders(context, count, vm):
    async def order():
        context.replies.append(
            await context.rig.call(vm, "/order/x", method="POST", body=b"{}", wait_ms=WAIT_MS)
        )

    async def run():
        async with anyio.create_task_group() as tg:
            for _ in range(count):
                tg.start_soon(order)

    context.replies = []
    context.call(run)


@then("each order runs once")
def step_orders_once(context):
    ran = [it.request_id for server in context.rig.servers.values() for it in server.ran]
    assert len(ran) == len(set(ran)) == len(context.replies), ran


@then("every answer has status {status:d} and no header of VMs")
def step_status_no_header(context, status):
    for reply in context.replies:
        assert reply.status == status, reply.status
        assert not [it for it in reply.headers if it.startswith(b"hop-")], reply.headers


@then("no answer promises that its order was not run")
def step_no_promise(context):
    statuses = [it.status for it in context.replies]
    assert not {408, 421, 429, 503} & set(statuses), statuses


class Fleet:
    """Records the messages that are sent."""

    def __init__(self):
        self.sent = []
        self.own_vm = SimpleNamespace(name="n1", incarnation="1a")

    def send_message(self, vm, message):
        self.sent.append((vm, message))

    def send_to(self, address, message):
        self.sent.append((address, message))


class Log:
    def write(self, event, **fields):
        pass


@given("a VM that other regions' VMs ask for runs")
def step_runner(context):
    context.fleet, context.clock = Fleet(), ManualClock()
    context.runs = ForwardedRuns(
        region_check=None, clock=context.clock, counters=Counters(), fleet=context.fleet, log=Log()
    )


def cancel(context, name):
    context.runs.handle_cancel(CancelRun("n1", name))


@when('a run "{name}" waits there and is cancelled')
def step_waits(context, name):
    with context.runs.open(name) as run:
        run.on_cancel(lambda: None)
        cancel(context, name)
        run.begun = False


@when('a run "{name}" is at a server and is cancelled')
def step_at_server(context, name):
    cancelled = []
    with context.runs.open(name) as run:
        run.on_cancel(lambda: cancelled.append(name))
        cancel(context, name)
        cancel(context, name)
        assert cancelled == [name], cancelled
        context.early = list(context.fleet.sent)


@then("nothing is told before it has ended")
def step_nothing_early(context):
    assert not context.early, context.early


@then('its VM is told that "{name}" has ended and {began}')
def step_told(context, name, began):
    assert context.fleet.sent == [("n1", RunEnded(name, began == "may have begun"))], (
        context.fleet.sent
    )


@when('a run "{name}" is cancelled before it arrives')
def step_cancelled_early(context, name):
    context.fleet.sent.clear()
    cancel(context, name)


@when("{count:d} runs are cancelled before they arrive")
def step_many_cancelled(context, count):
    for number in range(count):
        cancel(context, f"of-many-{number}")


@then('"{name}" is not run when it arrives after {ms:d} ms')
def step_not_run_late(context, name, ms):
    context.call(context.clock.advance, ms)
    with context.runs.open(name) as run:
        assert run is None


@then('its VM is told nothing of "{name}"')
def step_told_nothing(context, name):
    assert not context.fleet.sent, context.fleet.sent


@then("after {ms:d} ms it is told again")
def step_told_again(context, ms):
    context.call(context.clock.advance, ms)
    cancel(context, "a")
    assert len(context.fleet.sent) == 1, context.fleet.sent


@when('a run "{name}" is broken off by its server, and is cancelled after that')
def step_broken_then_cancelled(context, name):
    with context.runs.open(name) as run:
        run.broke_off = True
    context.runs.handle_cancel(CancelRun("n1", name, trace=RunTrace("feed", "model")))


@given("a VM that asks others for runs")
def step_asking(context):
    context.fleet = Fleet()
    context.cancels = RunCancels(
        clock=SystemClock(), counters=Counters(), fleet=context.fleet, log=Log()
    )
    names = {context.cancels.new_name() for _ in range(100)}
    assert len(names) == 100, names


@when("it settles a run that is answered after {count:d} cancels")
def step_settles_answered(context, count):
    fleet, cancels = context.fleet, context.cancels

    def answer_last(address, message):
        fleet.sent.append((address, message))
        if len(fleet.sent) == count:
            cancels.handle_word(RunEnded(message.run, begun=True))

    fleet.send_to = answer_last
    context.ended = context.call(cancels.settle, RemoteRun("r", "s1", ("127.0.0.1", 1)))


@then("it has the other VM's word")
def step_has_word(context):
    assert context.ended == RunEnded("r", begun=True), context.ended


@when("it settles a run that is never answered")
def step_settles_unanswered(context):
    context.fleet.send_to = lambda address, message: None
    began_ms = SystemClock().now()
    context.ended = context.call(context.cancels.settle, RemoteRun("q", "s1", ("127.0.0.1", 1)))
    context.took_ms = SystemClock().now() - began_ms


@then("it has no word after {ms:d} ms, and keeps nothing of the run")
def step_no_word(context, ms):
    assert context.ended is None
    assert context.took_ms >= ms, context.took_ms
    assert not context.cancels._questions

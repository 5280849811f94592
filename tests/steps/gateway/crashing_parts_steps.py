from __future__ import annotations

import itertools
import socket
import time
from dataclasses import dataclass

import anyio
import anyio.lowlevel
from behave import given, then, when

from hickorybeam.gateway.crashes.open_requests import ServerEnd
from hickorybeam.gateway.crashes.part_blocks import PartBlocksService
from hickorybeam.http1 import ConnectFailedError, find_header
from hickorybeam.http1.head import request_bytes
from hickorybeam.platform import names
from hickorybeam.platform.requests import decode_parts
from hickorybeam.policy import block_trials
from hickorybeam.ports import PART_BLOCKS
from hickorybeam.standins.crashes import CrashPoint, CrashSwitch
from hickorybeam.standins.deployment import caller_headers
from steps.gateway.gateway_steps import BODY, split_names
from steps.gateway.stream_versions_steps import end, refusals_at

WAIT_MS = 2_000
# The first part of all prompts.
SHARED = "5c1e"
BAD_EVERY_S = 0.3
SOUND_EVERY_S = 0.05
# A refusal that waits for nothing.
AT_ONCE_MS = 150


@dataclass
class Sent:
    """A prompt that a caller sent, and its answer."""

    at: float
    bad: bool
    answer: object = None
    took_ms: float = 0.0


@given('model servers crash {point} under part "{parts}"')
@given('model servers crash {point} under parts "{parts}"')
def step_crash_under(context, point, parts):
    for server in context.rig.servers.values():
        server.crash = CrashSwitch(frozenset(split_names(parts)), CrashPoint(point))
    prepare(context)


def prepare(context):
    context.path = getattr(context, "path", b"/chat/x")
    context.prompts = getattr(context, "prompts", [])
    context.own = getattr(context, "own", itertools.count(1))


@given('prompts go to route "{route}"')
def step_route(context, route):
    context.path = f"/{route}/x".encode()


async def ask(context, vm, parts, *, bad=False):
    """Send a prompt of some parts and one of its own, and note its answer."""
    number = next(context.own)
    listed = ",".join(f"{part}:20" for part in (*parts, f"{number:08x}"))
    headers = (
        *caller_headers(f"{number:016x}", key="small", wait_ms=WAIT_MS, tokens=b"60,10"),
        (names.PREFIX, listed.encode()),
    )
    sent = Sent(time.monotonic(), bad)
    context.prompts.append(sent)
    port = context.rig.vms[vm].ports.callers
    try:
        sent.answer = await context.rig.exchange(
            port, request_bytes("POST", context.path, headers, BODY)
        )
    except ConnectFailedError:
        return
    sent.took_ms = (time.monotonic() - sent.at) * 1000


@when('a prompt of parts "{parts}" is sent to "{vm}"')
def step_one_prompt(context, parts, vm):
    context.call(ask, context, vm, split_names(parts))


@when('{count:d} prompts of parts "{parts}" are sent to "{vm}"')
def step_some_prompts(context, count, parts, vm):
    prepare(context)
    for _ in range(count):
        context.call(ask, context, vm, split_names(parts))


@when('{count:d} prompts of parts "{parts}" are sent at once to "{vm}"')
def step_prompts_at_once(context, count, parts, vm):
    prepare(context)
    ends = context.rig.vms[vm].relay._handler._server_ends

    async def refused(server_state, look):
        return ServerEnd.ENDED

    # What is left open has to tell; the answer of a new connection would.
    ends._connect = refused

    async def run():
        async with anyio.create_task_group() as tg:
            for _ in range(count):
                tg.start_soon(ask, context, vm, split_names(parts))

    context.call(run)


@when('{count:d} prompts with part "{part}" come to "{vm}"')
def step_some_bad(context, count, part, vm):
    async def run():
        for _ in range(count):
            await ask(context, vm, (SHARED, *split_names(part)), bad=True)
            await anyio.sleep(BAD_EVERY_S)

    context.call(run)


async def send_bad(context, vms, parts):
    asked = zip(itertools.cycle(vms), itertools.cycle(parts), strict=False)
    async with anyio.create_task_group() as tg:
        for vm, part in asked:

            async def one(vm=vm, part=part):
                await ask(context, vm, (SHARED, part), bad=True)

            tg.start_soon(one)
            await anyio.sleep(BAD_EVERY_S / len(parts))


async def send_sound(context, vms):
    async with anyio.create_task_group() as tg:
        for number, vm in enumerate(itertools.cycle(vms)):
            tg.start_soon(ask, context, vm, (SHARED, f"b{number % 4}"))
            await anyio.sleep(SOUND_EVERY_S)


@when('prompts with part "{parts}" come to "{vms}" for {seconds:g} s, and sound ones beside them')
@when(
    'prompts with parts "{parts}" in turn come to "{vms}" for {seconds:g} s,'
    " and sound ones beside them"
)
def step_bad_and_sound(context, parts, vms, seconds):
    vms, parts = split_names(vms), split_names(parts)

    async def run():
        with anyio.move_on_after(seconds):
            async with anyio.create_task_group() as tg:
                tg.start_soon(send_bad, context, vms, parts)
                tg.start_soon(send_sound, context, vms)
        context.ended_at = time.monotonic()

    context.call(run)


@when('sound prompts come to "{vms}" for {seconds:g} s')
def step_sound(context, vms, seconds):
    async def run():
        with anyio.move_on_after(seconds):
            await send_sound(context, split_names(vms))
        context.ended_at = time.monotonic()

    context.call(run)


async def end_all(servers):
    """End servers at the same moment, as a loss of power does, a few times."""
    while True:
        await anyio.sleep(1.0)
        for server in servers:
            server.end_process()


async def end_in_turn(servers):
    for server in itertools.cycle(servers):
        await anyio.sleep(0.5)
        server.end_process()


async def end_leaving(servers):
    for server in itertools.cycle(servers):
        server.register(state="draining")
        await anyio.sleep(0.6)
        server.end_process()


ENDS = {"all at once": end_all, "one by one": end_in_turn, "after they leave": end_leaving}


@when('sound prompts come to "{vms}" for {seconds:g} s while servers end {how}')
def step_servers_end(context, vms, seconds, how):
    prepare(context)
    servers = list(context.rig.servers.values())

    async def run():
        async with anyio.create_task_group() as tg:
            tg.start_soon(send_sound, context, split_names(vms))
            with anyio.move_on_after(seconds - 2.5):
                await ENDS[how](servers)
            await anyio.sleep(2.5)
            tg.cancel_scope.cancel()
        context.ended_at = time.monotonic()

    context.call(run)


@when('a prompt of parts "{parts}" runs at "{vm}" while "{name}" leaves and ends')
def step_leaves_and_ends(context, parts, vm, name):
    prepare(context)
    rig = context.rig
    server = rig.servers[name]

    async def run():
        async with anyio.create_task_group() as tg:
            tg.start_soon(ask, context, vm, split_names(parts))
            await anyio.sleep(0.3)
            server.register(state="draining")
            states = rig.vms[vm].routing_state.server_states
            await rig.until(lambda: states[name].server.leaving)
            server.end_process()
        assert not context.prompts[-1].answer.whole
        # The VM looks at a server 25 ms after a response broke off.
        await anyio.sleep(0.3)

    context.call(run)


@given('VM "{name}" hears of no crashes')
def step_hears_nothing(context, name):
    context.rig.vms[name].kernel.find(PART_BLOCKS, PartBlocksService)._merge = lambda told, by: None


@when("nothing is sent for {seconds:g} s")
def step_pause(context, seconds):
    context.call(anyio.sleep, seconds)


@when('VMs "{names}" crash')
def step_vms_crash(context, names):
    for name in split_names(names):
        context.call(end, context.rig.vms.pop(name))


@when('VM "{name}" starts')
def step_vm_starts(context, name):
    rig = context.rig
    seeds = tuple(f"localhost:{vm.ports.state}" for vm in rig.vms.values())
    manager = rig.vm(name, "north-1", seeds=seeds)
    context.stack.enter_context(context.portal.wrap_async_context_manager(manager))
    context.call(rig.until, lambda: rig.vms[name].routing_state.config is not None)


def arrivals_with(context, part):
    """Return when requests with a part reached servers, and when servers crashed under it."""
    arrived, crashed = [], []
    for server in context.rig.servers.values():
        held = [it for it in server.ran if part in parts_of(it)]
        arrived += [it.at_ms for it in held]
        crashed += [it.at_ms for it in held if part in server.crash.parts]
    return sorted(arrived), sorted(crashed)


def parts_of(arrival):
    return [it.id for it in decode_parts(find_header(arrival.headers, names.PREFIX))]


@then('at most {count:d} requests with part "{part}" reached servers after the fifth crash')
def step_at_most(context, count, part):
    arrived, crashed = arrivals_with(context, part)
    assert len(crashed) >= 3, crashed
    more = [at - arrived[0] for at in arrived if len(crashed) >= 5 and at > crashed[4]]
    assert len(more) <= count, f"{len(more)} after the fifth of {len(crashed)} crashes: {more}"


@then('at most {count:d} requests with part "{part}" reached servers')
def step_at_most_in_all(context, count, part):
    arrived, _ = arrivals_with(context, part)
    assert 3 <= len(arrived) <= count, [at - arrived[0] for at in arrived]


@then('"{vm}" has refused prompts as "{kind}"')
def step_vm_refused(context, vm, kind):
    assert refusals_at(context.rig.vms[vm]).get(kind, 0) > 0, refusals_at(context.rig.vms[vm])


@then('"{vm}" suspects no part')
def step_suspects_none(context, vm):
    registry = context.rig.vms[vm].relay._counters.registry
    assert registry.get_sample_value("hickorybeam_parts_suspected") == 0
    sample = {"service": "model", "planned": "yes"}
    assert registry.get_sample_value("hickorybeam_server_ends_total", sample) == 1


@then('the last prompts with part "{part}" were refused at once as "{kind}"')
def step_refused(context, part, kind):
    last = [it for it in context.prompts if it.bad and it.answer is not None][-3:]
    assert [it.answer.status for it in last] == [503] * 3, [it.answer.status for it in last]
    assert all(it.took_ms < AT_ONCE_MS for it in last), [it.took_ms for it in last]
    assert all(it.answer.retry_after for it in last)
    assert sum(refusals_at(vm).get(kind, 0) for vm in context.rig.vms.values()) >= len(last)


@then("the sound prompts of the last {seconds:g} s were answered")
def step_sound_answered(context, seconds):
    since = context.ended_at - seconds
    sound = [it for it in context.prompts if not it.bad and it.at > since and it.answer is not None]
    served = [it for it in sound if it.answer.status == 200 and it.answer.whole]
    # A sound prompt is lost with a server that crashes under another one.
    assert len(served) >= 0.9 * len(sound) > 10, (len(served), len(sound))


@then('"{vm}" has noticed {count:d} server that ended')
@then('"{vm}" has noticed {count:d} servers that ended')
def step_noticed(context, vm, count):
    counters = context.rig.vms[vm].relay._counters

    def ends():
        return counters.registry.get_sample_value(
            "hickorybeam_server_ends_total", {"service": "model", "planned": "no"}
        )

    async def noticed():
        if count:
            await context.rig.until(lambda: ends() == count, limit_s=3)
        else:
            await anyio.sleep(0.3)
        return ends() or 0

    assert context.call(noticed) == count


@then('no prompt was refused as "{kind}"')
def step_none_refused(context, kind):
    found = {name: refusals_at(vm).get(kind, 0) for name, vm in context.rig.vms.items()}
    assert not any(found.values()), found


@then("the last prompt was answered")
def step_last_prompt(context):
    answer = context.prompts[-1].answer
    assert (answer.status, answer.whole) == (200, True), answer.status


RECORDS = "hickorybeam/blocked/"


@given("the first trial of a part is due {seconds:g} s after its last crash")
def step_trial_due(context, seconds):
    due_ms = block_trials.FIRST_TRIAL_AFTER_MS
    block_trials.FIRST_TRIAL_AFTER_MS = round(seconds * 1000)
    context.stack.callback(setattr, block_trials, "FIRST_TRIAL_AFTER_MS", due_ms)


@when("model servers no longer crash")
def step_mended(context):
    for server in context.rig.servers.values():
        server.crash.parts = server.crash.bodies = frozenset()


def record_keys(context):
    store = context.rig.app.stand_in.store
    return [item.key for item in store.read_prefix(RECORDS).items]


@when("the records of blocked parts are deleted")
def step_records_deleted(context):
    async def delete():
        await context.rig.until(lambda: record_keys(context))
        for key in record_keys(context):
            context.rig.app.delete(key)
        await context.rig.until(lambda: blocked_at(context) == set())

    context.call(delete)


def blocked_at(context):
    """Return the VMs that block a part."""
    return {
        name
        for name, vm in context.rig.vms.items()
        if vm.relay._counters.registry.get_sample_value("hickorybeam_parts_blocked")
    }


@then('the last {count:d} prompts with part "{part}" were answered')
def step_last_answered(context, count, part):
    last = [it for it in context.prompts if it.bad and it.answer is not None][-count:]
    found = [(it.answer.status, it.answer.whole) for it in last]
    assert found == [(200, True)] * count, found


@then("no VM has blocked a part")
def step_none_blocked(context):
    context.call(context.rig.until, lambda: not blocked_at(context))


@then("the store holds no record of a blocked part")
def step_no_record(context):
    context.call(context.rig.until, lambda: not record_keys(context))


def take_port(context, port):
    """Take a port as another process does, and return whether it was free."""
    try:
        context.stack.enter_context(socket.create_server(("127.0.0.1", port)))
    except OSError:
        return False
    return True


@when('model server "{name}" crashes and another process takes its port')
def step_port_taken(context, name):
    prepare(context)
    server = context.rig.servers[name]

    async def take():
        server.end_process()
        await context.rig.until(lambda: take_port(context, server.port))
        await context.rig.until(lambda: server.process.is_up)

    context.call(take)


@then('"{vm}" sends prompts to it at its new address')
def step_new_address(context, vm):
    async def served():
        states = context.rig.vms[vm].routing_state.server_states
        await context.rig.until(lambda: "m1.1" in states)
        await ask(context, vm, (SHARED, "b0"))

    context.call(served)
    assert context.prompts[-1].answer.status == 200, context.prompts[-1].answer.status


@when(
    '{count:d} connections to "{name}" are opened'
    " and it crashes {turns:d} turns of the event loop later"
)
def step_open_while_crashing(context, count, name, turns):
    server = context.rig.servers[name]
    address = ("127.0.0.1", server.port)

    async def run():
        opened = []
        for _ in range(count):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(address)
            opened.append(sock)
        for _ in range(turns):
            await anyio.lowlevel.checkpoint()
        server.end_process()
        with socket.socket() as late:
            context.accepted_late = late.connect_ex(address) == 0
        await anyio.sleep(0.2)
        return opened

    context.opened = context.call(run)


@then("no connection to it was accepted after its end")
def step_none_accepted(context):
    assert not context.accepted_late


@then("none of them is open 200 ms later")
def step_none_open(context):
    left = [sock for sock in context.opened if is_open(sock)]
    for sock in context.opened:
        sock.close()
    assert not left, f"{len(left)} of {len(context.opened)}"


def is_open(sock):
    """Return whether a connection is open: it neither failed nor was closed by the other end."""
    try:
        return sock.recv(1) != b""
    except BlockingIOError:
        return True
    except OSError:
        return False

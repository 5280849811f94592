from __future__ import annotations

import re

import anyio
from behave import given, then, when
from bench.crowd import END, MB, Crowd, payloads

from support.crowd import ask, crowded_fleet, exchange, terminate

TRICKLED = b"x" * 6
END_LIMIT_S = 30
SMALL_BODY = b"x" * 2_000
TRIES = 5


def start(context, **size):
    sized = {"memory_mb": 300, "file_descriptors": 4_096, **size}
    manager = context.portal.wrap_async_context_manager(crowded_fleet(**sized))
    context.fleet = context.stack.enter_context(manager)
    context.vm = context.fleet.vms["north-1"]
    context.crowds = []


@given("a VM with {memory:d} MB of memory")
def step_vm(context, memory):
    start(context, memory_mb=memory)


@given("a VM with {memory:d} MB of memory, whose servers have {slots:d} slot and take {ms:d} ms")
def step_vm_slots(context, memory, slots, ms):
    start(context, memory_mb=memory, slots=slots, work_ms=ms)


@given("a VM with {memory:d} MB of memory, whose servers answer {size:d} bytes")
def step_vm_answers(context, memory, size):
    start(context, memory_mb=memory, slots=100, answer_bytes=size)


@given("VMs of two regions with {memory:d} MB of memory, whose servers take {ms:d} ms")
def step_two_vms(context, memory, ms):
    start(context, memory_mb=memory, south=True, work_ms=ms, slots=100)


@given("a VM with {count:d} file descriptors")
def step_vm_files(context, count):
    start(context, file_descriptors=count)


def come(context, count, kind, *, port="callers", path="/order/x", key="small"):
    reads = "reads nothing" not in kind
    trickle = TRICKLED if "now and then" in kind else b""
    crowd = Crowd(
        context.vm.ports[port],
        payloads(kind, count, path=path, key=key),
        reads=reads,
        trickle=trickle,
    )
    context.crowds.append(crowd)
    context.call(crowd.come)


@when("{count:d} clients come at once and each {kind}")
@when("{count:d} client comes and {kind}")
def step_crowd(context, count, kind):
    come(context, count, kind)


@when('{count:d} clients with the key "{key}" come at once and each {kind}')
def step_crowd_key(context, count, key, kind):
    come(context, count, kind, key=key)


@when('{count:d} clients come to the port "{port}" and each {kind}')
def step_crowd_port(context, count, port, kind):
    come(context, count, kind, port=port)


@when('{count:d} clients come at once to "{path}" and each {kind}')
def step_crowd_path(context, count, path, kind):
    come(context, count, kind, path=path)


@when("those that were closed come again, {times:d} times")
def step_again(context, times):
    for _ in range(times):
        crowd = context.crowds[-1].come_again()
        context.crowds.append(crowd)
        context.call(crowd.come)


@when("the VM is told to stop")
def step_stop(context):
    terminate(context.vm)


async def ask_once(vm):
    return (await ask(vm, "/order/x", b"POST", SMALL_BODY))[0]


@then("an ordinary request is answered beside them")
def step_beside(context):
    assert context.vm.process.poll() is None, context.vm.log[-2_000:]
    assert context.call(ask_once, context.vm) == 200, context.vm.log[-4_000:]


async def ask_as_told(vm):
    """Ask, and come back when a refusal says so, as callers do."""
    for _ in range(TRIES):
        status, _, retry_after_s = await ask(vm, "/order/x", b"POST", SMALL_BODY)
        if status != 503:
            break
        await anyio.sleep(retry_after_s)
    return status


@then("an ordinary request is answered after they left, at once or when it may come back")
def step_after_as_told(context):
    for crowd in context.crowds:
        context.portal.call(crowd.leave)
    assert context.call(ask_as_told, context.vm) == 200, context.vm.log[-4_000:]


@then("an ordinary request is answered after they left")
def step_after(context):
    for crowd in context.crowds:
        context.portal.call(crowd.leave)
    assert context.call(ask_once, context.vm) == 200, context.vm.log[-4_000:]


@then("the VM lives and held no more than its memory")
@then("every VM lives and held no more than its memory")
def step_memory(context):
    for name, vm in context.fleet.vms.items():
        vm.sample()
        assert vm.process.poll() is None, vm.log[-2_000:]
        check_memory(name, vm)


def check_memory(name, vm):
    most, limit = vm.most_bytes / MB, vm.memory_mb
    assert most <= limit, f"{name} held {most:.0f} MB of {limit:.0f}"


@then("the VM lives and used no more than {count:d} file descriptors")
def step_files(context, count):
    context.vm.sample()
    assert context.vm.process.poll() is None
    assert context.vm.most_files <= count, context.vm.most_files


@then("the VM held no more than its memory and ends by itself with code {code:d}")
def step_ends(context, code):
    context.call(ended, context.vm)
    assert context.vm.process.poll() == code, context.vm.process.poll()
    check_memory("it", context.vm)


async def ended(vm):
    with anyio.move_on_after(END_LIMIT_S):
        while vm.process.poll() is None:
            await anyio.sleep(0.1)


def statuses(context):
    return [client.status for crowd in context.crowds for client in crowd.clients]


async def answered(context):
    with anyio.move_on_after(END_LIMIT_S):
        while not all(it.status for crowd in context.crowds for it in crowd.clients):
            await anyio.sleep(0.1)


@then("the clients that were answered got {first:d} or {second:d}")
def step_got_one_of(context, first, second):
    found = set(statuses(context)) - {0}
    assert found <= {first, second}, found


@then("all clients got {status:d}")
def step_got(context, status):
    context.call(answered, context)
    assert set(statuses(context)) == {status}, statuses(context)


@when("the clients leave")
def step_leave(context):
    for crowd in context.crowds:
        context.portal.call(crowd.leave)


async def reserved_bytes(vm):
    """Return what a VM has reserved, once that is nothing or after some time."""
    request = b"GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close" + END
    with anyio.move_on_after(END_LIMIT_S):
        while True:
            _, text, _ = await exchange(vm.ports["peers"], request)
            (found,) = re.findall(rb"^hickorybeam_intake_bytes (.*)$", text, re.M)
            if not float(found):
                return 0.0
            await anyio.sleep(0.2)
    return float(found)


@then("nothing is reserved any more")
def step_nothing_reserved(context):
    assert not (found := context.call(reserved_bytes, context.vm)), found

from __future__ import annotations

from behave import given, then, when
from bench.crowd import MB, Crowd

from support.old_crowd import KINDS, ask_old, old_daemon


@given("an older daemon with {memory:d} MB of memory and {files:d} file descriptors")
def step_daemon(context, memory, files):
    manager = context.portal.wrap_async_context_manager(
        old_daemon(memory_mb=memory, file_descriptors=files)
    )
    context.vm = context.stack.enter_context(manager)


@when('{count:d} clients with the key "{key}" come to it at once and each {kind}')
def step_crowd(context, count, key, kind):
    context.crowd = Crowd(context.vm.ports["callers"], [KINDS[kind](key)] * count)
    context.call(context.crowd.come)


@when("{count:d} clients come to its port for other VMs and each sends nothing")
def step_peer_crowd(context, count):
    context.crowd = Crowd(context.vm.ports["peers"], [b""] * count)
    context.call(context.crowd.come)


@then("an ordinary call is answered beside them")
def step_beside(context):
    assert context.vm.process.poll() is None, context.vm.log[-2_000:]
    assert context.call(ask_old, context.vm) == 200, context.vm.log[-2_000:]


@then("an ordinary call is answered after they left")
def step_after(context):
    context.portal.call(context.crowd.leave)
    assert context.call(ask_old, context.vm) == 200, context.vm.log[-2_000:]


@then("the daemon lives and held no more than its memory")
def step_memory(context):
    vm = context.vm
    vm.sample()
    assert vm.process.poll() is None, vm.log[-2_000:]
    assert vm.most_bytes <= vm.memory_mb * MB, f"held {vm.most_bytes / MB:.0f} MB"


@then("the daemon lives and used no more than {count:d} file descriptors")
def step_files(context, count):
    context.vm.sample()
    assert context.vm.process.poll() is None
    assert context.vm.most_files <= count, context.vm.most_files

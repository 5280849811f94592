from __future__ import annotations

from contextlib import asynccontextmanager
from functools import partial

import anyio
import httpcore
from behave import given, then, when

from hickorybeam.clock import SystemClock
from hickorybeam.gateway.cold_health_checks import ColdHealthCheckService
from hickorybeam.ports import COLD_HEALTH_CHECKS
from hickorybeam.standins.links import LinkHarm
from steps.gateway.gateway_steps import split_names
from support.linked_fleet import cut_from_vms, harm_store, linked_fleet

SERVERS = (("m1", "model", "north-1"), ("b1", "books", "north-1"))
SOUTHERN_SERVERS = (("m9", "model", "south-1"), ("b9", "books", "south-1"))


@asynccontextmanager
async def settled_fleet(vms):
    async with linked_fleet([tuple(it.split("@")) for it in split_names(vms)]) as rig:
        for server in SERVERS + (SOUTHERN_SERVERS if "@south" in vms else ()):
            await rig.add_server(*server)
        await rig.settled()
        yield rig


@given('a linked gateway of VMs "{vms}"')
def step_linked_gateway(context, vms):
    manager = context.portal.wrap_async_context_manager(settled_fleet(vms))
    context.rig = context.stack.enter_context(manager)


async def restart_polls(rig):
    """Let all VMs begin a poll of the store now: its silence then shows as late as it can."""
    rig.config["version"] += 1
    rig.configure()
    version = rig.config["version"]
    await rig.until(
        lambda: all(vm.routing_state.config.version == version for vm in rig.vms.values())
    )


@when("the store falls silent to all VMs")
def step_store_silent(context):
    context.call(partial(silence_store, context.rig, watchers_only=False))


@when("the store falls silent to the watchers")
def step_store_silent_to_watchers(context):
    rig = context.rig
    context.call(partial(silence_store, rig, watchers_only=True))
    context.running = {name: vm for name, vm in rig.vms.items() if name not in rig.out_of_step}
    assert len(context.running) == len(rig.vms) - 2, context.running


async def silence_store(rig, *, watchers_only):
    # A large data centre has its two watchers only some reports after it has met.
    await rig.until(lambda: is_watched_by_few(rig))
    await restart_polls(rig)
    names = [name for name, vm in rig.vms.items() if vm.feed.is_watcher or not watchers_only]
    harm_store(rig, names, LinkHarm(silent=True))


def is_watched_by_few(rig):
    by_centre = {}
    for vm in rig.vms.values():
        by_centre.setdefault(vm.fleet.own_vm.data_centre, []).append(vm.feed.is_watcher)
    return all(sum(it) == (2 if len(it) > 4 else len(it)) for it in by_centre.values())


@then('all VMs still serve callers of "{key}"')
def step_still_served(context, key):
    rig = context.rig
    replies = [context.call(lambda vm=vm: rig.call(vm, "/look/x", key=key)) for vm in rig.vms]
    assert all(it.status == 200 for it in replies), [it.status for it in replies]


@when('"{vm}" loses the store and other VMs in silence')
def step_cut_off(context, vm):
    async def cut_off():
        await restart_polls(context.rig)
        harm_store(context.rig, [vm], LinkHarm(silent=True))
        cut_from_vms(context.rig, [vm])

    context.call(cut_off)


@when('"{vm}" loses other VMs in silence')
def step_cut_from_vms(context, vm):
    async def cut():
        await restart_polls(context.rig)
        cut_from_vms(context.rig, [vm])

    context.call(cut)


@then('within {limit:d} s "{vm}" knows that server "{name}" is cold')
def step_cold_server_known_at(context, limit, vm, name):
    clock, routing_state = SystemClock(), context.rig.vms[vm].routing_state

    async def known():
        await context.rig.until(lambda: routing_state.is_cold(name, clock.now()), limit_s=limit)

    context.call(known)


@when('"{vm}" hears nobody')
def step_hears_nobody(context, vm):
    context.call(context.rig.until, context.rig.vms[vm].fleet.hears_nobody)


@then('within {limit:d} s "{vm}" hears the store, and sends no checks in {quiet:g} s then')
def step_checks_end(context, limit, vm, quiet):
    rig = context.rig
    before = [0]

    async def ended():
        await rig.until(lambda: not rig.vms[vm].fleet.hears_nobody(), limit_s=limit)
        # Those that it had begun end meanwhile.
        await anyio.sleep(0.3)
        before[0] = health_checks(rig)
        await anyio.sleep(quiet)

    context.call(ended)
    assert health_checks(rig) == before[0], (before[0], health_checks(rig))


def health_checks(rig):
    return sum(len(server.health_checks) for server in rig.servers.values())


@then('metrics of "{vm}" tell news of the store and of "{centres}" that is {bound} {ms:d} ms old')
def step_news_ages(context, vm, centres, bound, ms):
    port = context.rig.vms[vm].relay.ports().peers
    text = httpcore.request("GET", f"http://127.0.0.1:{port}/metrics").content.decode()
    names = ["store_answer_age_ms"]
    names += [f'report_age_ms{{data_centre="{it}"}}' for it in split_names(centres)]
    for name in names:
        line = next(it for it in text.splitlines() if it.startswith(f"hickorybeam_{name} "))
        age_ms = float(line.split()[-1])
        assert age_ms >= 0, line
        assert age_ms <= ms if bound == "at most" else age_ms >= ms, line


@then('the log tells on what ground "{vm}" checks servers for coldness')
def step_ground_logged(context, vm):
    checks = context.rig.vms[vm].kernel.find(COLD_HEALTH_CHECKS, ColdHealthCheckService)
    written = []
    checks._log.write = lambda event, **fields: written.append((event, fields))
    checks._checks_cold = False
    context.call(context.rig.until, lambda: any(event == "cold_checks" for event, _ in written))
    fields = next(fields for event, fields in written if event == "cold_checks")
    assert fields["on"], fields
    assert fields["watches_store"], fields
    ages_ms = [fields["store_answer_age_ms"], *fields["report_ages_ms"].values()]
    assert len(ages_ms) == 3, fields
    assert min(ages_ms) >= 1_000, fields


@when('"{vm}" reads nothing of other VMs for a while in which "{other}" crashes')
def step_reads_late(context, vm, other):
    rig = context.rig

    async def read_late():
        receiver = rig.vms[vm].fleet._peer_port._transport.get_protocol()
        receive, held = receiver._receive, []
        receiver._receive = held.append
        await anyio.sleep(1.5)
        rig.vms[other].kill()
        await rig.vms[other].ended.wait()
        survivors = [it for name, it in rig.vms.items() if name != other]
        await rig.until(lambda: not any(is_live(it, other) for it in survivors))
        # A report tells that its VM is live until it is as old as one may be missing.
        await anyio.sleep(survivors[0].fleet.peers.peer_timeout_ms / 1_000)
        receiver._receive = receive
        for data in held:
            receive(data)

    context.call(read_late)


def is_live(vm, other):
    peers = vm.fleet.peers
    return other in peers.by_name and peers.is_live(peers.by_name[other])


@then('neither of "{names}" counts "{other}" as live in the next {span:g} s')
def step_not_live(context, names, other, span):
    vms = [context.rig.vms[name] for name in split_names(names)]
    found = []

    async def watch():
        with anyio.move_on_after(span):
            while True:
                found.extend(vm.fleet.own_vm.name for vm in vms if is_live(vm, other))
                await anyio.sleep(0.01)

    context.call(watch)
    assert not found, set(found)


@when('the way between "{vm}" and "{other}" gets {ms:d} ms longer')
def step_way_longer(context, vm, other, ms):
    links = context.rig.links
    for pair in ((vm, other), (other, vm)):
        context.call(links.way(*pair).apply, LinkHarm(delay_ms=ms))


@then('within {limit:d} s "{vm}" counts "{other}" as live, and for {span:g} s after that')
def step_stays_live(context, limit, vm, other, span):
    rig = context.rig
    here = rig.vms[vm]
    seen = []

    async def watch():
        await anyio.sleep(4)
        await rig.until(lambda: is_live(here, other), limit_s=limit - 4)
        with anyio.move_on_after(span):
            while True:
                seen.append(is_live(here, other))
                await anyio.sleep(0.01)

    context.call(watch)
    assert all(seen), seen.count(False)

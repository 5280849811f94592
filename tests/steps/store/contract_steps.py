from __future__ import annotations

import anyio
from behave import given, then, when

from hickorybeam.clock import SystemClock
from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.platform import PlatformStore
from hickorybeam.settings import PlatformSettings, Settings, VmSettings
from hickorybeam.standins import platform as standin
from hickorybeam.standins.keyvalue import serve_store
from hickorybeam.store import Compare, Delete, Put
from hickorybeam.store.etcd import EtcdPlatform
from hickorybeam.telemetry import Counters

TIMEOUT_MS = 400
UNREACHABLE = "http://127.0.0.1:9"


class ShiftedClock(SystemClock):
    """The system clock, which a test can move forward."""

    offset_ms = 0

    def now(self):
        return super().now() + self.offset_ms


def etcd_client(*urls, prefix="/hickorybeam/", timeout_ms=TIMEOUT_MS):
    cfg = Settings(
        vm=VmSettings(name="vm", region="r", data_centre="d"),
        platform=PlatformSettings(urls=urls, timeout_ms=timeout_ms, prefix=prefix),
    )
    return EtcdPlatform(cfg=cfg, clock=SystemClock(), counters=Counters())


def kv_client(url, *, timeout_ms=TIMEOUT_MS):
    cfg = Settings(
        vm=VmSettings(name="vm", region="r", data_centre="d"),
        platform=PlatformSettings(urls=(url,), timeout_ms=timeout_ms),
    )
    return PlatformStore(cfg=cfg, clock=SystemClock(), counters=Counters())


def serve_kv(context, clock=None):
    context.served = context.stack.enter_context(
        context.portal.wrap_async_context_manager(serve_store(clock=clock))
    )
    return context.served


def serve(context, clock=None):
    served = context.stack.enter_context(
        context.portal.wrap_async_context_manager(standin.serve(clock=clock))
    )
    context.served = served
    return served


@given('platform "{impl}"')
def step_platform(context, impl):
    context.impl = impl
    context.clock = ShiftedClock()
    if impl == "memory":
        context.stand_in = context.call(standin.PlatformStandIn, context.clock)
        context.client = standin.MemoryPlatform(context.stand_in)
    elif impl == "kv":
        context.stand_in = serve_kv(context, context.clock).app.stand_in
        context.client = context.call(kv_client, context.served.url)
    else:
        context.stand_in = serve(context, context.clock).stand_in
        context.client = context.call(etcd_client, context.served.url)


@given('a second platform client with prefix "{prefix}"')
def step_second(context, prefix):
    if context.impl == "memory":
        context.second_client = standin.MemoryPlatform(context.stand_in, prefix=prefix)
    else:
        context.second_client = context.call(lambda: etcd_client(context.served.url, prefix=prefix))


@then("the second platform client finds nothing")
def step_second_finds_nothing(context):
    assert context.call(context.second_client.read_prefix, "").items == ()


def parse_puts(text, lease=0):
    pairs = [pair.strip().split("=") for pair in text.split(",") if pair.strip()]
    return tuple(Put(key, value.encode(), lease) for key, value in pairs)


def show_items(items):
    return ", ".join(f"{item.key}={item.value.decode()}" for item in items)


def current_revision(context, key):
    found = context.call(context.client.read, key).items
    return found[0].mod_revision if found else 0


@given('platform txn puts "{text}" if "{key}" is at {revision:d}')
@when('platform txn puts "{text}" if "{key}" is at {revision:d}')
def step_put_at(context, text, key, revision):
    context.txn_result = context.call(
        context.client.txn, (Compare(key, revision),), parse_puts(text)
    )


@when('platform txn puts "{text}" if "{key}" is unchanged')
def step_put(context, text, key):
    step_put_at(context, text, key, current_revision(context, key))


@when('platform txn deletes "{deleted_key}" if "{key}" is unchanged')
def step_delete(context, deleted_key, key):
    compares = (Compare(key, current_revision(context, key)),)
    context.txn_result = context.call(context.client.txn, compares, (Delete(deleted_key),))


@then("the platform txn is done")
def step_done(context):
    assert context.txn_result.done


@then("the platform txn is not done")
def step_not_done(context):
    assert not context.txn_result.done


@then('platform keys under "{prefix}" are "{text}"')
@then('platform keys under "" are "{text}"')
@then('platform keys under "" are ""')
def step_keys(context, prefix="", text=""):
    found = context.call(context.client.read_prefix, prefix)
    assert show_items(found.items) == text, found


@then('platform keys under "" from "{start}" on are "{text}"')
def step_keys_from(context, start, text):
    found = context.call(lambda: context.client.read_prefix("", start=start))
    assert show_items(found.items) == text, found


@then('at most {limit:d} platform key under "" is "{text}"')
def step_keys_limit(context, limit, text):
    found = context.call(lambda: context.client.read_prefix("", limit=limit))
    assert show_items(found.items) == text, found


@given('a platform lease of {ttl:d} ms with key "{text}"')
def step_lease(context, ttl, text):
    context.lease = context.call(context.client.grant, ttl)
    context.call(context.client.txn, (), parse_puts(text, context.lease))


@when("{ms:d} ms pass on the platform")
def step_advance_clock(context, ms):
    context.clock.offset_ms += ms


@then("renewing the platform lease gives {ttl:d} ms")
def step_renew(context, ttl):
    assert context.call(context.client.keep_alive, context.lease) == ttl


@when('the platform lease ends by "{end}"')
def step_lease_end(context, end):
    match end:
        case "time":
            context.clock.offset_ms += 3_001
        case "forced expiry":
            context.call(context.stand_in.lapse, context.lease)
        case "revoke":
            context.call(context.client.revoke, context.lease)


def outcome(context, fn, *args):
    try:
        context.call(fn, *args)
    except GatewayError as exc:
        return exc.kind.value
    return "done"


@then('renewing the platform lease fails with "{kind}"')
def step_renew_fails(context, kind):
    assert outcome(context, context.client.keep_alive, context.lease) == kind


@then('writing under the platform lease fails with "{kind}"')
def step_lease_write_fails(context, kind):
    assert outcome(context, context.client.txn, (), parse_puts("k=v", context.lease)) == kind


@when('the platform fault is "{fault}"')
def step_fault(context, fault):
    faults = context.stand_in.faults
    context.write_value = None
    match fault:
        case "none":
            pass
        case "outage":
            context.call(faults.set_out, True)
        case "unreachable":
            context.healthy_client = getattr(context, "healthy_client", context.client)
            make = kv_client if context.impl == "kv" else etcd_client
            context.client = context.call(make, UNREACHABLE)
        case "lose response":
            faults.lose_answers = 1
        case "drop":
            faults.drop_requests = 1
        case "slow":
            faults.slow_ms = 50
        case "too large":
            context.write_value = b"x" * 1_000_001
        case _:
            raise AssertionError(fault)


@when("the platform faults are over")
def step_faults_over(context):
    context.call(context.stand_in.faults.set_out, False)
    context.stand_in.faults.drop_requests = 0
    context.stand_in.faults.lose_answers = 0
    context.client = getattr(context, "healthy_client", context.client)


@then('a platform write of "{text}" ends with "{kind}"')
def step_write_ends(context, text, kind):
    writes = parse_puts(text)
    if context.write_value is not None:
        writes = (Put(writes[0].key, context.write_value),)
    assert outcome(context, context.client.txn, (), writes) == kind


@then('a platform read of "{key}" ends with "{kind}"')
def step_read_ends(context, key, kind):
    found = outcome(context, context.client.read, key)
    assert found == kind, found


@then("the platform saw {count:d} writes")
def step_write_count(context, count):
    assert context.stand_in.calls["txn"] == count, context.stand_in.calls


class Watcher:
    """Collects the batches that a watch yields, and the kind of its error."""

    def __init__(self, client, after):
        self.client, self.after = client, after
        self.batches, self.kind = [], ""

    async def run(self, count, timeout_s):
        with anyio.move_on_after(timeout_s):
            try:
                async for batch in self.client.watch("", after=self.after):
                    parts = [f"{kv.key}={kv.value.decode()}" for kv in batch.puts]
                    parts += [f"-{key}" for key in batch.deletes]
                    self.batches.append(" ".join(parts))
                    if len(self.batches) == count:
                        return
            except GatewayError as exc:
                self.kind = exc.kind.value


def start_watch(context, after, count, timeout_s=3.0):
    watcher = Watcher(context.client, after)
    watcher.task = context.portal.start_task_soon(watcher.run, count, timeout_s)
    return watcher


@given("a platform watch from now on")
def step_watch(context):
    after = context.call(context.client.read, "a").revision
    context.watcher = start_watch(context, after, 2)
    calls = context.stand_in.calls

    async def opened():
        while not calls["watch"]:
            await anyio.sleep(0.005)

    context.call(opened)


@then('the platform watch yields "{text}"')
def step_watch_yields(context, text):
    context.watcher.task.result()
    assert "; ".join(context.watcher.batches) == text, context.watcher.batches


@then('a platform watch from the start yields "{text}"')
def step_watch_start(context, text):
    watcher = start_watch(context, 1, text.count(";") + 1)
    watcher.task.result()
    assert "; ".join(watcher.batches) == text, watcher.batches


@when("the platform history is compacted")
def step_compact(context):
    context.call(context.stand_in.store.compact)


@then('a platform watch from the start fails with "{kind}"')
def step_watch_start_fails(context, kind):
    watcher = start_watch(context, 1, 1)
    watcher.task.result()
    assert (watcher.kind, watcher.batches) == (kind, [])


@when("the platform watches stall")
def step_stall_watches(context):
    context.call(context.stand_in.faults.silence_watches)


@then("the platform watch yields nothing within {ms:d} ms")
def step_watch_nothing(context, ms):
    context.call(anyio.sleep, ms / 1000)
    assert context.watcher.batches == []
    assert not context.watcher.task.done()


@then('the platform watch fails with "{kind}"')
def step_watch_fails(context, kind):
    context.watcher.task.result()
    assert context.watcher.kind == kind, context.watcher.kind
    assert ErrorKind(kind)

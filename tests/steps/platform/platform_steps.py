from __future__ import annotations

import time
from unittest.mock import patch

import anyio
import msgspec
from behave import given, then, when

from hickorybeam.errors import GatewayError
from hickorybeam.http1 import IncomingRequest, ResponseHead, pool
from hickorybeam.model import key_digest
from hickorybeam.platform import (
    ConfigEntry,
    InvalidEntry,
    decode_call,
    decode_entry,
    decode_response,
)
from hickorybeam.standins.strays import serve_strays
from hickorybeam.store import Put
from steps.store.contract_steps import kv_client, serve_kv

EXAMPLE = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "X.example",
            "prefix": "/p/",
            "kind": "streaming",
            "timeout-ms": 15000,
            "priority": 0,
            "service": "a",
            "home-regions": ["dakar", "thies"],
        },
        {
            "name": "r-2",
            "host": "x.example",
            "prefix": "/q/",
            "kind": "streaming",
            "priority": 1,
            "traffic-split": [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}],
            "resumable": True,
        },
    ],
    "services": [
        {
            "name": "a",
            "health-path": "/h",
            "cold-start-s": 3.0,
            "cold-per-s": 2.6,
            "engine": {"slots": 64, "kv-cache-tokens": 1000},
        },
        {"name": "b"},
    ],
    "limits": {"max-header-bytes": 100},
    "tenants": [{"name": "acc", "api-keys": ["k1"], "unit": "tokens", "rate-per-s": 100}],
    "unknown-part": {"later": 1},
}


@given("the example configuration entry")
def step_example(context):
    match decode_entry("op/config", msgspec.json.encode(EXAMPLE)):
        case ConfigEntry(config):
            context.routing_config = config
        case other:
            raise AssertionError(other)


@then("its version is {version:d} and it has {count:d} routes")
def step_version(context, version, count):
    found = context.routing_config
    assert (found.version, len(found.routes)) == (version, count)


def route_of(context, name):
    return next(it for it in context.routing_config.routes if it.name == name)


@then('route "{name}" is "{kind}", resumable "{resumable}", rank {rank:d}, home regions "{homes}"')
@then('route "{name}" is "{kind}", resumable "{resumable}", rank {rank:d}, home regions ""')
def step_route(context, name, kind, resumable, rank, homes=""):
    found = route_of(context, name)
    assert found.host == "x.example"
    assert (found.repeat.value, str(found.resumable), found.rank) == (kind, resumable, rank)
    assert ", ".join(sorted(found.homes)) == homes


@then('route "{name}" splits its traffic "{split}"')
def step_split(context, name, split):
    targets = route_of(context, name).targets
    assert ", ".join(f"{it.service}:{it.weight:g}" for it in targets) == split


@then('the key "{key}" belongs to account "{name}" with {rate:g} tokens per second')
def step_key(context, key, name, rate):
    found = context.routing_config
    assert found.keys[key_digest(key)] == name
    assert key not in found.keys
    assert found.accounts[name].rate_per_s == rate


@then(
    'service "{name}" caches {tokens:d} tokens and takes {per_s:g} requests per second while cold'
)
def step_service(context, name, tokens, per_s):
    found = context.routing_config.services[name]
    assert (found.engine.cache_tokens, found.cold_per_s) == (tokens, per_s)


@then('the entry "{key}" with value "{value}" is invalid')
def step_invalid(context, key, value):
    assert isinstance(decode_entry(key, value.encode()), InvalidEntry)


@then('a request with header "{name}" set to "{value}" has {field} "{found}"')
def step_header(context, name, value, field, found):
    headers = ((name.lower().encode(), value.encode()),)
    call = decode_call(
        IncomingRequest(method="GET", target=b"/a/b?c", headers=headers, body=b"", arrived_ms=1_000)
    )
    assert str(getattr(call, field)) == found, getattr(call, field)


@then('a response {status:d} with "{headers}" has {field} "{found}"')
@then('a response {status:d} with "" has {field} "{found}"')
def step_response(context, status, field, found, headers=""):
    name, _, value = headers.partition(": ")
    raw = ((name.lower().encode(), value.encode()),) if headers else ()
    info = decode_response(ResponseHead(status, raw))
    assert str(getattr(info, field)) == found, getattr(info, field)


@given("a key-value store and its client")
def step_served(context):
    context.app = serve_kv(context).app
    context.client = context.call(kv_client, context.served.url)


@when("the key-value store returns {status:d} for every call")
def step_reject(context, status):
    context.app.turn_away = status


def outcome(context, fn, *args):
    try:
        context.call(fn, *args)
    except GatewayError as exc:
        return exc.kind.value
    return "done"


@then('a key-value write ends with "{kind}" and nothing was written')
def step_write(context, kind):
    assert outcome(context, context.client.txn, (), (Put("a", b"1"),)) == kind
    assert not context.app.stand_in.store.read("a").items


@when("the key-value client attempts {count:d} reads")
def step_try(context, count):
    for _ in range(count):
        assert outcome(context, context.client.read_prefix, "") == "platform_out"


@then("the key-value store received at most {most:d} calls")
def step_calls(context, most):
    calls = context.client._calls.labels("range", "refused")._value.get()
    assert 0 < calls <= most, calls


@when("the key-value client has read once and then the store stops responding")
def step_read_once(context):
    assert outcome(context, context.client.read, "a") == "done"
    context.opened = context.client._pool.opened
    context.app.silent = True


@then("a key-value read fails")
def step_read_fails(context):
    assert outcome(context, context.client.read, "a") == "platform_out"


@when("the key-value store responds again")
def step_responds_again(context):
    context.app.silent = False


@then("a key-value read succeeds at once on a new connection")
def step_read_succeeds(context):
    started = time.monotonic()
    assert outcome(context, context.client.read, "a") == "done"
    assert context.client._pool.opened > context.opened
    assert time.monotonic() - started < 5


@given("the key-value store returns {count:d} items per page")
def step_page(context, count):
    context.app.page = count


@when("{count:d} keys are written to the key-value store")
def step_keys(context, count):
    async def write():
        for number in range(count):
            context.app.put(f"p/{number}", str(number).encode())
        context.app.put("q/1", b"other")

    context.call(write)


@then("the key-value client finds all {count:d} under their prefix, in order")
def step_all_keys(context, count):
    found = context.call(context.client.read_prefix, "p/")
    assert [it.key for it in found.items] == [f"p/{number}" for number in range(count)]


@when("a key outside the watched prefix is written")
def step_outside(context):
    async def write():
        context.app.put("other/1", b"x")
        return context.app.stand_in.store.revision

    context.revision = context.call(write)


@then("a watch without changes reports that revision")
def step_watch_without_changes(context):
    async def first_batch():
        # The stand-in holds a poll without changes for the time that the client asks for.
        with anyio.fail_after(10):
            async for batch in context.client.watch("mine/", after=1):
                return batch
        return None

    batch = context.call(first_batch)
    assert (batch.puts, batch.deletes) == ((), ())
    assert batch.revision == context.revision


@given("the client's watch pauses {ms:d} ms after a poll that returned changes")
def step_pause(context, ms):
    context.client.watch_pause_ms = ms


@when("{count:d} changes of one key were made")
def step_changes(context, count):
    async def change():
        context.before = context.app.stand_in.store.revision
        for number in range(count):
            context.app.put("a", str(number).encode())

    context.call(change)


@then("a watch from before them yields all {count:d} within {ms:d} ms")
def step_backlog(context, count, ms):
    async def follow_backlog():
        found = []
        started = time.monotonic()
        async for batch in context.client.watch("", after=context.before):
            found += [int(item.value) for item in batch.puts]
            if len(found) == count:
                return found, time.monotonic() - started
        return found, 0

    found, took = context.call(follow_backlog)
    assert found == list(range(count))
    assert took < ms / 1000, took


@given("a watch of the key-value store has a pending poll")
def step_watch_pending(context):
    context.watch_end = None

    async def follow():
        try:
            async for _ in context.client.watch("", after=context.app.stand_in.store.revision):
                pass
        except GatewayError as exc:
            context.watch_end = exc.kind.value

    future = context.portal.start_task_soon(follow)
    context.stack.callback(future.cancel)
    context.call(anyio.sleep, 0.1)


@then('the watch ended with "{kind}"')
def step_watch_ended(context, kind):
    context.call(anyio.sleep, 0.1)
    assert context.watch_end == kind, context.watch_end


@when("the key-value client has read {count:d} times")
def step_reads(context, count):
    for _ in range(count):
        assert outcome(context, context.client.read, "a") == "done"


@then("the watch is still pending")
def step_still_pending(context):
    context.call(anyio.sleep, 0.1)
    assert context.watch_end is None, context.watch_end


@when("the key-value store breaks its answers off after {share:g} of their body")
def step_break_off(context, share):
    context.call(context.client.txn, (), (Put("a", b"1"),))
    context.lease = context.call(context.client.grant, 5_000)
    context.app.answer_share = share


@when("the key-value store answers in full again")
def step_full_answers(context):
    context.app.answer_share = None


async def watch_once(client):
    async for _ in client.watch("", after=0):
        return


@then('the key-value client\'s {call} ends with "{kind}"')
def step_call_ends(context, call, kind):
    client = context.client
    calls = {
        "read": (client.read, "a"),
        "range": (client.read_prefix, "a"),
        "watch": (watch_once, client),
        "write": (client.txn, (), (Put("a", b"1"),)),
        "grant": (client.grant, 5_000),
        "renewal": (client.keep_alive, getattr(context, "lease", 1)),
    }
    found = outcome(context, *calls[call])
    assert found == kind, found


@then('the key-value client takes "" with status {status:d} to a "{call}" call: {taken}')
@then('the key-value client takes "{body}" with status {status:d} to a "{call}" call: {taken}')
def step_taken(context, status, call, taken, body=""):
    async def check():
        context.client._check_response(call, status, body.encode(), write=False)

    assert (outcome(context, check) == "done") == (taken == "yes")


@then("a configuration whose account has a rate of {rate:g} tokens per second is valid")
def step_generous_rate(context, rate):
    account = EXAMPLE["tenants"][0] | {"rate-per-s": rate}
    data = msgspec.json.encode(EXAMPLE | {"tenants": [account]})
    match decode_entry("op/config", data):
        case ConfigEntry(config):
            assert config.accounts["acc"].rate_per_s == rate
        case other:
            raise AssertionError(other)


@given('a key-value store and its client, with keys under "{one}" and "{other}"')
def step_served_with_keys(context, one, other):
    step_served(context)
    for prefix in (one, other):
        for number in range(4):
            context.app.put(f"{prefix}{number}", b"1")


async def one_batch(client, prefix, after):
    async for _ in client.watch(prefix, after=after):
        return


def store_call(client, text):
    match text.split():
        case ["read", key]:
            return lambda: client.read(key)
        case ["range", prefix]:
            return lambda: client.read_prefix(prefix)
        case ["watch", prefix, after]:
            return lambda: one_batch(client, prefix, int(after))
        case ["write", key]:
            return lambda: client.txn((), (Put(key, b"2"),))
        case ["grant"]:
            return lambda: client.grant(5_000)
    raise ValueError(text)


@given('the key-value client has made the call "{call}"')
def step_earlier_call(context, call):
    client, exchange = context.client, context.client._exchange

    async def keep(*args, **options):
        context.told = await exchange(*args, **options)
        return context.told

    client._exchange = keep
    context.call(store_call(client, call))
    client._exchange = exchange


@when('the key-value client writes "{key}" again')
def step_write_again(context, key):
    context.call(store_call(context.client, f"write {key}"))


@when('the store tells that reply again in place of the one to "{call}"')
def step_told_again(context, call):
    async def tell_again(*args, **options):
        return context.told

    context.client._exchange = tell_again
    context.found = outcome(context, store_call(context.client, call))


@then('that call ends with "{kind}"')
def step_told_again_outcome(context, kind):
    assert context.found == kind, context.found


@given("a key-value store and its client, before which bytes of no call follow a reply")
def step_strays_before_store(context):
    context.app = serve_kv(context).app
    port = int(context.served.url.rpartition(":")[2])
    manager = context.portal.wrap_async_context_manager(serve_strays(port))
    context.relay = context.stack.enter_context(manager)
    context.relay.form = "no HTTP"
    context.client = context.call(kv_client, f"http://127.0.0.1:{context.relay.port}")


@when("the key-value client reads once, and then {count:d} times without such bytes")
def step_reads_after_strays(context, count):
    context.call(context.client.read, "a")
    context.call(anyio.sleep, 0.05)
    context.relay.form = ""
    for _ in range(count):
        context.call(context.client.read, "a")


@then("it has opened {count:d} connections")
def step_opened(context, count):
    assert context.client._pool.opened == count, context.client._pool.opened


@then("the key-value client says that calls {what}")
def step_client_fails(context, what):
    assert context.client.failing == {"fail": True, "succeed": False}[what]


@given("what bounds the kernel's receive buffers is noted")
def step_note_buffers(context):
    context.bounded = []
    noted = patch.object(pool, "bound_unread", lambda sock, size: context.bounded.append(size))
    context.stack.enter_context(noted)


@then("no receive buffer of its connection is bounded")
def step_unbounded(context):
    assert context.client._pool.opened
    assert not context.bounded, context.bounded

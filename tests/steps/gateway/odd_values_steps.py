from __future__ import annotations

import random
import socket

import anyio
import anyio.lowlevel
import msgspec
from behave import given, then, when

from hickorybeam.gateway.status_report import Audience
from hickorybeam.http1.head import request_bytes
from hickorybeam.model.routing import GatewayVm
from hickorybeam.platform import names
from hickorybeam.standins.deployment import HOST, KEYS, caller_headers
from steps.gateway.gateway_steps import BODY, ask
from steps.gateway.reload_steps import write_settings
from support.gateway import remove_account
from support.odd_bytes import DEEP, ODD_LEAVES, as_json, as_msgpack, changed, places
from support.raw_server import serve_bytes

DEEP_LIST = DEEP[1]
SERVER = {
    "service": "books",
    "address": "127.0.0.1:9",
    "zone": "north-1",
    "slots": 4,
    "state": "ready",
    "cold-remaining-ms": 0,
    "sequence": 1,
}
VM = GatewayVm(
    name="x",
    incarnation="ab",
    region="north",
    data_centre="north-1",
    host="127.0.0.1",
    caller_port=1,
    peer_port=2,
)
CRASH = ["616263", 10**30, "646566"]
ODD_ENTRIES = {
    "arrays nested 5000 deep": DEEP_LIST,
    "a deep field that nobody reads": {"a": DEEP_LIST},
    "a sound server": SERVER,
    "a server whose host is a..b": SERVER | {"address": "a..b:80"},
    "a server whose host is 64 long": SERVER | {"address": f"{'h' * 64}.example:80"},
    "a server with a port too high": SERVER | {"address": "127.0.0.1:70000"},
    "a server with slots of 400 digits": SERVER | {"slots": 10**400},
    "a server that is cold for 10^30": SERVER | {"cold-remaining-ms": 10**30},
    "a VM whose host is a..b": msgspec.to_builtins(VM) | {"host": "a..b"},
    "a block of 10^30 ms": {"crashes": [CRASH, CRASH, CRASH]},
}
ODD_BYTES = {
    "no UTF-8": b"\xff\xfe{\x80}",
    "a megabyte of open arrays": b"[" * 999_000,
    "a server at 3000 arrays": as_json(SERVER)
    .encode()
    .replace(b'"127.0.0.1:9"', b"[" * 3_000 + b"]" * 3_000),
    "a server with slots of 900 KB": as_json(SERVER)
    .encode()
    .replace(b'"slots":4', b'"slots":' + b"9" * 900_000),
}
ODD_HEADERS = (
    b"9" * 5_000,
    b"5:" + b"9" * 5_000,
    b"-1",
    b"1e400",
    b"nan",
    b"1,2,nan,inf",
    b"\xff\xfe",
    "\u00e9\u65e5".encode(),
    b"x" * 5_000,
    b",:,:,:",
    b"a:1," * 1_000,
    b"\t",
    b"0",
)


def encoded(what):
    return ODD_BYTES[what] if what in ODD_BYTES else as_json(ODD_ENTRIES[what]).encode()


@when('another writer writes {what} at "{key}" every {ms:d} ms')
def step_another_writer(context, what, key, ms):
    rig = context.rig
    name = key.encode().decode("unicode_escape") if "\\" in key else key

    async def write(task_status):
        with anyio.CancelScope() as scope:
            task_status.started(scope)
            number = 0
            while True:
                # Each time another value: the trailing spaces don't matter to a reader.
                rig.app.put(name, encoded(what) + b" " * (number % 7))
                number += 1
                await anyio.sleep(ms / 1000)

    _, scope = context.portal.start_task(lambda *, task_status: write(task_status))
    context.stack.callback(context.portal.call, scope.cancel)


def drain_and_withdraw(rig, name, account):
    rig.servers[name].register(state="draining")
    remove_account(rig, account)


@when('{delay:g} s later server "{name}" drains, and the key of "{account}" is withdrawn')
@when('server "{name}" drains, and the key of "{account}" is withdrawn')
def step_drain_and_withdraw(context, name, account, delay=0):
    rig = context.rig

    async def change():
        await anyio.sleep(delay)
        drain_and_withdraw(rig, name, account)
        rig.configure()
        for vm in rig.vms.values() if rig.app.odd_items.get("items") else ():
            vm.feed._loaded = False
            vm.feed._follow_scope.cancel()

    context.call(change)


@then(
    '{delay:d} s later no request of {count:d} for "{path}" reaches "{name}", and all are answered'
)
def step_none_reaches(context, delay, count, path, name):
    rig = context.rig

    async def run():
        await anyio.sleep(delay)
        before = len(rig.servers[name].arrivals)
        replies = [await rig.call("n1", path) for _ in range(count)]
        return len(rig.servers[name].arrivals) - before, [it.status for it in replies]

    reached, statuses = context.call(run)
    assert not reached, (reached, statuses)
    assert statuses == [200] * count, statuses


@then('a caller of "{account}" gets {status:d}')
def step_caller_gets(context, account, status):
    ask(context, "n1", "/look/x", key=account)
    assert context.reply.status == status, context.reply.status


@then("no service was started again")
def step_no_restart(context):
    for name, vm in context.rig.vms.items():
        assert not vm.kernel.restarts, (name, vm.kernel.restarts)


@when('the service of "{vm}" that applies changes fails at entry "{key}" and reads all again')
def step_fails_at_entry(context, vm, key):
    feed = context.rig.vms[vm].feed
    apply = feed.entries._apply

    def fail_at(item):
        if item.key == key:
            feed._loaded = False
            raise RuntimeError(f"cannot apply {key}")
        apply(item)

    feed.entries._apply = fail_at


ODD_ITEMS = {
    "one without a key": {"revision": 5, "value": ""},
    "one whose value is no text": {"key": "servers/a-0", "revision": 5, "value": "=e30"},
    "one of revision 10^30": {"key": "servers/a-0", "revision": 0, "value": ""},
}


@when("the store puts {item} before each item of {reply}")
def step_odd_items(context, item, reply):
    odd = ODD_ITEMS[item]
    if item.endswith("10^30"):
        # More digits than the encoder takes as a number.
        odd = odd | {"revision": msgspec.Raw(b"1" + b"0" * 30)}
    context.rig.app.odd_items = {"items" if reply == "a read" else "events": odd}


@when('VM "{name}" starts with a seed that sends {what}, and "{seed}" as its next one')
def step_odd_seed(context, name, what, seed):
    rig = context.rig
    body = {
        "arrays nested 5000 deep": as_msgpack(DEEP_LIST),
        "an entry of a server nested deep": as_msgpack([["servers/a", DEEP_LIST, 5]]),
        "no UTF-8": b"\x91\x93\xa2\xff\xfe\xc4\x00\x05",
    }[what]
    head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)

    async def serve(task_status):
        async with anyio.create_task_group() as tg:
            task_status.started(await serve_bytes(tg, head + body))

    future, port = context.portal.start_task(lambda *, task_status: serve(task_status))
    context.stack.callback(future.cancel)
    seeds = (f"localhost:{port}", f"localhost:{rig.vms[seed].ports.state}")
    manager = rig.vm(name, "north-1", seeds=seeds)
    vm = context.stack.enter_context(context.portal.wrap_async_context_manager(manager))
    context.call(rig.until, lambda: vm.routing_state.config is not None)


def odd_reports(vm, count):
    """Return datagrams that differ from a VM's own report in one place each."""
    rng = random.Random(7)
    sound = msgspec.msgpack.decode(vm.fleet._encode_report(Audience.NEAR))
    for _ in range(count):
        path = rng.choice(places(sound)[1:])
        leaf = rng.choice(ODD_LEAVES)
        yield as_msgpack(changed(sound, path, leaf, rng.choice(("replace", "drop"))))


def odd_placements(count):
    rng = random.Random(8)
    sound = ["wanted", "n2", 5, "books", None, [], [], 10, 10, 5, 200, 5, 900, [], [], False, False]
    for _ in range(count):
        at = rng.randrange(1, len(sound))
        yield as_msgpack([*sound[:at], rng.choice(ODD_LEAVES), *sound[at + 1 :]])


@when('the peers\' port of "{vm}" gets {count:d} odd {messages}')
def step_odd_messages(context, vm, count, messages):
    rig = context.rig
    port = rig.vms[vm].ports.peers
    if messages in ("status reports", "placement requests"):
        senders = odd_reports(rig.vms["n2"], count), odd_placements(count)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for data in senders[messages == "placement requests"]:
                sock.sendto(data, ("127.0.0.1", port))
        return

    async def send_all():
        for number in range(count):
            odd = ODD_HEADERS[number % len(ODD_HEADERS)]
            if messages == "requests for changes":
                target = b"/changes/" + odd.strip().translate(None, b" \t")[:4_500]
                data = request_bytes("GET", target or b"/", ((b"host", b"x"),), b"")
            else:
                name = (b"hop-left-ms", b"hop-elapsed-ms", b"hop-urgency")[number % 3]
                sound = {b"hop-service": b"books", b"hop-left-ms": b"500"} | {name: odd}
                data = request_bytes("GET", b"/look/x", tuple(sound.items()), b"")
            await rig.exchange(port, data)

    context.call(send_all)


@when('a caller asks "{vm}" with each odd value of header "{name}"')
def step_odd_request(context, vm, name):
    rig = context.rig

    async def send_all():
        found = []
        for number, odd in enumerate(ODD_HEADERS):
            sound = caller_headers(f"{number:016x}", key="small", wait_ms=2_000)
            kept = [pair for pair in sound if pair[0] != name.lower().encode()]
            headers = (*kept, (name.lower().encode(), odd))
            data = request_bytes("GET", b"/look/x", headers, b"")
            if name == "Connection":
                # The encoder sets its own.
                data = data.replace(b"\r\n\r\n", b"\r\nconnection: %s\r\n\r\n" % odd)
            found.append(await rig.exchange(rig.vms[vm].ports.callers, data))
        return found

    context.replies = context.call(send_all)


@given("callers may send heads of {size:d} bytes")
def step_head_limit(context, size):
    rig = context.rig
    rig.config["limits"] = {"max-header-bytes": size}
    rig.config["version"] += 1

    async def configure():
        rig.configure()
        await rig.settled()

    context.call(configure)


@when('server "{server}" answers with each odd value of header "{name}"')
def step_odd_answers(context, server, name):
    rig = context.rig

    async def ask_all():
        found = []
        for odd in ODD_HEADERS:
            rig.servers[server].odd_headers = ((name.lower().encode(), odd),)
            found.append(await rig.call("n1", "/look/x"))
        return found

    context.replies = context.call(ask_all)


@then("each of them gets {status:d}")
def step_each_of_them(context, status):
    assert {it.status for it in context.replies} == {status}, [it.status for it in context.replies]


@then("each of them gets {status:d}, and a blank one {blank:d}")
def step_each_but_blank(context, status, blank):
    expected = [status if odd.strip() else blank for odd in ODD_HEADERS]
    assert [it.status for it in context.replies] == expected


@when('a caller asks "{vm}" with two ids')
def step_two_ids(context, vm):
    more = ((names.REQUEST_ID, b"another"),)
    context.reply = context.call(lambda: context.rig.call(vm, "/look/x", more=more))


ODD_SETTINGS = {
    "<deep>": as_json(DEEP_LIST),
    "<400 digits>": "9" * 400,
    "<200 KB>": "[" + "1," * 100_000 + "1]",
}


@when('its settings file changes to "{line}" and is reloaded within {limit:d} s')
def step_odd_settings(context, line, limit):
    for name, text in ODD_SETTINGS.items():
        line = line.replace(name, text)
    write_settings(context, line)
    context.call(context.file.reload)


@when('a caller with HTTP/{version} leaves "{vm}" {moment}, while a stream runs')
def step_caller_leaves(context, version, vm, moment):
    rig = context.rig
    lines = [f"POST /chat/x HTTP/{version}", f"host: {HOST}", "content-length: 2"]
    lines += [f"authorization: Bearer {KEYS['small']}", f"{names.REQUEST_ID.decode()}: aa"]
    data = "\r\n".join([*lines, "", ""]).encode() + BODY

    async def leave():
        stream = await anyio.connect_tcp("127.0.0.1", rig.vms[vm].ports.callers)
        await stream.send(data)
        if moment == "within the answer":
            await stream.receive()
        else:
            await anyio.sleep(0.05)
        await stream.aclose()

    async def run():
        async with anyio.create_task_group() as tg:

            async def follow():
                context.stream = await rig.call(
                    vm, "/chat/x", method="POST", body=BODY, tokens=b"50,10"
                )

            tg.start_soon(follow)
            await anyio.sleep(0.02)
            for _ in range(3):
                await leave()

    context.call(run)

from __future__ import annotations

from dataclasses import replace

from behave import given, then, when

from hickorybeam.http1 import find_header
from hickorybeam.http1.head import request_bytes
from hickorybeam.platform import names
from hickorybeam.standins.deployment import caller_headers


@when(
    'a caller asks "{vm}" for "{path}" with a head of {size:d} bytes, of {limit:d} that are allowed'
)
def step_long_head(context, vm, path, size, limit):
    rig = context.rig
    assert rig.config["limits"]["max-header-bytes"] == limit
    headers = caller_headers("0123456789abcdef", key="small", wait_ms=2_000)
    short = request_bytes("GET", path.encode(), (*headers, (b"x-long", b"")), b"")
    filled = (*headers, (b"x-long", b"x" * (size - len(short))))
    data = request_bytes("GET", path.encode(), filled, b"")
    assert len(data) == size
    context.reply = context.call(rig.exchange, rig.vms[vm].ports.callers, data)


@given('"{vm}" takes heads of {size:d} bytes only')
def step_short_heads(context, vm, size):
    server = context.rig.vms[vm].relay._servers[1]
    limits = server.limits
    server.limits = lambda: replace(limits(), header_bytes=size - 1_024)


@given('account "{account}" is named "{name}"')
def step_named(context, account, name):
    rig = context.rig

    async def rename():
        for terms in rig.config["tenants"]:
            if terms["name"] == account:
                terms["name"] = name.encode().decode("unicode_escape")
        rig.config["version"] += 1
        rig.configure()
        await rig.settled()

    context.call(rename)


@then("the server got the account's name as {digits}")
def step_account_name(context, digits):
    last = max((it for server in context.rig.servers.values() for it in server.ran), key=at_ms)
    assert find_header(last.headers, names.ACCOUNT) == bytes.fromhex(digits), last.headers


def at_ms(arrival):
    return arrival.at_ms

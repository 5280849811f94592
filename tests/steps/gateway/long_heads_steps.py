from __future__ import annotations

from dataclasses import replace

from behave import given, when

from hickorybeam.http1.head import request_bytes
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

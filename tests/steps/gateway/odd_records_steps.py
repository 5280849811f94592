from __future__ import annotations

import time

import msgspec
from behave import then, when

from hickorybeam.gateway.crashes.part_blocks import SUSPECTS_PATH
from hickorybeam.gateway.vm_client import VmClient
from hickorybeam.policy.crash_messages import ToldPart
from hickorybeam.untrusted import decode_msgpack

LONG = "61" * 100_000
REQUEST = "61626364"
KEY_BYTES = 16
# The oldest age that VMs can tell, but for what the scenario takes until it is told.
OLDEST_MS = 2**53 - 1_000


def crashes(*, at_ms=None, server="", request=REQUEST):
    """Return three crashes, of which the last two are of now and on their own."""
    now_ms = round(time.time() * 1000)
    first = [f"{server}6161616161", now_ms - 5_000 if at_ms is None else at_ms, request]
    return [first, ["626262626262", now_ms - 3_000, request], ["636363636363", now_ms, "65666768"]]


def record(what):
    now_ms = round(time.time() * 1000)
    match what:
        case "arrays nested 5000 deep":
            return msgspec.Raw(b"[" * 5_000 + b"]" * 5_000)
        case "a block of 2^53 ms before the epoch":
            return {"crashes": crashes(at_ms=-(2**53))}
        case "a block of 2^53 ms after the epoch":
            return {"crashes": crashes(at_ms=2**53)}
        case "a block of the oldest age in bounds":
            return {"crashes": crashes(at_ms=now_ms - OLDEST_MS)}
        case "a block of servers of 100 KB":
            return {"crashes": crashes(server=LONG)}
        case "a block of requests of 100 KB":
            return {"crashes": crashes(request=LONG)}
        case "a block of now":
            return {"crashes": crashes()}
        case "a suspect of 100 KB":
            return [[LONG, crashes()]]
        case "300 suspects of now":
            return [[f"{number:02x}" * KEY_BYTES, crashes()] for number in range(300)]
    raise AssertionError(what)


@when('another writer writes {what} at "{key}"')
def step_write_record(context, what, key):
    key = key.replace("<a key of 180>", "62" * 90)
    value = msgspec.json.encode(record(what))
    context.call(context.rig.app.put, key, value)


@then('what "{name}" tells VMs that start of suspects can be read')
def step_tells_suspects(context, name):
    vm = context.rig.vms[name]
    address = ("127.0.0.1", vm.ports.state)
    data = context.call(VmClient(vm.kernel.clock).get, address, SUSPECTS_PATH)
    decode_msgpack(data, list[ToldPart])

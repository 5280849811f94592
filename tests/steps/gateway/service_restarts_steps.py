from __future__ import annotations

import socket
import traceback

import anyio
from behave import given, then, when

from hickorybeam.gateway.daemon import build
from hickorybeam.settings import (
    GatewaySettings,
    PeerSettings,
    PlatformSettings,
    Settings,
    TlsSettings,
    VmSettings,
)
from steps.gateway.gateway_steps import split_names


def periodic_method(vm, service):
    """Return who has a method that a task of a service calls at intervals, and its name."""
    services = {it.name: it for it in vm.kernel.services()}
    match service:
        case "feed":
            return services["feed"].entries, "remove_expired"
        case "fleet":
            return services["fleet"], "_adjust_intervals"
        case "cold_asking":
            return services["cold_asking"], "_server_to_ask"
        case "part_blocks":
            return services["part_blocks"], "_tell"
        case "relay":
            return services["relay"]._handler._placement_client, "_report_held"
    raise AssertionError(service)


@when('a task of service "{service}" of "{name}" fails once')
def step_fails_once(context, service, name):
    vm = context.rig.vms[name]
    owner, method = periodic_method(vm, service)
    sound = getattr(owner, method)

    def fail(*args):
        setattr(owner, method, sound)
        raise RuntimeError("fails once")

    setattr(owner, method, fail)
    context.call(lambda: context.rig.until(lambda: vm.kernel.restarts.get(service)))


@then('service "{service}" of "{name}" was started again once, and runs {seconds:g} s later')
def step_started_once(context, service, name, seconds):
    context.call(anyio.sleep, seconds)
    restarts = context.rig.vms[name].kernel.restarts
    assert restarts == {service: 1}, restarts


@then('VMs "{names}" hear {count:d} live VMs')
def step_hear(context, names, count):
    heard = {it: context.rig.vms[it].fleet.live_vm_count() for it in split_names(names)}
    assert set(heard.values()) == {count}, heard


@given("another process listens on a port of a VM's settings, as {side}")
def step_port_taken(context, side):
    kind = socket.SOCK_DGRAM if side == "UDP" else socket.SOCK_STREAM
    sock = context.stack.enter_context(socket.socket(socket.AF_INET, kind))
    sock.bind(("127.0.0.1", 0))
    if side == "TCP":
        sock.listen()
    context.taken_port = sock.getsockname()[1]


@when("the VM starts with that port for {use}")
def step_start_with_port(context, use):
    address = f"127.0.0.1:{context.taken_port}"
    peer_port = context.taken_port if use == "peers" else 0
    others = {} if use == "peers" else {use: address}
    cfg = Settings(
        vm=VmSettings(name="n1", region="north", data_centre="north-1", peer_port=peer_port),
        platform=PlatformSettings(urls=("http://127.0.0.1:9",), prefix="hickorybeam/"),
        peers=PeerSettings(tls=TlsSettings(plain=True)),
        gateway=GatewaySettings(**others),
    )

    async def run():
        with anyio.fail_after(5):
            await build(cfg).run()

    context.error = None
    try:
        context.call(run)
    except Exception as exc:
        context.error = exc


@then("it ends with an error that names the address")
def step_names_address(context):
    text = "".join(traceback.format_exception(context.error))
    lines = [line for line in text.splitlines() if "OSError:" in line]
    named = [line for line in lines if "127.0.0.1" in line and str(context.taken_port) in line]
    assert named, lines or context.error

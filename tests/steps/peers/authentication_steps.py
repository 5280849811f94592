from __future__ import annotations

import ssl
import tempfile
import time
from dataclasses import replace
from pathlib import Path

import anyio
from behave import given, then, when
from peers.transport_steps import ECHO, EchoMessage, enter

from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.peers.authority import make_authority, make_certificate
from hickorybeam.settings import PeerSettings, TlsSettings
from support.peer_nodes import Node

EXPIRED_DAYS = -1


def credentials(context, kind):
    """Return TLS settings that trust the fleet's authority and present this kind of certificate."""
    if not hasattr(context, "folder"):
        root = context.stack.enter_context(tempfile.TemporaryDirectory())
        context.folder, context.foreign = Path(root) / "fleet", Path(root) / "foreign"
        for folder in (context.folder, context.foreign):
            make_authority(folder, wall_ms=wall())
    if kind == "plain":
        return TlsSettings(plain=True)
    folder = context.foreign if kind == "foreign authority" else context.folder
    vm = kind if kind.startswith("vm-") else ""
    days = EXPIRED_DAYS if kind == "expired" else 1
    issued = make_certificate(folder, wall_ms=wall(), vm=vm, days=days)
    return TlsSettings(
        ca_file=str(context.folder / "authority.crt"),
        cert_file=str(issued.cert_file),
        key_file=str(issued.key_file),
    )


def wall():
    return time.time_ns() // 1_000_000


@given('a TLS peer node {letter:w} with a "{kind}" certificate')
def step_node(context, letter, kind):
    peers = PeerSettings(tls=credentials(context, kind))
    node = context.call(lambda: Node(f"vm-{letter.lower()}", peers=peers))
    setattr(context, letter.lower(), node)
    if letter == "B":
        context.handled = []

        async def echo(sender, message):
            context.handled.append(message)
            return EchoMessage(f"{sender.name} said {message.text}")

        node.peers.serve(ECHO, echo)
    enter(context, node.running())


@then("peer node B ran no handler and counted a refused peer")
def step_counted(context):
    async def counted():
        with anyio.fail_after(2):
            while b'refusals_total{kind="peer_refused"}' not in context.b.counters.text():
                await anyio.sleep(0.01)

    context.call(counted)
    assert context.handled == []


@then("peer node B ran no handler")
def step_no_handler(context):
    assert context.handled == []


@when("a TLS client without a certificate connects to peer node B")
def step_no_certificate(context):
    async def run():
        tls = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        tls.check_hostname = False
        tls.load_verify_locations(str(context.folder / "authority.crt"))
        try:
            async with await anyio.connect_tcp(
                "127.0.0.1", context.b.peers.port, ssl_context=tls, tls_standard_compatible=False
            ) as stream:
                with anyio.fail_after(2):
                    while True:
                        await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError, ssl.SSLError) as exc:
            return exc

    context.closed = context.call(run)


@then("its connection is closed")
def step_closed(context):
    assert context.closed is not None


@then('a peer node with TLS settings that lack "{key}" does not start and names "{key2}"')
def step_lacks(context, key, key2):
    tls = replace(credentials(context, "fleet"), **{key: ""})
    node = context.call(lambda: Node("vm-a", peers=PeerSettings(tls=tls)))
    try:
        context.call(lambda: node.peers.main(lambda: None))
    except GatewayError as exc:
        assert exc.kind is ErrorKind.SETTINGS_INVALID
        assert [f"peers.tls.{key}" in fault for fault in exc.faults] == [True], exc.faults
    else:
        raise AssertionError("it started")


@given("a development authority")
def step_authority(context):
    credentials(context, "fleet")


@then("making a second development authority in its place is refused")
def step_second(context):
    try:
        make_authority(context.folder, wall_ms=wall())
    except GatewayError as exc:
        assert exc.kind is ErrorKind.SETTINGS_INVALID
    else:
        raise AssertionError("it was replaced")


@then("the private keys are readable by their owner only")
def step_private(context):
    keys = list(context.folder.glob("*.key"))
    assert len(keys) == 2
    assert all(key.stat().st_mode & 0o077 == 0 for key in keys)
